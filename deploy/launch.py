"""Start an entry host from a checkout, importing only what it needs."""

import gc
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
sys.path.pop(1)

# All that modules load stays, so that collections meanwhile would find nothing.
gc.disable()
from rosemarystream._internal.gateway.process import run_gateway  # noqa: E402

gc.freeze()
gc.enable()

sys.exit(run_gateway(Path(os.environ["ROSEMARYSTREAM_SETTINGS"])))
