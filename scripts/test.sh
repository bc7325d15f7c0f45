#!/usr/bin/env bash
# Installs the packages, builds, and runs all tests. The last line tells how many passed and how many failed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
cmake --preset release >/dev/null
cmake --build --preset release
scripts/run_tests.sh build/release
