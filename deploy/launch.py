"""Start an entry host from a checkout, importing only what it needs."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
sys.path.pop(1)

from rosemarystream._internal.gateway.process import run_gateway  # noqa: E402

sys.exit(run_gateway(Path(os.environ["ROSEMARYSTREAM_SETTINGS"])))
