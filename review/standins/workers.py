"""Stand-ins of workers (PROTOCOL, "Workers -> controller nodes")."""

import asyncio
import random
import time

from . import http

RESPONSE_TIMEOUT_S = 4.0
MIN_REPORT_GAP_S = 0.5


class Piece:
    def __init__(self, piece, attempt):
        self.piece, self.attempt = piece, attempt
        self.status, self.cause = "running", None
        self.ends_at = None
        self.on_machine = True

    def report(self):
        entry = {"piece": self.piece, "try": self.attempt, "status": self.status}
        if self.cause:
            entry["cause"] = self.cause
        return entry


class Worker:
    """`run_s(piece)` tells how long a task runs. `events` receives
    (time, kind, piece, attempt, machine) with the kinds start, done, stop."""

    def __init__(self, machine, nodes, settings, run_s, events, record):
        self.machine, self.nodes, self.settings = machine, list(nodes), settings
        self.run_s, self.events, self.record = run_s, events, record
        self.node = random.randrange(len(self.nodes))
        self.shift, self.tally, self.baton = 1, 0, 0
        self.pieces = {}
        self.answered_at = time.monotonic()
        self.changed = asyncio.Event()
        # Faults: nodes that can't be reached, and whether answers and direct commands are lost.
        self.cut_from = set()
        self.is_deaf = False
        self.is_hung = False
        self.copies = None
        self.server = http.Server(self._direct)
        self.tasks = [asyncio.ensure_future(self._report_loop()),
                      asyncio.ensure_future(self._check_loop())]
        self.server_task = asyncio.ensure_future(self.server.start())

    def endpoint(self):
        return self.server.address() if self.server.port else "127.0.0.1:9"

    def destroy(self):
        for task in self.tasks:
            task.cancel()
        for piece in self.pieces.values():
            self._leave(piece, "gone")
        self.pieces.clear()
        if self.server.server:
            self.server.stop()

    def hang(self):
        self.is_hung = True

    def resume(self):
        self.is_hung = False
        self._check()

    # ---- tasks ----

    def _event(self, kind, piece):
        self.events(time.monotonic(), kind, piece.piece, piece.attempt, self.machine.name)

    def _leave(self, piece, kind):
        if piece.on_machine:
            piece.on_machine = False
            self._event(kind, piece)

    def _check(self):
        now = time.monotonic()
        if now - self.answered_at > self.settings["lease_s"]:
            for piece in self.pieces.values():
                self._leave(piece, "lease")
            self.pieces.clear()
            self.shift, self.tally = self.shift + 1, 0
            self.answered_at = now
            self.changed.set()
        for piece in self.pieces.values():
            if piece.status == "running" and now >= piece.ends_at:
                piece.status, piece.cause = "ended", "done"
                self._leave(piece, "done")
                self.changed.set()

    async def _check_loop(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.is_hung:
                self._check()

    def execute(self, orders):
        for order in orders:
            key = (order["piece"], order["try"])
            piece = self.pieces.get(key)
            if order["verb"] == "run" and piece is None:
                piece = Piece(*key)
                self.pieces[key] = piece
                in_use = any(other is not piece and other.piece == piece.piece
                             and other.status != "ended" for other in self.pieces.values())
                if in_use:
                    piece.status, piece.cause, piece.on_machine = "ended", "in_use", False
                else:
                    piece.ends_at = time.monotonic() + self.run_s(piece.piece)
                    self._event("start", piece)
                self.changed.set()
            elif order["verb"] == "kill" and piece is not None and piece.status != "ended":
                piece.status, piece.cause = "ended", "halted"
                self._leave(piece, "stop")
                self.changed.set()
            elif order["verb"] == "clear" and piece is not None and piece.status == "ended":
                del self.pieces[key]
                self.changed.set()

    # ---- reports ----

    def body(self):
        return {"hull": self.machine.name, "endpoint": self.endpoint(),
                "hulltype": self.machine.hulltype, "yard": self.machine.yard,
                "standby": self.machine.standby, "shift": self.shift, "tally": self.tally,
                "baton": self.baton, "warning_s": None,
                "pieces": [piece.report() for piece in self.pieces.values()]}

    async def _report_loop(self):
        await self.server_task
        while True:
            while self.is_hung:
                await asyncio.sleep(0.05)
            self.changed.clear()
            delay = await self._report()
            if delay > 0:
                started = time.monotonic()
                if delay >= MIN_REPORT_GAP_S:
                    await asyncio.sleep(MIN_REPORT_GAP_S)
                try:
                    left = delay - (time.monotonic() - started)
                    await asyncio.wait_for(self.changed.wait(), max(0.01, left))
                except asyncio.TimeoutError:
                    pass

    async def _report(self):
        name, address = self.nodes[self.node]
        self.tally += 1
        shift, sent_at, body = self.shift, time.monotonic(), self.body()
        if name in self.cut_from:
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            return self._next_node()
        if self.copies is not None:
            self.copies(self, name, address, body)
        status, answer, _ = await http.request(address, "POST", "/checkin", body, RESPONSE_TIMEOUT_S)
        while self.is_hung:
            await asyncio.sleep(0.05)
        if time.monotonic() - sent_at > RESPONSE_TIMEOUT_S or self.is_deaf or name in self.cut_from:
            status = 0
        if status == 200:
            report_s = self.settings["report_s"]
            if shift != self.shift or answer.get("baton", -1) < self.baton:
                return report_s
            if answer["baton"] > self.baton:
                self.baton = answer["baton"]
                self.changed.set()
            self.answered_at = max(self.answered_at, sent_at)
            self.execute(answer.get("orders", []))
            return report_s * random.uniform(0.75, 1.25)
        if status == 421:
            names = [known for known, _ in self.nodes]
            owner = answer.get("foreman")
            if owner in names and owner != name:
                self.node = names.index(owner)
                return 0.05
        return self._next_node()

    def _next_node(self):
        self.node = (self.node + 1) % len(self.nodes)
        return 1.0

    async def _direct(self, method, path, query, body):
        if self.is_hung or self.is_deaf:
            raise http.NoAnswer
        self.tally += 1
        if path == "/inspect":
            return 200, self.body()
        if "baton" not in body or "shift" not in body:
            return 400, {"error": "baton or shift is missing"}
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.body()
        self.baton = body["baton"]
        self.execute(body.get("orders", []))
        return 200, self.body()
