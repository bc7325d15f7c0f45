#!/usr/bin/env bash
# Checks what the scripts of the third review need: the program of the deploy file's build, and a
# Python that reads the stand-ins. These are Python, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/mulberryd || { echo "build-3: run the build of deploy/system.toml first" >&2; exit 2; }
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile review/standins3.py review/1[1-5]/case.py
echo "build-3: ok"
