"""Processes that a scenario starts and stops."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]


def start(context, *command):
    """Start a Python module as a process that listens on a port.

    :param command: name of the module and its arguments.
    :returns: the process and its port.
    """
    paths = os.pathsep.join((str(ROOT / 'src'), str(ROOT)))
    process = subprocess.Popen(
        [sys.executable, '-m', *command],
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': paths},
    )
    context.cleanups.append(lambda: stop(process))
    line = process.stdout.readline()
    assert line.startswith('listening on '), line
    return process, int(line.split()[-1])


def stop(process):
    """Kill a process that a scenario started, also while it is paused."""
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.kill()
    process.wait()
    process.stdout.close()
