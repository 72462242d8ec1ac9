#!/usr/bin/env bash
# Prepares the stand-ins that the scripts in review/6 to review/10 start. They are Python programs: the
# project's own stand-in of the store runs on the libraries that deploy/build.sh puts under target/deps, those
# in review/rig2 and the clients in review/9/crowd.py on the standard library. Nothing is compiled; this checks
# that each of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps/hibiscusdrum ]; then
    bash deploy/build.sh
fi
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:. python3 -c 'import tools.standins.rows_store'
PYTHONPATH=. python3 -c 'import review.rig2.system, review.rig2.instance'
PYTHONPATH=review/9 python3 -c 'import crowd'
echo "stand-ins can be loaded"
