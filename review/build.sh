#!/bin/sh
# Builds what the scripts of the cases start. The controllers come from the command of
# deploy/service.toml; the stand-ins are Python 3.11 programs on the standard library alone, so this
# only checks that they compile, without leaving files behind.
cd "$(dirname "$0")" || exit 2
for file in standins/*.py [0-9]*/*.py; do
    python3 - "$file" <<'END' || exit 2
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
END
done
