#!/bin/sh
# The stand-ins of the third review are Python and need no build beyond that of the deploy file.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/world-3 exec python3 -c "import world3"
