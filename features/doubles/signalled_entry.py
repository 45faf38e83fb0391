"""Runs an entry that gets a signal as it starts or as it exits.

Arguments: ``start`` or ``exit``, and the name of the signal.
"""

from __future__ import annotations

import atexit
from importlib import abc
import runpy
import signal
import sys

ENTRY = 'godwitvalve.ingress.main'
# One of the modules that an entry imports.
IMPORTED = 'aiohttp'


class _SignalAtImport(abc.MetaPathFinder):
    """Sends a signal to the process before the import of a module."""

    def __init__(self, number):
        self._number = number

    def find_spec(self, fullname, path, target=None):
        """Find nothing; send the signal if the module is the chosen one."""
        if fullname == IMPORTED:
            signal.raise_signal(self._number)


def main():
    """Send the signal at the time that the arguments name."""
    stage, name = sys.argv[1:]
    number = signal.Signals[name]
    if stage == 'start':
        sys.meta_path.insert(0, _SignalAtImport(number))
    else:
        atexit.register(signal.raise_signal, number)
    runpy.run_module(ENTRY, run_name='__main__')


if __name__ == '__main__':
    main()
