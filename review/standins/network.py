"""A TCP proxy on loopback that cuts a connection between two hosts.

While it is cut, packets are held back. Afterwards those of connections that were open before are
delivered in order; connections attempted during the cut don't complete (PROTOCOL, "Delayed
messages").
"""

import asyncio

from . import http


class Link:
    def __init__(self, target):
        self.target = target
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self._accept, http.HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def address(self):
        return f"{http.HOST}:{self.port}"

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    async def _accept(self, reader, writer):
        if not self.is_open.is_set():
            # The attempt is abandoned by its caller and never reaches the target.
            await self._wait_for_end(reader, writer)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(self._pipe(reader, far_writer), self._pipe(far_reader, writer))
        except asyncio.CancelledError:
            pass

    async def _wait_for_end(self, reader, writer):
        try:
            while await reader.read(1 << 16):
                pass
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()

    async def _pipe(self, reader, writer):
        try:
            while True:
                data = await reader.read(1 << 16)
                await self.is_open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
