"""Runs the project's controllers as processes against the stand-ins.

The settings are those of the small deployments (DEPLOY, the site files): three controllers, with
the limits and times that the site files state.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from . import http
from .cloud import Cloud
from .network import Link
from .state import State
from .workers import Worker

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODES = ["hull-0", "hull-1", "hull-2"]


class Site:
    """A deployment: the numbers of its site file."""

    def __init__(self, zones, node_zones, workers, state, cloud, limits, teams, types, capacity,
                 running):
        self.zones, self.node_zones = zones, node_zones
        self.workers, self.state, self.cloud, self.limits = workers, state, cloud, limits
        self.teams = teams
        self.types = {t[0]: dict(zip(TYPE_FIELDS, t), yards=zones) for t in types}
        self.capacity = {(t, zone, standby): count for zone in zones
                         for t, standby, count in capacity}
        self.running = running


TYPE_FIELDS = ("label", "cores", "cards", "memory_gb", "cache_gb", "pull_gb_per_s", "price",
               "spot_price", "ready_s")
MATURANT = Site(
    zones=["rijeka-kantrida", "split-lucac", "zagreb-trnje"],
    node_zones=["split-lucac", "zagreb-trnje", "rijeka-kantrida"],
    workers={"report_s": 3.0, "lease_s": 27.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0,
             "cancel_s": 52.0},
    state={"rps": 150.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
    cloud={"rps": 3.0, "list_lag_s": 4.0},
    limits={"cpu": 0.064, "mem_mb": 56.0, "max_connections": 800},
    teams=[(f"prijelom-{n:02}", 112.0, 360.0) for n in range(6)],
    types=[("slog16", 16, 0, 128, 30, 0.5, 1.38, 0.43, 50),
           ("arak64", 64, 0, 256, 80, 0.5, 4.84, 1.67, 30)],
    capacity=[("slog16", False, 3), ("slog16", True, 6), ("arak64", False, 1), ("arak64", True, 1)],
    running=["slog16", "arak64"])
TALADROT = Site(
    zones=["bangna-east", "chiangmai-north"],
    node_zones=["bangna-east", "chiangmai-north", "bangna-east"],
    workers={"report_s": 3.0, "lease_s": 45.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0,
             "cancel_s": 65.0},
    state={"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 48},
    cloud={"rps": 4.0, "list_lag_s": 6.0},
    limits={"cpu": 0.064, "mem_mb": 136.0, "max_connections": 3000},
    teams=[(f"dispatchcore-{n:02}", 32.0, 96.0) for n in range(10)],
    types=[("lek4", 4, 0, 16, 80, 0.5, 0.25, 0.06, 35), ("yai16", 16, 0, 64, 80, 0.8, 0.93, 0.22, 25)],
    capacity=[("lek4", False, 7), ("lek4", True, 6), ("yai16", False, 2), ("yai16", True, 2)],
    running=[])


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, who, text):
        self.file.write(f"{self.now():8.3f} {who}: {text}\n")
        self.file.flush()


def free_ports(count):
    """Ports that nobody listens on. They are below those that systems give to outgoing connections,
    which could otherwise take one of them before a controller listens on it."""
    ports = []
    for port in random.sample(range(20_000, 32_000), 1_000):
        with socket.socket() as probe:
            try:
                probe.bind((http.HOST, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            break
    return ports


class Cluster:
    def __init__(self, record, site=MATURANT, run_s=lambda piece: 20.0):
        self.record, self.site = record, site
        self.folder = tempfile.mkdtemp(prefix="woadlever-review-")
        self.state = State(record, site.state)
        self.cloud = Cloud(record, site.types, site.capacity, site.cloud, self._boot_worker)
        self.run_s = run_s
        self.processes = {}
        self.public = {}
        self.internal = {}
        # Links from a controller to another one, and from a controller to the state service.
        self.peer_links = {}
        self.state_links = {}
        self.on_event = None
        self.history = []
        self.worker_faults = None
        with open(os.path.join(REPOSITORY, "deploy", "service.toml"), "rb") as file:
            self.command = tomllib.load(file)["run"].split()

    async def start(self, running=True):
        await self.state.start(NODES)
        await self.cloud.start(NODES)
        ports = free_ports(2 * len(NODES))
        for index, node in enumerate(NODES):
            self.public[node] = f"{http.HOST}:{ports[2 * index]}"
            self.internal[node] = f"{http.HOST}:{ports[2 * index + 1]}"
        for node in NODES:
            state = self.state.servers[node].address()
            self.state_links[node] = await Link(state).start()
            for other in NODES:
                if other != node:
                    self.peer_links[node, other] = await Link(self.internal[other]).start()
        if running:
            for zone in self.site.zones:
                for hulltype in self.site.running:
                    self.cloud.add_running(hulltype, zone)

    def start_nodes(self, nodes=NODES):
        for node in nodes:
            self.start_node(node)

    def start_node(self, node):
        path = os.path.join(self.folder, f"{node}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self._settings(node))
        log = open(os.path.join(self.folder, f"{node}.log"), "a", encoding="utf-8")
        program = os.path.join(REPOSITORY, self.command[0])
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[node] = subprocess.Popen(
            [program, *self.command[1:], path], stderr=log, stdin=subprocess.DEVNULL, cwd=REPOSITORY,
            env=environment)
        log.close()
        self.record(node, f"started, process {self.processes[node].pid}")

    def kill(self, node):
        process = self.processes.pop(node)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()
        self.record(node, "killed")

    def freeze(self, node):
        self.processes[node].send_signal(signal.SIGSTOP)
        self.record(node, "stopped (SIGSTOP)")

    def thaw(self, node):
        self.processes[node].send_signal(signal.SIGCONT)
        self.record(node, "continued (SIGCONT)")

    def links_of(self, node, state, peers):
        links = [self.state_links[node]] if state else []
        if peers:
            links += [link for pair, link in self.peer_links.items() if node in pair]
        return links

    def cut(self, node, state=False, peers=False):
        for link in self.links_of(node, state, peers):
            link.cut()
        lost = " and ".join(["the state service"] * state + ["the other controllers"] * peers)
        self.record("network", f"{node} is cut from {lost}")

    def heal(self, node, state=False, peers=False):
        for link in self.links_of(node, state, peers):
            link.heal()
        self.record("network", f"{node} is connected again")

    def ended(self):
        """Controllers that have ended by themselves."""
        ended = [node for node, process in self.processes.items() if process.poll() is not None]
        for node in ended:
            with open(os.path.join(self.folder, f"{node}.log"), encoding="utf-8") as log:
                self.record(node, f"has ended: {log.read().strip().splitlines()[-1:]}")
        return ended

    def stop(self):
        for node in list(self.processes):
            self.kill(node)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, node):
        index = NODES.index(node)
        text = [f'host_name = "{node}"', f'domain = "{self.site.node_zones[index]}"',
                f'bind = "{self.public[node]}"', f'internal_addr = "{self.internal[node]}"']
        for other in NODES:
            if other != node:
                address = self.peer_links[node, other].address()
                text += ["[[known]]", f'host_name = "{other}"',
                         f'domain = "{self.site.node_zones[NODES.index(other)]}"',
                         f'endpoint = "{address}"']
        text += ["[endpoints]", f'cloud = "{self.cloud.servers[node].address()}"',
                 f'state = "{self.state_links[node].address()}"',
                 "[cluster]", f"count = {len(NODES)}",
                 f"zones = {json.dumps(self.site.zones)}", "clock_off_ms = 25.0"]
        for name, cpus, cpus_max in self.site.teams:
            text += ["[[cluster.teams]]", f'name = "{name}"', f"cpus = {cpus}",
                     f"cpus_max = {cpus_max}", "gpus = 0.0", "gpus_max = 0.0"]
        for section in ("workers", "state", "cloud", "limits"):
            values = getattr(self.site, section)
            text += [f"[cluster.{section}]"] + [f"{key} = {value}" for key, value in values.items()]
        return "\n".join(text) + "\n"

    # ---- workers ----

    def _boot_worker(self, machine):
        nodes = [(node, self.public[node]) for node in NODES]
        self.record("cloud", f"{machine.name} ({machine.hulltype}, {machine.yard}) is up")
        worker = Worker(machine, nodes, self.site.workers, self.run_s, self._event, self.record)
        if self.worker_faults:
            self.worker_faults(worker)
        return worker

    def workers(self):
        return [machine.worker for machine in self.cloud.present() if machine.worker]

    def _event(self, at, kind, piece, attempt, machine):
        self.history.append((at, kind, piece, attempt, machine))
        self.record(machine, f"{kind} {piece} try {attempt}")
        if self.on_event:
            self.on_event(at, kind, piece, attempt, machine)

    # ---- users ----

    async def call(self, node, method, path, body=None, timeout=5.0, quiet=False):
        status, answer, headers = await http.request(self.public[node], method, path, body, timeout)
        if not quiet:
            self.record("user", f"{method} {path} at {node}: {status} {answer}")
        return status, answer

    async def submit(self, job, nodes=NODES, within_s=60.0):
        """Submits a job as a user does: again after 1 s until it is accepted or refused."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            status, answer = await self.call(random.choice(nodes), "POST", "/api/jobs", job)
            if status in (200, 201, 400, 422):
                return status, answer
            await asyncio.sleep(1.0)
        return 0, {}

    async def cancel(self, job_id, nodes=NODES, within_s=60.0):
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            status, answer = await self.call(random.choice(nodes), "POST", f"/api/jobs/{job_id}/cancel")
            if status == 200:
                return answer["status"]
            await asyncio.sleep(1.0)
        return None

    async def poll(self, job_id, nodes=NODES, quiet=False):
        return await self.call(random.choice(nodes), "GET", f"/api/jobs/{job_id}", timeout=2.0,
                               quiet=quiet)

    async def until(self, condition, within_s, step_s=0.1):
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            if condition():
                return True
            await asyncio.sleep(step_s)
        return condition()

    def leader(self):
        """The controller that leads: the one that called the cloud last."""
        return self.cloud.calls[-1][1] if self.cloud.calls else None


def job(job_id, pieces, cores=2.0, memory_gb=4.3, crew="prijelom-00", **other):
    """A submission of the class `proofrender`."""
    body = {"name_id": job_id, "jobclass": "proofrender", "crew": crew, "shape": "batch",
            "urgency": "urgent", "pieces": pieces, "cores": cores, "cards": 0.0,
            "memory_gb": memory_gb, "hulltypes": None, "yard": None, "one_zone": False,
            "scatter": False, "standby": False, "bundle": "img-07", "pull_gb": 0.0, "guess_s": 20.0,
            "bookmark_s": 0.0, "stow_s": 0.0, "due_s": None}
    body.update(other)
    return body
