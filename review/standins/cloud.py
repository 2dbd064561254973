"""A stand-in of the cloud (PROTOCOL, "Controller nodes -> cloud").

Each controller gets an address of its own, so that the record tells which controller called.
"""

import asyncio
import time

from . import http
from .state import Bucket


class Machine:
    def __init__(self, name, hulltype, yard, standby, charter, rented_by):
        self.name, self.hulltype, self.yard, self.standby = name, hulltype, yard, standby
        self.charter, self.rented_by = charter, rented_by
        self.rented_at = time.monotonic()
        self.up_at = None
        self.gone_at = None
        self.worker = None

    def listed(self, endpoint, as_of):
        is_up = self.up_at is not None and self.up_at <= as_of
        return {"name_id": self.name, "endpoint": endpoint, "hulltype": self.hulltype,
                "yard": self.yard, "standby": self.standby,
                "status": "running" if is_up else "starting",
                "age_s": max(0.0, round(as_of - self.rented_at, 3))}


class Cloud:
    """`capacity` maps (type, yard, standby) to the number of machines that can be rented."""

    def __init__(self, record, types, capacity, limits, boot_worker):
        self.record, self.types, self.limits = record, types, limits
        self.capacity = dict(capacity)
        self.boot_worker = boot_worker
        self.machines = {}
        self.charters = {}
        self.last_number = 230
        self.servers = {}
        self.rate = Bucket(limits["rps"])
        self.out = False
        self.calls = []

    async def start(self, nodes):
        for node in nodes:
            handler = lambda m, p, q, b, node=node: self._handle(node, m, p, q, b)
            self.servers[node] = await http.Server(handler).start()

    def add_running(self, hulltype, yard, standby=False):
        """Adds a machine that was up before the start."""
        machine = self._add(hulltype, yard, standby, None, None)
        machine.rented_at -= 600.0
        self._boot(machine)
        machine.up_at = machine.rented_at + self.types[hulltype]["ready_s"]
        return machine

    def present(self):
        return [machine for machine in self.machines.values() if machine.gone_at is None]

    def _add(self, hulltype, yard, standby, charter, node):
        self.last_number += 1
        name = f"host-{self.last_number:06}"
        machine = Machine(name, hulltype, yard, standby, charter, node)
        self.machines[name] = machine
        return machine

    def _boot(self, machine):
        if machine.gone_at is None:
            machine.up_at = time.monotonic()
            machine.worker = self.boot_worker(machine)

    def _used(self, offer):
        return sum((m.hulltype, m.yard, m.standby) == offer and m.charter is not None
                   for m in self.present())

    async def _handle(self, node, method, path, query, body):
        await asyncio.sleep(0.1)
        self.calls.append((time.monotonic(), node, method, path))
        if self.out:
            return 503, {"error": "trouble"}
        if not self.rate.take():
            return 429, {"error": "too many requests"}
        if path == "/catalog":
            return 200, {"hulltypes": list(self.types.values())}
        if path == "/rentals" and method == "GET":
            return self._list(query)
        if path == "/rentals":
            return self._rent(node, body)
        if path == "/rentals/return":
            return await self._return(node, body)
        return 400, {"error": "malformed"}

    def _list(self, query):
        as_of = time.monotonic() - self.limits["list_lag_s"]
        since, most = query.get("since", ""), min(int(query.get("most", "500")), 500)
        listed = [m for name, m in sorted(self.machines.items())
                  if name > since and m.rented_at <= as_of
                  and (m.gone_at is None or m.gone_at > as_of)]
        page = [m.listed(m.worker.endpoint() if m.worker else "127.0.0.1:9", as_of)
                for m in listed[:most]]
        return 200, {"hulls": page, "has_next": len(listed) > most}

    def _rent(self, node, body):
        charter, offer = body["charter"], (body["hulltype"], body["yard"], body["standby"])
        if charter in self.charters:
            return 200, {"hulls": self.charters[charter]}
        free = self.capacity.get(offer, 0) - self._used(offer)
        count = min(int(body["count"]), 50, free)
        names = []
        for _ in range(max(count, 0)):
            machine = self._add(*offer, charter, node)
            names.append(machine.name)
            boot_s = self.types[machine.hulltype]["ready_s"]
            asyncio.get_running_loop().call_later(boot_s, self._boot, machine)
        result = ",".join(names) if names else "no capacity"
        self.record("cloud", f"{node} rents {body['count']} {offer[0]} in {offer[1]}"
                    f"{' cheap' if offer[2] else ''} as {charter}: {result}")
        if not names:
            return 503, {"error": "no capacity"}
        self.charters[charter] = names
        return 200, {"hulls": names}

    async def _return(self, node, body):
        for name in body.get("hulls", []):
            machine = self.machines.get(name)
            if machine is None or machine.gone_at is not None:
                continue
            machine.gone_at = time.monotonic()
            if machine.worker is not None:
                machine.worker.destroy()
            self.record("cloud", f"{node} returns {name}")
        return 200, {}
