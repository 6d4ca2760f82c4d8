#!/bin/sh
# Builds the stand-ins that the cases start. All are Python modules that use the
# libraries in target/deps, so that importing them is all there is to build.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q standins review || exit 1
PYTHONPATH="target/deps:src:.:review" python3 -c "
import common, servers
from standins import link, object_store
"
