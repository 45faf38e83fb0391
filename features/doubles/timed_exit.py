"""Runs an entry and prints its processor time at the begin of its exit."""

from __future__ import annotations

import atexit
import sys
import time

from godwitvalve.ingress import main


def _print_time():
    print(f'processor time {time.process_time()}', flush=True)


if __name__ == '__main__':
    # Registered first, so that it runs after all other functions.
    atexit.register(_print_time)
    sys.exit(main.main())
