"""Runs a case: its exit status is 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

import asyncio
import signal
import sys
import traceback


def _end(*_):
    sys.exit(2)


def run(case, record):
    """Runs the coroutine function `case(record)`, which returns the status and a line of text.

    Whatever goes wrong in the script itself is no broken rule. On a signal to end, the script still
    ends what it has started.
    """
    signal.signal(signal.SIGTERM, _end)
    signal.signal(signal.SIGINT, _end)
    try:
        code, text = asyncio.run(case(record))
    except Exception as error:
        traceback.print_exc()
        code, text = 2, f"the case couldn't run: {error!r}"
    record("test", f"result {code}: {text}")
    print(text)
    sys.exit(code)
