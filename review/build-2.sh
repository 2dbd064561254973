#!/bin/bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are Python files that use
# the standard library only, so this checks that an interpreter (3.9 or newer) is there and that each
# file compiles. Nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins-2/*.py [4-8]/*.py <<'PYTHON'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("stand-ins are in order:", len(sys.argv) - 1, "files")
PYTHON
