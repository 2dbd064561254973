"""Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

import asyncio
import os
import signal
import sys
import traceback

from cluster import ROOT, Record

LIMIT_S = 119.0


def run_case(folder, scenario):
    """`scenario(record, trouble)` is a coroutine that returns whether the rule was broken."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", os.path.basename(folder), "with" if trouble else "without", "the disruption")

    async def limited():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(scenario(record, trouble), LIMIT_S)

    try:
        if not os.access(os.path.join(ROOT, "target", "release", "woadlever"), os.X_OK):
            raise RuntimeError("target/release/woadlever is not built")
        broken = asyncio.run(limited())
    except BaseException as error:  # the case couldn't run, whatever the reason
        record("the case couldn't run:", repr(error))
        traceback.print_exc()
        sys.exit(2)
    record("the rule was", "broken" if broken else "kept")
    print("broken" if broken else "kept")
    sys.exit(1 if broken else 0)
