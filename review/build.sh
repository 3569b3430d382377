#!/bin/sh
# Compiles the stand-ins, which need only the packages that the deploy file's build has put into
# target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/lib python3 -c "import aiohttp, msgspec, system"
