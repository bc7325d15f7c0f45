#!/bin/sh
# Exits with 1 if an unsafe request ran more than once, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
