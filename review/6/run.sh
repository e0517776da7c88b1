#!/bin/sh
# Plays a store that comes back from a copy; TROUBLE=0 leaves that out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH="target/deps:." exec python3 -m review.second.copied "$folder"
