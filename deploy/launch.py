"""Start an entry host from a checkout, importing only what it needs."""

import signal

# Signals wait until the host can handle them, so that none ends a process that starts.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))

import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
sys.path.pop(1)

# All that modules load stays, so that collections meanwhile would find nothing.
gc.disable()
from rosemarystream._internal.gateway.process import run_gateway  # noqa: E402

gc.freeze()
gc.enable()

sys.exit(run_gateway(Path(os.environ["ROSEMARYSTREAM_SETTINGS"])))
