#!/bin/sh
# Tests DRAIN: a request reaches a worker later than drain-s after a machine has
# acknowledged that it is gone. All daemons are killed after the acknowledgement.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
PYTHONPATH=.:target/deps:review/6 timeout -k 5 115 python3 "$here/case.py" "$here"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
