#!/bin/sh
# Puts the daemon and its libraries under target/deps.
set -eu
deps=target/deps
mkdir -p "$deps"
if [ ! -e target/installed ] || [ requirements.lock -nt target/installed ]; then
    python3 -m pip install -q -U --target "$deps" \
        -r deploy/requirements.txt -c requirements.lock
    touch target/installed
fi
rm -rf "$deps/rattangauge" "$deps/rattangauge_platform"
cp -R rattangauge "$deps/rattangauge"
cp -R platform "$deps/rattangauge_platform"
# Daemons on the platform cannot write compiled files, so each start would
# compile these modules again.
python3 -m compileall -q --invalidation-mode unchecked-hash \
    "$deps/rattangauge" "$deps/rattangauge_platform"
