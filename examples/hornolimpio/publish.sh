#!/usr/bin/env bash
# Publishes the request classes of the Hornolimpio Booking Gateway, which has 4 data centres, about 20 backend servers
# of the service reservas and about 10 of cuadrilla. Run it once. PLATFORM is the "ip:port" of the platform.
set -euo pipefail
ctl=(pulleyctl --platform "${PLATFORM:-10.1.0.5:7000}" --author "${AUTHOR:-$USER}")

# Customers look up free time slots and wait for the page to load.
"${ctl[@]}" class set slot-lookup --service reservas --idempotent=true --latency_ms 150 --reliability 0.999
# A reservation must run at most once.
"${ctl[@]}" class set reservation --service reservas --idempotent=false --latency_ms 400 --reliability 0.9999
# The phones of the work crews fetch the day's job sheet each morning.
"${ctl[@]}" class set job-sheet --service cuadrilla --idempotent=true --latency_ms 500 --reliability 0.995

"${ctl[@]}" budget set reservas --probes_per_second 4
"${ctl[@]}" budget set cuadrilla --probes_per_second 2
"${ctl[@]}" show
