#!/usr/bin/env bash
# Builds and runs the benchmarks from which docs/CAPACITY.md is derived, and prints the measured costs with the size
# that each was measured at.
# Usage: [LARGEST=32] scripts/capacity.sh [BUILD_DIRECTORY]; LARGEST is the number of entry hosts of the largest fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
[ -d "$build" ] || cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" -j 4 --target capacity_bench fleet_bench >/dev/null
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg), processors: $(nproc)"
"$build/bin/capacity_bench"
"$build/bin/fleet_bench" --largest="${LARGEST:-32}"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
