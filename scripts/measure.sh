#!/usr/bin/env bash
# Compares the load balancer with its naive mode (round robin, at most three attempts), both run as real processes, and
# prints the result tables.
# Usage: BUILD=build/release scripts/measure.sh [--tables=1,2,3,4] [--seconds=8] [--out=FILE]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build/release}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" --target measure -- -j4 >&2
exec "$build/bin/measure" "$@"
