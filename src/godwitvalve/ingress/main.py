"""Runs one entry instance on the platform."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Serve callers until SIGTERM, then drain and stop.

    :returns: process exit code.
    """
    # SIGHUP ends a process that does not handle it, and the imports take
    # most of the start. The settings are read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from godwitvalve.ingress import program

    return program.run()


if __name__ == '__main__':
    sys.exit(main())
