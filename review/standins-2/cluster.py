"""Stand-ins of the state service, the cloud, the workers and the users, for the cases of the second
review, and the start of real controllers. Written from the operators' pages alone; standard library
only; every address is on the loopback interface."""

import asyncio
import bisect
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "127.0.0.1"


def now():
    return time.monotonic()


def free_ports(count):
    """Ports below the range from which the system takes those of outgoing connections, if possible."""
    ports, start = [], random.randrange(12000, 30000)
    for port in itertools.chain(range(start, 31900), range(11000, start)):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free ports")


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path=None):
        self.start = now()
        self.file = open(path, "w") if path else None

    def __call__(self, *words):
        line = f"{now() - self.start:8.3f} " + " ".join(str(word) for word in words)
        if self.file:
            self.file.write(line + "\n")
            self.file.flush()
        else:
            print(line, flush=True)


# ---- HTTP ----

class Drop(Exception):
    """A handler raises it to give no answer; the connection stays open and silent."""


class Reset(Exception):
    """A handler raises it to close the connection without an answer."""


async def read_message(reader):
    line = await reader.readline()
    if not line:
        return None
    length, close, headers = 0, False, {}
    while True:
        header = await reader.readline()
        if not header:
            return None
        if header in (b"\r\n", b"\n"):
            break
        name, _, value = header.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(length) if length else b""
    close = headers.get("connection", "").lower() == "close"
    return line.decode("latin1").split(), headers, body, close


async def serve(handler, port=0):
    """Serves `handler(method, path, query, body)`, which returns (status, object)."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, _), _, body, close = message
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                try:
                    data = json.loads(body) if body else None
                except ValueError:
                    data = None
                try:
                    status, answer = await handler(method, unquote(parts.path), query, data)
                except Drop:
                    await asyncio.sleep(600)
                    break
                except Reset:
                    writer.transport.abort()
                    break
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
                if close:
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, HOST, port, limit=1 << 20, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """Keeps one connection to one port; a request that is given up closes it."""

    def __init__(self, port):
        self.port, self.pair = port, None

    def close(self):
        if self.pair:
            self.pair[1].close()
        self.pair = None

    async def call(self, method, path, data=None, timeout=5.0):
        """Returns (status, object, headers), or None if there was no answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, data), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, EOFError):
            self.close()
            return None

    async def _call(self, method, path, data):
        body = b"" if data is None else (data if isinstance(data, bytes) else json.dumps(data).encode())
        for fresh in (False, True):
            reused = self.pair is not None
            if not reused:
                self.pair = await asyncio.open_connection(HOST, self.port, limit=1 << 22)
            reader, writer = self.pair
            writer.write(f"{method} {path} HTTP/1.1\r\nhost: {HOST}:{self.port}\r\n"
                         f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body)
            message = None
            try:
                await writer.drain()
                message = await read_message(reader)
            except OSError:
                if not reused:
                    raise
            if message is None:
                self.close()
                if reused and not fresh:
                    continue
                raise EOFError
            (_, status, *_), headers, answer, close = message
            if close:
                self.close()
            return int(status), (json.loads(answer) if answer else None), headers


# ---- state service ----

class State:
    """The state service. `modes[node]` is one of ok, refuse (503), silent (no answer, not executed),
    lost (executed, no answer), late (executed after `late_s`, no answer)."""

    def __init__(self, record, rps=150.0, write_rps=20.0, value_kb=8.0, txn_ops=12, latency=0.003):
        self.record, self.latency = record, latency
        self.limits = {"rps": rps, "write_rps": write_rps}
        self.tokens = {"rps": [rps, now()], "write_rps": [write_rps, now()]}
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.data, self.ledger, self.log, self.permits = {}, 0, [], {}
        self.keys = []             # the keys of `data` in their order
        self.last_permit, self.changed = 0, asyncio.Event()
        self.modes, self.late_s, self.counts = {}, 5.0, {}
        self.outage_since, self.refused = None, 0
        self.hook = None

    async def start(self, node):
        server, port = await serve(lambda *request: self.handle(node, *request))
        return server, port

    def _take(self, name, count):
        tokens = self.tokens[name]
        tokens[0] = min(self.limits[name], tokens[0] + (now() - tokens[1]) * self.limits[name])
        tokens[1] = now()
        if tokens[0] < count:
            return False
        tokens[0] -= count
        return True

    def outage(self, begins):
        """Begins or ends an outage; after it every lease has its full time again."""
        if begins:
            self.outage_since = now()
        else:
            self.outage_since = None
            for permit in self.permits.values():
                permit[1] = now() + permit[0]
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.outage_since is not None:
                continue
            for number in [n for n, (_, end) in self.permits.items() if end < now()]:
                self.end_permit(number)

    def end_permit(self, number):
        if self.permits.pop(number, None) is None:
            return False
        keys = [k for k, v in self.data.items() if v["permit"] == number]
        if keys:
            self.ledger += 1
            for key in keys:
                self.drop(key)
                self.log.append({"drop": key, "stamp": self.ledger})
            self.record("state: lease", number, "ended, deleted", keys)
            self.notify()
        return True

    async def handle(self, node, method, path, query, body):
        mode = self.modes.get(node, "ok")
        self.counts[(node, method, path.split("/")[1])] = self.counts.get((node, method, path.split("/")[1]), 0) + 1
        if self.hook:
            mode = self.hook(node, method, path, query, body) or mode
        await asyncio.sleep(self.latency * random.uniform(0.5, 1.5))
        if mode == "silent":
            raise Drop
        if mode == "refuse" or self.outage_since is not None:
            return 503, {"error": "trouble"}
        if mode == "late":
            asyncio.get_running_loop().call_later(self.late_s, lambda: self.execute(method, path, query, body))
            raise Drop
        if not self._take("rps", 1):
            self.refused += 1
            return 429, {"error": "too many requests"}
        if method == "GET" and path == "/watch":
            return await self.watch(node, query)
        answer = self.execute(method, path, query, body)
        if mode == "lost":
            raise Drop
        return answer

    def put(self, key, data, permit):
        if key not in self.data:
            bisect.insort(self.keys, key)
        self.data[key] = {"data": data, "stamp": self.ledger, "permit": permit,
                          "bytes": len(str(data)) + len(key) + 40}

    def drop(self, key):
        if self.data.pop(key, None) is None:
            return False
        del self.keys[bisect.bisect_left(self.keys, key)]
        return True

    def page(self, prefix, since, most):
        at = max(bisect.bisect_left(self.keys, prefix), bisect.bisect_right(self.keys, since))
        pairs, size = [], 0
        while at < len(self.keys) and self.keys[at].startswith(prefix):
            value = self.data[self.keys[at]]
            size += value["bytes"]
            if len(pairs) == most or pairs and size > 400 * 1024:
                return pairs, True
            pairs.append({"k": self.keys[at], "data": value["data"], "stamp": value["stamp"]})
            at += 1
        return pairs, False

    def execute(self, method, path, query, body):
        parts = path.split("/")
        if method == "GET" and path == "/keys":
            pairs, has_next = self.page(query.get("prefix", ""), query.get("since", ""),
                                        min(int(query.get("most", 1000)), 1000))
            return 200, {"pairs": pairs, "has_next": has_next, "ledger": self.ledger}
        if method == "GET" and parts[1] == "keys":
            key = path[len("/keys/"):]
            value = self.data.get(key)
            if value is None:
                return 404, {"ledger": self.ledger}
            return 200, {"k": key, "data": value["data"], "stamp": value["stamp"], "permit": value["permit"]}
        if method == "POST" and path == "/multi":
            return self.multi(body)
        if method == "POST" and path == "/holds":
            ttl = body["ttl_ms"] / 1000
            self.last_permit += 1
            self.permits[self.last_permit] = [ttl, now() + ttl]
            return 200, {"permit": self.last_permit}
        if parts[1] == "holds":
            number = int(parts[2])
            if method == "DELETE":
                return (200, {}) if self.end_permit(number) else (404, {})
            permit = self.permits.get(number)
            if permit is None:
                return 404, {}
            permit[1] = now() + permit[0]
            return 200, {}
        return 400, {"error": "malformed"}

    def multi(self, body):
        changes, conditions = body.get("apply", []), body.get("if", [])
        if not self._take("write_rps", len(changes)):
            return 429, {"error": "too many changes"}
        if (len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops
                or len(json.dumps(body)) > 65536
                or any(len(json.dumps(c.get("data"), separators=(",", ":"))) > self.value_bytes
                       for c in changes if "write" in c)):
            return 400, {"error": "too large"}
        failed = [c["k"] for c in conditions
                  if (self.data[c["k"]]["stamp"] if c["k"] in self.data else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if any(c.get("permit") is not None and c["permit"] not in self.permits for c in changes):
            return 400, {"error": "no such lease"}
        if changes:
            self.ledger += 1
            for change in changes:
                if "write" in change:
                    self.put(change["write"], change.get("data"), change.get("permit"))
                    self.log.append({"write": change["write"], "data": change.get("data"), "stamp": self.ledger})
                elif self.drop(change["drop"]):
                    self.log.append({"drop": change["drop"], "stamp": self.ledger})
            self.log = self.log[-10000:]
            self.notify()
        return 200, {"ledger": self.ledger}

    async def watch(self, node, query):
        prefix, since = query.get("prefix", ""), int(query.get("since", 0))
        end = now() + int(query.get("block_ms", 0)) / 1000
        while True:
            if self.outage_since is None and self.modes.get(node, "ok") not in ("refuse", "silent"):
                if len(self.log) >= 10000 and self.log[0]["stamp"] > since + 1:
                    return 410, {"ledger": self.ledger}
                log = []
                for entry in reversed(self.log):
                    if entry["stamp"] <= since:
                        break
                    if (entry.get("write") or entry.get("drop")).startswith(prefix):
                        log.append(entry)
                if log or now() >= end:
                    return 200, {"ledger": self.ledger, "log": log[::-1]}
                wait = end - now()
            else:
                wait = 0.2
            try:
                await asyncio.wait_for(self.changed.wait(), max(wait, 0.01))
            except asyncio.TimeoutError:
                pass


# ---- cloud and workers ----

class Cloud:
    def __init__(self, record, fleet, types, capacity, boot=(1.0, 2.0), list_lag_s=4.0, rps=3.0):
        self.record, self.fleet, self.types, self.capacity = record, fleet, types, capacity
        self.boot, self.list_lag_s = boot, list_lag_s
        self.limits, self.tokens = {"rps": rps * 2}, [rps * 2, now()]
        self.rps = rps
        self.machines, self.charters, self.number = {}, {}, 0
        self.calls, self.modes = [], {}
        self.gone = {}

    async def start(self, node):
        return await serve(lambda *request: self.handle(node, *request))

    async def handle(self, node, method, path, query, body):
        mode = self.modes.get(node, "ok")
        self.tokens[0] = min(self.rps * 2, self.tokens[0] + (now() - self.tokens[1]) * self.rps)
        self.tokens[1] = now()
        await asyncio.sleep(0.03)
        if mode == "silent":
            raise Drop
        if mode == "refuse":
            return 503, {"error": "trouble"}
        if self.tokens[0] < 1:
            return 429, {"error": "too many requests"}
        self.tokens[0] -= 1
        if path == "/catalog":
            return 200, {"hulltypes": self.types}
        if path == "/rentals/return":
            self.record("cloud: returned by", node, body["hulls"])
            for name in body["hulls"]:
                self.remove(name)
            return 200, {}
        if method == "POST":
            return self.rent(node, body)
        since, most = query.get("since", ""), int(query.get("most", 500))
        seen = [m for m in self.machines.values() if m.name > since and now() - m.rented > self.list_lag_s]
        seen += [m for m in self.gone.values() if m.name > since and now() - m.ended < self.list_lag_s]
        seen.sort(key=lambda m: m.name)
        return 200, {"hulls": [{"name_id": m.name, "endpoint": f"{HOST}:{m.port}", "hulltype": m.hulltype,
                                "yard": m.yard, "standby": m.standby,
                                "status": "running" if m.up else "starting",
                                "age_s": round(now() - m.rented, 1)} for m in seen[:most]],
                     "has_next": len(seen) > most}

    def rent(self, node, body):
        charter = body["charter"]
        if charter in self.charters:
            return 200, {"hulls": self.charters[charter]}
        key = (body["hulltype"], body["yard"], body["standby"])
        used = sum((m.hulltype, m.yard, m.standby) == key for m in self.machines.values())
        count = min(body["count"], 50, self.capacity.get(key, 0) - used)
        self.record("cloud: rental by", node, body, "->", count)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [self.add(*key) for _ in range(count)]
        self.charters[charter] = names
        return 200, {"hulls": names}

    def add(self, hulltype, yard, standby):
        self.number += 1
        machine = Worker(self.fleet, f"host-{self.number:06d}", hulltype, yard, standby)
        self.machines[machine.name] = machine
        machine.task = asyncio.ensure_future(machine.run(random.uniform(*self.boot)))
        return machine.name

    def remove(self, name):
        machine = self.machines.pop(name, None)
        if machine:
            machine.ended = now()
            self.gone[name] = machine
            machine.stop()


class Fleet:
    """What all workers share: the controllers, the jobs, the times, and the checks of the rules."""

    def __init__(self, record, report_s, lease_s, cancel_s):
        self.record, self.report_s, self.lease_s, self.cancel_s = record, report_s, lease_s, cancel_s
        self.nodes = []            # (name, port for users and workers)
        self.jobs = {}             # id -> Job
        self.on_machine = {}       # task -> set of machines
        self.starts = {}           # task -> number of starts
        self.broken = []
        self.team_limit = {}
        self.team_used = {}
        self.blocked = set()       # (zone or machine, node) pairs that can't reach each other
        self.finished = set()
        self.sick = {}             # machine -> time after which every task that it starts fails
        self.lost = []             # tasks that ended with the lease of their worker
        self.running_since = {}    # task -> when it was last started

    def violation(self, rule, *words):
        self.broken.append((rule, " ".join(map(str, words))))
        self.record("RULE BROKEN:", rule, *words)

    def begin(self, machine, task, attempt):
        job = self.jobs[task.rsplit("/", 1)[0]]
        others = self.on_machine.setdefault(task, set())
        self.record("start", task, "try", attempt, "on", machine.name)
        if others:
            self.violation("ran_twice", task, "starts on", machine.name, "while on", others)
        others.add(machine.name)
        self.running_since[task] = now()
        self.starts[task] = self.starts.get(task, 0) + 1
        used = self.team_used[job.team] = self.team_used.get(job.team, 0.0) + job.body["cores"]
        if used > self.team_limit.get(job.team, 1e9) + 1e-3:
            self.violation("quota", job.team, used, "CPUs with", task)
        if job.cancelled_at and now() > job.cancelled_at + self.cancel_s:
            self.violation("ran_cancelled", task, "starts")
        if job.body.get("yard") not in (None, machine.yard):
            self.violation("wrong_place", task, machine.yard)
        if job.body.get("hulltypes") is not None and machine.hulltype not in job.body["hulltypes"]:
            self.violation("wrong_place", task, machine.hulltype)
        if machine.standby and not job.body["standby"]:
            self.violation("wrong_place", task, "spot")
        for needed in job.body.get("awaits") or []:
            if self.jobs[needed].done_tasks < self.jobs[needed].body["pieces"]:
                self.violation("too_early", task, needed)

    def end(self, machine, task, cause):
        job = self.jobs[task.rsplit("/", 1)[0]]
        self.on_machine.get(task, set()).discard(machine.name)
        if not self.on_machine.get(task):
            self.running_since.pop(task, None)
        self.team_used[job.team] -= job.body["cores"]
        self.record("end", task, "on", machine.name, cause)
        if cause == "lease":
            self.lost.append(task)
        if cause == "done" and task not in self.finished:
            self.finished.add(task)
            job.done_tasks += 1


class Worker:
    def __init__(self, fleet, name, hulltype, yard, standby):
        self.fleet, self.name, self.hulltype, self.yard, self.standby = fleet, name, hulltype, yard, standby
        self.rented, self.ended, self.up, self.port = now(), None, False, 0
        self.shift, self.tally, self.baton, self.warning = 1, 0, 0, None
        self.pieces = {}           # (task, try) -> dict
        self.images, self.fetching = set(), {}
        self.node, self.client, self.server, self.task = 0, None, None, None
        self.lease_from, self.wake = 0.0, asyncio.Event()
        self.hung = None
        self.runs = []

    def report(self):
        self.tally += 1
        return {"hull": self.name, "endpoint": f"{HOST}:{self.port}", "hulltype": self.hulltype,
                "yard": self.yard, "standby": self.standby, "shift": self.shift, "tally": self.tally,
                "baton": self.baton, "warning_s": self.warning,
                "pieces": [{"piece": t, "try": n, "status": p["status"],
                            **({"cause": p["cause"]} if p["cause"] else {})}
                           for (t, n), p in self.pieces.items()]}

    async def orders(self, method, path, query, body):
        if self.hung:
            await self.hung.wait()
        if path == "/inspect":
            return 200, self.report()
        if not body or "baton" not in body or "shift" not in body:
            return 400, {}
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.report()
        self.see(body["baton"])
        for order in body["orders"]:
            self.execute(order)
        return 200, self.report()

    def see(self, baton):
        if baton > self.baton:
            self.baton = baton
            self.changed()

    def changed(self):
        self.wake.set()

    async def run(self, boot_s):
        await asyncio.sleep(boot_s)
        self.server, self.port = await serve(self.orders)
        self.up, self.lease_from = True, now()
        self.node = random.randrange(len(self.fleet.nodes))
        checker = asyncio.ensure_future(self.watch_lease())
        try:
            pause = 0.0
            while True:
                try:
                    self.wake.clear()
                    if pause > 0.5:
                        await asyncio.sleep(0.5)
                        await asyncio.wait_for(self.wake.wait(), pause - 0.5)
                    else:
                        await asyncio.sleep(pause)
                except asyncio.TimeoutError:
                    pass
                if self.hung:
                    await self.hung.wait()
                pause = await self.exchange()
        finally:
            checker.cancel()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.1)
            # A machine that hangs may go on within its lease; after that its tasks are gone too.
            if now() - self.lease_from > self.fleet.lease_s:
                self.fleet.record("worker", self.name, "lease expired, shift", self.shift + 1)
                self.kill_all("lease")
                self.pieces.clear()
                self.shift += 1
                self.tally = 0
                self.lease_from = now()
                self.changed()

    async def exchange(self):
        names = [name for name, _ in self.fleet.nodes]
        name, port = self.fleet.nodes[self.node]
        sent, shift, report = now(), self.shift, self.report()
        if self.client is None or self.client.port != port:
            if self.client:
                self.client.close()
            self.client = Client(port)
        blocked = {(self.yard, name), (self.name, name), ("*", name)} & self.fleet.blocked
        if blocked:
            await asyncio.sleep(4.0)
            self.client.close()
            answer = None
        else:
            answer = await self.client.call("POST", "/checkin", report, 4.0)
        if self.hung:
            await self.hung.wait()
            answer = None
        if answer and answer[0] == 200:
            body = answer[1]
            if now() - sent <= 4.0 and shift == self.shift and body.get("baton", -1) >= self.baton:
                if now() - self.lease_from > self.fleet.lease_s:
                    return 0.05
                self.lease_from = max(self.lease_from, sent)
                self.see(body["baton"])
                for order in body.get("orders", []):
                    self.execute(order)
            return self.fleet.report_s * random.uniform(0.75, 1.25)
        if answer and answer[0] == 421 and (answer[1] or {}).get("foreman") in names:
            target = names.index(answer[1]["foreman"])
            if target != self.node:
                self.node = target
                return random.uniform(0.0, 0.5)
        self.node = (self.node + 1) % len(names)
        return 1.0

    def execute(self, order):
        key = (order["piece"], order["try"])
        piece = self.pieces.get(key)
        if order["verb"] == "run" and piece is None:
            job = self.fleet.jobs.get(order["piece"].rsplit("/", 1)[0])
            piece = self.pieces[key] = {"status": "fetching", "cause": None, "task": None}
            alive = [p for (t, n), p in self.pieces.items() if p["status"] != "ended" and p is not piece]
            if job is None or int(order["piece"].rsplit("/", 1)[1]) >= job.body["pieces"]:
                piece.update(status="ended", cause="no_such")
            elif any(t == order["piece"] and p["status"] != "ended" and p is not piece
                     for (t, n), p in self.pieces.items()):
                piece.update(status="ended", cause="in_use")
            else:
                piece["cores"] = job.body["cores"]
                if sum(p["cores"] for p in alive) + job.body["cores"] > CORES[self.hulltype] + 1e-6:
                    piece.update(status="ended", cause="full")
                else:
                    piece["task"] = asyncio.ensure_future(self.run_piece(key, piece, job))
        elif order["verb"] == "kill" and piece and piece["status"] != "ended":
            self.finish(key, piece, "halted")
        elif order["verb"] == "clear" and piece and piece["status"] == "ended":
            del self.pieces[key]
        self.changed()

    async def run_piece(self, key, piece, job):
        image = job.body["bundle"]
        if image not in self.images:
            await asyncio.sleep(job.body["pull_gb"] / 0.5)
            self.images.add(image)
        while self.hung:
            await self.hung.wait()
        if piece["status"] != "fetching":
            return
        piece["status"] = "running"
        self.fleet.begin(self, key[0], key[1])
        self.changed()
        failing_s = self.fleet.sick.get(self.name)
        if failing_s is not None:
            await asyncio.sleep(failing_s)
            if piece["status"] == "running":
                self.finish(key, piece, "error")
            return
        if key[0] not in self.fleet.finished:
            await asyncio.sleep(job.run_s)
        while self.hung:
            await self.hung.wait()
        if piece["status"] == "running":
            self.finish(key, piece, "done")

    def finish(self, key, piece, cause):
        ran = piece["status"] in ("running", "flushing")
        piece.update(status="ended", cause=cause)
        if piece["task"] and piece["task"] is not asyncio.current_task():
            piece["task"].cancel()
        if ran:
            self.fleet.end(self, key[0], cause)
        self.changed()

    def kill_all(self, why):
        for key, piece in list(self.pieces.items()):
            if piece["status"] != "ended":
                self.finish(key, piece, why)

    def stop(self):
        self.up = False
        self.kill_all("machine gone")
        if self.task:
            self.task.cancel()
        if self.server:
            self.server.close()
        if self.client:
            self.client.close()


CORES = {}


# ---- users ----

class Job:
    def __init__(self, number, team, pieces, cores, run_s, **more):
        self.id, self.team, self.run_s, self.done_tasks = f"run-{number:06d}", team, run_s, 0
        self.body = {"name_id": self.id, "jobclass": "coverbake", "crew": team, "shape": "batch",
                     "urgency": "urgent", "pieces": pieces, "cores": cores, "cards": 0.0, "memory_gb": 2.0,
                     "bundle": "img-07", "pull_gb": 0.1, "hulltypes": None, "yard": None, "one_zone": False,
                     "scatter": False, "standby": True, "guess_s": run_s, "bookmark_s": 0.0, "stow_s": 0.0,
                     "due_s": None, **more}
        self.accepted_at = self.cancelled_at = self.done_at = None
        self.polls = []


class Users:
    def __init__(self, cluster):
        self.cluster, self.fleet, self.record = cluster, cluster.fleet, cluster.record

    async def probe(self):
        """The load balancer's probes: about once a second, with a timeout of 1 s."""
        self.healthy = set()

        async def each(name, port):
            while True:
                client = Client(port)
                answer = await client.call("GET", "/ready", None, 1.0)
                client.close()
                (self.healthy.add if answer and answer[0] == 200 else self.healthy.discard)(name)
                await asyncio.sleep(1.0)

        await asyncio.gather(*[each(*node) for node in self.fleet.nodes])

    def pick(self, avoid=()):
        nodes = [n for n in self.fleet.nodes if n[0] not in avoid and n[0] in getattr(self, "healthy", n)]
        return random.choice(nodes or self.fleet.nodes)

    async def submit(self, job, node=None):
        self.fleet.jobs[job.id] = job
        end = now() + 60
        while now() < end:
            name, port = node or self.pick()
            client = Client(port)
            answer = await client.call("POST", "/api/jobs", job.body, 5.0)
            client.close()
            if answer and answer[0] in (200, 201):
                job.accepted_at = now()
                self.record("user: accepted", job.id, "by", name, answer[1].get("status"))
                return True
            if answer and answer[0] in (400, 422):
                self.record("user: refused", job.id, answer[0], answer[1])
                return False
            await asyncio.sleep(max(1.0, min(30.0, float(answer[2].get("retry-after", 1)))) if answer else 1.0)
        self.record("user: gave up submitting", job.id)
        return None

    async def poll(self, job, node=None):
        name, port = node or self.pick()
        client = Client(port)
        answer = await client.call("GET", f"/api/jobs/{job.id}", None, 2.0)
        client.close()
        status = answer[0] if answer else None
        job.polls.append((now(), name, status))
        if status == 404 and job.accepted_at:
            self.fleet.violation("forgotten", job.id, "404 by", name)
        if status != 200:
            return None
        state = answer[1]["status"]
        if state == "done" and job.done_tasks < job.body["pieces"]:
            self.fleet.violation("not_done", job.id, job.done_tasks, "of", job.body["pieces"])
        if job.done_at and state != "done":
            self.fleet.violation("went_back", job.id, "done, then", state)
        if job.cancelled_at and state != "withdrawn":
            self.fleet.violation("went_back", job.id, "withdrawn, then", state)
        if state == "done" and not job.done_at:
            job.done_at = now()
            self.record("user: done", job.id, "by", name)
        return state

    async def cancel(self, job, node=None):
        end = now() + 60
        while now() < end:
            name, port = node or self.pick()
            client = Client(port)
            answer = await client.call("POST", f"/api/jobs/{job.id}/cancel", None, 5.0)
            client.close()
            if answer and answer[0] == 200:
                state = answer[1]["status"]
                self.record("user: cancelled", job.id, "by", name, state)
                if state == "withdrawn":
                    job.cancelled_at = now()
                return state
            await asyncio.sleep(1.0)
        return None

    async def follow(self, job):
        while not job.done_at:
            await asyncio.sleep(random.uniform(4.0, 6.0))
            await self.poll(job)

    async def check_cancelled(self):
        """Checks `ran_cancelled` all the time."""
        seen = set()
        while True:
            await asyncio.sleep(0.2)
            for task, machines in self.fleet.on_machine.items():
                job = self.fleet.jobs[task.rsplit("/", 1)[0]]
                if machines and job.cancelled_at and now() > job.cancelled_at + self.fleet.cancel_s \
                        and task not in seen:
                    seen.add(task)
                    self.fleet.violation("ran_cancelled", task, "on", machines)


# ---- links between controllers ----

class Link:
    """A proxy from one controller to another. mode: ok, hold (delivered later), refuse."""

    def __init__(self, target):
        self.target, self.mode, self.released = target, "ok", asyncio.Event()
        self.released.set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def listen(self):
        self.server = await asyncio.start_server(self.connection, HOST, self.port)

    def set(self, mode):
        if mode == "refuse" and self.mode != "refuse":
            self.server.close()
        if mode != "refuse" and self.mode == "refuse":
            asyncio.ensure_future(self.listen())
        self.mode = mode
        if mode == "hold":
            self.released.clear()
        else:
            self.released.set()
        if mode == "refuse":
            for writer in list(self.writers):
                writer.transport.abort()

    async def connection(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        self.writers.add(writer)
        out = None
        try:
            await self.released.wait()
            from_target, out = await asyncio.open_connection(HOST, self.target)
            self.writers.add(out)

            async def back():
                await from_target.read(1)
                writer.transport.abort()

            watcher = asyncio.ensure_future(back())
            while True:
                data = await reader.read(65536)
                await self.released.wait()
                if not data:
                    break
                out.write(data)
                await out.drain()
            watcher.cancel()
        except OSError:
            pass
        finally:
            for each in (writer, out):
                if each:
                    self.writers.discard(each)
                    each.close()


# ---- the whole ----

SETTINGS = """host_name = "{name}"
domain = "{zone}"
bind = "127.0.0.1:{bind}"
internal_addr = "127.0.0.1:{internal}"
{known}
[endpoints]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[cluster]
count = {count}
zones = {zones}
clock_off_ms = 25.0
{teams}
[cluster.workers]
report_s = {report_s}
lease_s = {lease_s}
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = {cancel_s}

[cluster.state]
rps = {rps}
write_rps = {write_rps}
value_kb = {value_kb}
txn_ops = {txn_ops}

[cluster.cloud]
rps = 3.0
list_lag_s = 4.0

[cluster.limits]
cpu = 0.064
mem_mb = 56.0
max_connections = 800
"""

ZONES = ["split-lucac", "zagreb-trnje", "rijeka-kantrida"]
TYPES = [
    {"label": "slog16", "cores": 16, "cards": 0, "memory_gb": 128, "cache_gb": 30, "pull_gb_per_s": 0.5,
     "price": 1.38, "spot_price": 0.43, "ready_s": 50, "yards": ZONES},
    {"label": "arak64", "cores": 64, "cards": 0, "memory_gb": 256, "cache_gb": 80, "pull_gb_per_s": 0.5,
     "price": 4.84, "spot_price": 1.67, "ready_s": 30, "yards": ZONES},
]


class Cluster:
    """The deployment of the first brief's small site: three controllers, one in each zone."""

    def __init__(self, record, teams=None, report_s=3.0, lease_s=27.0, cancel_s=52.0, rps=150.0,
                 write_rps=20.0, value_kb=8.0, txn_ops=12, capacity=None, log_level="info", size=3):
        self.record, self.size = record, size
        self.teams = teams or {f"prijelom-{i:02d}": (112.0, 360.0) for i in range(6)}
        self.times = {"report_s": report_s, "lease_s": lease_s, "cancel_s": cancel_s}
        self.limits = {"rps": rps, "write_rps": write_rps, "value_kb": value_kb, "txn_ops": txn_ops}
        self.fleet = Fleet(record, report_s, lease_s, cancel_s)
        self.fleet.team_limit = {name: most for name, (_, most) in self.teams.items()}
        self.state = State(record, rps, write_rps, value_kb, txn_ops)
        capacity = capacity or {(t, z, s): n for z in ZONES
                                for t, s, n in (("slog16", False, 3), ("slog16", True, 5),
                                                ("arak64", False, 1), ("arak64", True, 1))}
        for kind in TYPES:
            CORES[kind["label"]] = kind["cores"]
        self.cloud = Cloud(record, self.fleet, TYPES, capacity)
        self.users = Users(self)
        self.processes, self.configs, self.links = {}, {}, {}
        self.names = [f"hull-{i}" for i in range(size)]
        self.folder = tempfile.mkdtemp(prefix="woadlever-review-")
        self.log_level, self.stopped, self.tasks = log_level, set(), []

    async def start(self, spawn=True):
        ports = free_ports(2 * self.size)
        bind = dict(zip(self.names, ports[: self.size]))
        internal = dict(zip(self.names, ports[self.size:]))
        self.fleet.nodes = [(name, bind[name]) for name in self.names]
        self.bind = bind
        for i, name in enumerate(self.names):
            known = ""
            for j, other in enumerate(self.names):
                if other != name:
                    link = self.links[(name, other)] = await Link(internal[other]).start()
                    known += (f'\n[[known]]\nhost_name = "{other}"\ndomain = "{ZONES[j % 3]}"\n'
                              f'endpoint = "127.0.0.1:{link.port}"\n')
            _, state = await self.state.start(name)
            _, cloud = await self.cloud.start(name)
            teams = "".join(f'\n[[cluster.teams]]\nname = "{team}"\ncpus = {least}\ncpus_max = {most}\n'
                            f"gpus = 0.0\ngpus_max = 0.0\n" for team, (least, most) in self.teams.items())
            path = os.path.join(self.folder, f"{name}.toml")
            with open(path, "w") as file:
                file.write(SETTINGS.format(name=name, zone=ZONES[i % 3], bind=bind[name],
                                           internal=internal[name], known=known, cloud=cloud, state=state,
                                           count=self.size, zones=json.dumps(ZONES), teams=teams,
                                           **self.times, **self.limits))
            self.configs[name] = path
        self.tasks.append(asyncio.ensure_future(self.state.expire()))
        self.tasks.append(asyncio.ensure_future(self.users.check_cancelled()))
        self.tasks.append(asyncio.ensure_future(self.users.probe()))
        for name in self.names if spawn else []:
            self.spawn(name)

    def command(self):
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            for line in file:
                if line.startswith("run ="):
                    return line.split("=", 1)[1].strip().strip('"').split()
        raise RuntimeError("no run command")

    def spawn(self, name):
        log = open(os.path.join(self.folder, f"{name}.log"), "a")
        self.processes[name] = subprocess.Popen(
            self.command() + [self.configs[name]], cwd=ROOT, stderr=log, stdout=log,
            stdin=subprocess.DEVNULL, env={**os.environ, "LOG_LEVEL": self.log_level})
        self.record("controller", name, "started")

    def is_up(self, name):
        process = self.processes.get(name)
        return process is not None and process.poll() is None and name not in self.stopped

    def kill(self, name):
        self.record("controller", name, "killed")
        self.processes[name].kill()
        self.processes[name].wait()
        self.stopped.discard(name)

    def pause(self, name):
        self.record("controller", name, "stopped (SIGSTOP)")
        self.stopped.add(name)
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.record("controller", name, "continued (SIGCONT)")
        self.stopped.discard(name)
        self.processes[name].send_signal(signal.SIGCONT)

    def leader(self):
        record = self.state.data.get("w/leader")
        return record["data"].get("node") or record["data"].get("n") if record else None

    async def ready(self, timeout=20):
        end = now() + timeout
        while now() < end:
            if self.leader() and sum(k.startswith("w/block/") for k in self.state.data) >= 3 \
                    and "w/catalog" in self.state.data:
                await asyncio.sleep(0.5)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the controllers did not come up")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for machine in list(self.cloud.machines.values()):
            if machine.task:
                machine.task.cancel()
        for task in self.tasks:
            task.cancel()

    def remove_files(self):
        shutil.rmtree(self.folder, ignore_errors=True)
