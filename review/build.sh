#!/bin/sh
# Compiles the stand-ins that the scripts of the review start. They need only
# Python; the daemons come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps/rattangauge_platform || {
    echo "run the build of the deploy file first" >&2
    exit 1
}
python3 -m compileall -q common 1 2 3 4 5
