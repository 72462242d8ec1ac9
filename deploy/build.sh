#!/usr/bin/env bash
# Puts the pinned libraries and the package, compiled to bytecode, under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-deps --target target/deps -r deploy/requirements.txt
    touch target/.installed
fi
rm -rf target/deps/hibiscusdrum
cp -r src/hibiscusdrum target/deps/hibiscusdrum
find target/deps/hibiscusdrum -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q -o 0 target/deps || true
