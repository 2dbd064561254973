"""A small HTTP/1.1 server and client on asyncio, for stand-ins on loopback."""

import asyncio
import json
import urllib.parse

HOST = "127.0.0.1"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


class NoAnswer(Exception):
    """Raised by a handler that leaves its request unanswered: the connection is closed."""


class Server:
    """Serves `handler(method, path, query, body)`, which returns a status and a JSON value."""

    def __init__(self, handler):
        self.handler = handler
        self.port = None
        self.server = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def address(self):
        return f"{HOST}:{self.port}"

    def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = dict(_header(line) for line in lines[1:] if ":" in line)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                parameters = dict(urllib.parse.parse_qsl(query))
                value = json.loads(body) if body.strip() else {}
                status, answer = await self.handler(method, path, parameters, value)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                             f"content-type: application/json\r\n"
                             f"content-length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, NoAnswer,
                RuntimeError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()


def _header(line):
    name, _, value = line.partition(":")
    return name.strip().lower(), value.strip()


async def request(address, method, path, body=None, timeout=5.0):
    """Sends one request on a connection of its own.

    Returns (status, JSON value, headers); the status is 0 if there was no answer in time.
    """
    try:
        return await asyncio.wait_for(_exchange(address, method, path, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, {}


async def _exchange(address, method, path, body):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=16 << 20)
    try:
        text = b"" if body is None else json.dumps(body).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n"
                     f"content-type: application/json\r\ncontent-length: {len(text)}\r\n\r\n"
                     .encode() + text)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        headers = dict(_header(line) for line in head[1:] if ":" in line)
        if "content-length" in headers:
            text = await reader.readexactly(int(headers["content-length"]))
        else:
            text = await reader.read()
        return status, json.loads(text) if text.strip() else {}, headers
    finally:
        writer.close()
