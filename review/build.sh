#!/usr/bin/env bash
# The stand-ins are plain Python, the standard library alone, so nothing has to
# be made of them. This compiles and imports them, the project's own store too,
# so that a mistake shows here; it writes nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
import pathlib

from pollenfork.platform.tests.soak import store
from review import client
from review import cloud
from review import runner
from review import site

for path in sorted(pathlib.Path("review").glob("*/case.py")):
    compile(path.read_text(), str(path), "exec")
END
