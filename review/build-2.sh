#!/bin/sh
# Checks that every stand-in of the second review can be started with the
# run-time packages alone, after the build of the deploy file. They are Python
# files, the project's own store among them, so nothing is left to compile.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "build the deploy file first"; exit 2; }
PYTHONPATH="target/deps:." exec python3 -c '
import pollenfork.platform.tests.soak.store
import review.second.dumping
import review.second.endless
import review.second.stand
import review.second.tokens
print("stand-ins are ready")
'
