#!/bin/sh
# Builds what the scripts in review/6 to review/10 start. The stand-ins are
# Python modules of this repository that run in the process of a script; they
# use the libraries that the build of the deploy file has put under target/.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/rattangauge_platform || sh deploy/build.sh
python3 -m compileall -q standins tools review/6 review/7 review/8 review/9
PYTHONPATH=.:target/deps:review/6:review/8 python3 -c "
import harness
import tenantload
"
