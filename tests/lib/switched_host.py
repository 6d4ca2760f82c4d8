"""Run the program with one mechanism disabled; see `switches`."""

import sys

from gevent import monkey

monkey.patch_all()

from rosemarystream.__main__ import main  # noqa: E402
from tests.lib.switches import apply_switch  # noqa: E402

if __name__ == "__main__":
    apply_switch()
    sys.exit(main())
