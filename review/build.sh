#!/usr/bin/env bash
# The stand-ins are Python 3.11 with its standard library alone: there is nothing to compile. This checks that they
# load, and that the build of the deploy file has left the program that the scripts start.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
sys.path.insert(0, "standins")
sys.dont_write_bytecode = True
import deployment
P
test -x ../target/figwinch-cell || { echo "target/figwinch-cell is missing: build the deploy file first"; exit 1; }
echo "stand-ins are ready"
