#!/usr/bin/env bash
# Publishes the request classes of the Huon Ridge Drying Log Gateway, which has 3 data centres, about 20 backend servers
# of the service batch-log and about 15 of rack-status. Run it once. PLATFORM is the "ip:port" of the platform.
set -euo pipefail
ctl=(pulleyctl --platform "${PLATFORM:-10.2.0.5:7000}" --author "${AUTHOR:-$USER}")

# Warehouse staff look up moisture readings.
"${ctl[@]}" class set moisture-lookup --service batch-log --idempotent=true --latency_ms 200 --reliability 0.999
# A sign-off releases a lot for shipping and must run at most once.
"${ctl[@]}" class set sign-off --service batch-log --idempotent=false --latency_ms 500 --reliability 0.9999
# Growers check the status of their drying racks.
"${ctl[@]}" class set rack-check --service rack-status --idempotent=true --latency_ms 250 --reliability 0.999

"${ctl[@]}" budget set batch-log --probes_per_second 4
"${ctl[@]}" budget set rack-status --probes_per_second 3
"${ctl[@]}" show
