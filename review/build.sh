#!/usr/bin/env bash
# The stand-ins are plain Python, the standard library alone: this compiles
# them, the project's own store stand-in too, so that a mistake shows here.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="$(mktemp -d)" PYTHONPATH=target/deps python3 - <<'END'
import compileall
import sys

folders = ["review", "pollenfork/platform/tests/soak"]
sys.exit(not all(compileall.compile_dir(each, quiet=1) for each in folders))
END
