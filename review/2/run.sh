#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1
export PYTHONDONTWRITEBYTECODE
timeout -k 5 115 python3 case.py
code=$?
case $code in 0|1) exit $code;; *) exit 2;; esac
