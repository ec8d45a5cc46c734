#!/bin/sh
# The stand-ins need no build; this checks that they and the deploy file's build are there.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/sycamorehaven
python3 -m compileall -q review
