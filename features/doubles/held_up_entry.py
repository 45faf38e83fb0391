"""Runs an entry whose event loop is held up by SIGUSR1 for a time."""

from __future__ import annotations

import signal
import sys
import time

from godwitvalve.ingress import main

HELD_UP_S = 0.7


def _hold_up(number, frame):
    time.sleep(HELD_UP_S)


if __name__ == '__main__':
    signal.signal(signal.SIGUSR1, _hold_up)
    sys.exit(main.main())
