#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if nothing could run.
# TROUBLE=0 plays the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
exec python3 "$here/case.py"
