#!/usr/bin/env bash
# Exits with 1 if a planned stop cuts an answer, with 0 if not, with 2 if it cannot tell.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
