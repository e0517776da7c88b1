#!/bin/sh
# Plays a runner that sends tokens without end; TROUBLE=0 leaves that out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH="target/deps:." exec python3 -m review.second.tokens "$folder"
