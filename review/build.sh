#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library, so nothing has to be compiled. The scripts start
# target/bin/mulberryd, which the build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'P'
import glob, sys
sys.dont_write_bytecode = True
import asyncio, tomllib  # Python 3.11 at least.
asyncio.timeout
for name in glob.glob("review/*.py") + glob.glob("review/*/*.py"):
    compile(open(name).read(), name, "exec")
P
echo "review: stand-ins are ready"
