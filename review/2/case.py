"""A job waits beside a machine with room, which is kept for a job whose team is at its limit."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins.case import run  # noqa: E402
from standins.cluster import TALADROT, Cluster, Record, job  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STATE_FILE = os.path.join(FOLDER, "state.json")
WAIT_S = 90.0
# How long the controllers were away: longer than `lease_s` (45 s).
AWAY_S = 300.0
CORES = 8.0
# All machines of the type yai16 that the site file has: four ordinary ones and five cheap ones.
MACHINES = [("bangna-east", False, 2), ("bangna-east", True, 2),
            ("chiangmai-north", False, 2), ("chiangmai-north", True, 3)]


def stockmatch(job_id, pieces, crew):
    """A job of the class `stockmatch`: tasks of 8 CPUs and 19 GB."""
    return job(job_id, pieces, cores=CORES, memory_gb=19.0, crew=crew, jobclass="stockmatch",
               urgency="normal", standby=True, guess_s=300.0)


# 96 CPUs, the limit of its team; another job of that team; and 40 CPUs of a second team.
EARLIER = [stockmatch("run-000001", 12, "dispatchcore-00"),
           stockmatch("run-000002", 12, "dispatchcore-00"),
           stockmatch("run-000003", 5, "dispatchcore-01")]
# One task of a third team, which uses nothing.
LATER = stockmatch("run-000004", 1, "dispatchcore-02")


async def record_state(record):
    """Lets the controllers accept the earlier jobs while no machine is up, and ends them all. Keeps
    what they left in the state service."""
    cluster = Cluster(record, site=TALADROT)
    cluster.cloud.capacity.clear()
    await cluster.start()
    try:
        cluster.start_nodes()
        await asyncio.sleep(2.0)
        for each in EARLIER:
            await cluster.submit(each)
        await asyncio.sleep(2.0)
    finally:
        cluster.stop()
    with open(STATE_FILE, "w", encoding="utf-8") as file:
        json.dump(cluster.state.dump(), file, indent=1)
    return 0, "the state is kept"


async def main(record):
    cluster = Cluster(record, site=TALADROT, run_s=lambda piece: 300.0)
    cluster.cloud.capacity.clear()
    await cluster.start()
    for zone, standby, count in MACHINES:
        for _ in range(count):
            cluster.cloud.add_running("yai16", zone, standby)
    if TROUBLE:
        with open(STATE_FILE, encoding="utf-8") as file:
            cluster.state.load(json.load(file), AWAY_S)
        record("state", f"holds what the controllers left when they all ended, {AWAY_S:.0f} s ago")
    try:
        cluster.start_nodes()
        if not TROUBLE:
            await asyncio.sleep(2.0)
            for each in EARLIER:
                await cluster.submit(each)
        if not await cluster.until(lambda: len(running(cluster)) == 17, 12.0):
            return 2, f"{len(running(cluster))} of 17 tasks of the earlier jobs run"
        status, _ = await cluster.submit(LATER)
        if status != 201:
            return 2, "the job was not accepted"
        return await watch(cluster, record)
    finally:
        cluster.stop()


def running(cluster):
    return [piece for worker in cluster.workers() for piece in worker.pieces.values()
            if piece.status == "running"]


def room(cluster):
    """Machines on which a task of the later job fits."""
    fitting = []
    for machine in cluster.cloud.present():
        if machine.worker:
            pieces = [p for p in machine.worker.pieces.values() if p.status == "running"]
            if cluster.site.types[machine.hulltype]["cores"] - CORES * len(pieces) >= CORES:
                fitting.append(machine.name)
    return fitting


async def watch(cluster, record):
    began = time.monotonic()
    while time.monotonic() - began < WAIT_S:
        if any(piece.startswith("run-000004/") for _, _, piece, _, _ in cluster.history):
            return 0, f"held: started after {time.monotonic() - began:.1f} s"
        if cluster.ended():
            return 2, f"ended by themselves: {cluster.ended()}"
        fitting = room(cluster)
        if not fitting:
            return 0, "held: no machine has room"
        if int(time.monotonic() - began) % 10 == 0:
            _, answer = await cluster.poll("run-000004")
            record("test", f"{answer.get('status')}, with room on {fitting}")
        await asyncio.sleep(1.0)
    return 1, f"waited for {WAIT_S:.0f} s with room on {room(cluster)}"


if __name__ == "__main__":
    if sys.argv[1:] == ["record-state"]:
        run(record_state, Record(os.devnull))
    else:
        run(main, Record(os.path.join(FOLDER, "record.txt")))
