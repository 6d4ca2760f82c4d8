#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They are Python
# modules on the libraries of the deploy file, so they are compiled and imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
modules=(standins/object_store.py standins/backend_server.py standins/link.py
    review/rig3.py review/drill_store3.py)
for module in "${modules[@]}"; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$module"
done
python3 -c 'import review.rig3, review.drill_store3, standins.object_store'
echo "stand-ins of the third review: built"
