"""Start an entry host from a checkout, importing only what it needs."""

import signal
import time

# Times at which the process was told to stop while it started.
told_to_stop_at: list[float] = []

# Until the host can handle signals, none ends a process that starts: the time of a stop
# counts from its signal, and a reload waits.
signal.signal(signal.SIGTERM, lambda *_: told_to_stop_at.append(time.monotonic()))
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))

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

settings = Path(os.environ["ROSEMARYSTREAM_SETTINGS"])
sys.exit(run_gateway(settings, told_to_stop_at=told_to_stop_at))
