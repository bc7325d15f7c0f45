#!/usr/bin/env bash
# Installs the packages, builds, and runs the demo scenario on loopback: it publishes classes, serves idempotent and
# non-idempotent requests, kills an entry host, takes a data centre out and brings it back, restarts a backend server
# cold, and stops an entry host gracefully. The printed table is computed from the records of the callers and the
# backend servers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
cmake --preset release >/dev/null
cmake --build --preset release --target mulberryd pulleyctl standin_platform standin_server standin_caller scenario_runner
build/release/bin/scenario_runner --scenario=scenarios/demo.scenario --table
echo "demo: all checks hold"
