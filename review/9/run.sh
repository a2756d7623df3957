#!/bin/sh
# Tests QUOTA: a tenant gets more requests than its rate and burst allow. One
# daemon, which gives out the tokens of the tenant, is killed once.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
PYTHONPATH=.:target/deps:review/6:review/8 timeout -k 5 115 python3 "$here/case.py" "$here"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
