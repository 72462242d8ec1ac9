#!/usr/bin/env bash
# Builds the stand-ins of the cases, which use the standard library alone. The routers run from target/deps,
# which the build of the deploy file makes. Stand-ins of the project are not used.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]/case.py
