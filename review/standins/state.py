"""A stand-in of the state service (PROTOCOL, "Controller nodes -> state service").

Each controller gets an address of its own, so that one controller alone can be refused, slowed
down or left without answers.
"""

import asyncio
import bisect
import json
import random
import time

from . import http

KEPT_CHANGES = 10_000


class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, count=1):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


def _shift(value, recorded_ms, later_ms):
    """Shifts the times of day in a stored value: milliseconds, and numbers of processes, which are
    sixteenths of microseconds."""
    if isinstance(value, dict):
        return {key: _shift(each, recorded_ms, later_ms) for key, each in value.items()}
    if isinstance(value, list):
        return [_shift(each, recorded_ms, later_ms) for each in value]
    for unit in (1, 16_000):
        if type(value) is int and abs(value / unit - recorded_ms) < 3_600_000:
            return value + later_ms * unit
    return value


class State:
    def __init__(self, record, limits):
        self.record = record
        self.limits = limits
        self.values = {}
        self.keys = []
        self.ledger = 0
        self.changes = []
        self.dropped_changes = 0
        self.permits = {}
        self.last_permit = 0
        self.changed = asyncio.Event()
        self.requests = Bucket(limits["rps"])
        self.writes = Bucket(limits["write_rps"])
        self.refused = set()
        self.outage = False
        self.delay = {}
        self.on_multi = None
        self.servers = {}
        self.counts = {}

    async def start(self, nodes):
        for node in nodes:
            handler = lambda m, p, q, b, node=node: self._handle(node, m, p, q, b)
            self.servers[node] = await http.Server(handler).start()
        asyncio.ensure_future(self._expire())

    # ---- faults ----

    def is_refused(self, node):
        return self.outage or node in self.refused

    def refuse(self, node):
        self.refused.add(node)
        self.record("state", f"refuses {node} alone")

    def serve_again(self, node):
        self.refused.discard(node)
        self._wake()
        self.record("state", f"serves {node} again")

    def begin_outage(self):
        self.outage = True
        self.record("state", "outage begins")

    def end_outage(self):
        self.outage = False
        for permit in self.permits.values():
            permit["until"] = time.monotonic() + permit["ttl"]
        self._wake()
        self.record("state", "outage ends")

    # ---- contents ----

    def dump(self):
        """What is stored, without the keys that end with a lease."""
        return {"ledger": self.ledger, "recorded_at_ms": int(time.time() * 1000),
                "keys": {key: {"data": self.values[key]["data"], "stamp": self.values[key]["stamp"]}
                         for key in self.keys if self.values[key]["permit"] is None}}

    def load(self, dump, age_s):
        """Begins with what the controllers stored earlier. Times of day in it are shifted, so that it
        is `age_s` old whenever this is called."""
        recorded = dump["recorded_at_ms"]
        later_ms = int((time.time() - age_s) * 1000) - recorded
        self.ledger = self.dropped_changes = dump["ledger"] + 1
        self.values = {key: {"data": _shift(value["data"], recorded, later_ms),
                             "stamp": value["stamp"], "permit": None}
                       for key, value in dump["keys"].items()}
        self.keys = sorted(self.values)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            now = time.monotonic()
            for permit in [p for p, held in self.permits.items() if held["until"] < now]:
                self._end_permit(permit)

    def _end_permit(self, permit):
        self.permits.pop(permit, None)
        attached = [key for key in self.keys if self.values[key]["permit"] == permit]
        if attached:
            self.ledger += 1
            for key in attached:
                self._drop(key)
            self._wake()

    def _drop(self, key):
        if self.values.pop(key, None) is not None:
            self.keys.remove(key)
            self._log(key, {"drop": key, "stamp": self.ledger})

    def _write(self, key, data, permit):
        if key not in self.values:
            bisect.insort(self.keys, key)
        self.values[key] = {"data": data, "stamp": self.ledger, "permit": permit}
        self._log(key, {"write": key, "data": data, "stamp": self.ledger})

    def _log(self, key, change):
        self.changes.append((self.ledger, key, change))
        if len(self.changes) > KEPT_CHANGES:
            self.dropped_changes = self.changes.pop(0)[0]

    def _pair(self, key):
        value = self.values[key]
        pair = {"k": key, "data": value["data"], "stamp": value["stamp"]}
        if value["permit"] is not None:
            pair["permit"] = value["permit"]
        return pair

    # ---- requests ----

    async def _handle(self, node, method, path, query, body):
        self.counts[node] = self.counts.get(node, 0) + 1
        if self.is_refused(node):
            return 503, {"error": "unavailable"}
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        await asyncio.sleep(random.uniform(0.001, 0.004) + self.delay.get(node, 0.0))
        if path == "/watch":
            return await self._watch(node, query)
        if path == "/keys":
            return self._list(query)
        if path.startswith("/keys/"):
            key = path[len("/keys/"):]
            return (200, self._pair(key)) if key in self.values else (404, {"ledger": self.ledger})
        if path == "/multi":
            if self.on_multi is not None:
                return await self.on_multi(node, body, self.multi)
            return self.multi(body)
        if path == "/holds" and method == "POST":
            self.last_permit += 1
            ttl = min(max(int(body.get("ttl_ms", 1000)), 100), 600_000) / 1000.0
            self.permits[self.last_permit] = {"ttl": ttl, "until": time.monotonic() + ttl}
            return 200, {"permit": self.last_permit}
        if path.startswith("/holds/"):
            permit = int(path.split("/")[2])
            if method == "DELETE":
                self._end_permit(permit)
                return 200, {}
            if permit not in self.permits:
                return 404, {}
            held = self.permits[permit]
            held["until"] = time.monotonic() + held["ttl"]
            return 200, {"permit": permit}
        return 400, {"error": "malformed"}

    def _list(self, query):
        prefix, since = query.get("prefix", ""), query.get("since")
        most = min(int(query.get("most", "1000")), 1000)
        start = bisect.bisect_left(self.keys, prefix)
        if since is not None:
            start = max(start, bisect.bisect_right(self.keys, since))
        pairs, size, has_next = [], 0, False
        for key in self.keys[start:]:
            if not key.startswith(prefix):
                break
            pair = self._pair(key)
            size += len(json.dumps(pair))
            if len(pairs) >= most or pairs and size > 512 << 10:
                has_next = True
                break
            pairs.append(pair)
        return 200, {"pairs": pairs, "has_next": has_next, "ledger": self.ledger}

    def multi(self, body):
        conditions, changes = body.get("if", []), body.get("apply", [])
        if len(changes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"] \
                or len(json.dumps(body)) > 64 << 10:
            return 400, {"error": "transaction too large"}
        for change in changes:
            if "write" in change:
                if len(json.dumps(change["data"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                    return 400, {"error": "value too large"}
                if change.get("permit") is not None and change["permit"] not in self.permits:
                    return 400, {"error": "no such lease"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        failed = [c["k"] for c in conditions
                  if self.values.get(c["k"], {"stamp": 0})["stamp"] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if changes:
            self.ledger += 1
            for change in changes:
                if "write" in change:
                    self._write(change["write"], change["data"], change.get("permit"))
                else:
                    self._drop(change["drop"])
            self._wake()
        return 200, {"ledger": self.ledger}

    async def _watch(self, node, query):
        prefix, since = query.get("prefix", ""), int(query.get("since", "0"))
        deadline = time.monotonic() + min(int(query.get("block_ms", "0")), 60_000) / 1000.0
        while True:
            changed = self.changed
            # An open watch waits while the service is out or refuses this node.
            if not self.is_refused(node):
                if since < self.dropped_changes:
                    return 410, {"error": "too old"}
                start = bisect.bisect_right(self.changes, since, key=lambda change: change[0])
                log = [c for _, key, c in self.changes[start:] if key.startswith(prefix)]
                if log or time.monotonic() >= deadline:
                    return 200, {"ledger": self.ledger, "log": log}
            wait = max(0.01, deadline - time.monotonic()) if not self.is_refused(node) else 0.2
            try:
                await asyncio.wait_for(changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
