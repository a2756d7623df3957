#!/bin/sh
# Tests QUOTA: a tenant gets more requests than its rate and burst allow. Three
# of twelve machines are cut off from the others for a time.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
PYTHONPATH=.:target/deps:review/6:review/8 timeout -k 5 115 python3 "$here/case.py" "$here"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
