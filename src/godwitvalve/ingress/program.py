"""Reads the settings of an entry instance and runs it."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys

from godwitvalve.ingress import process
from godwitvalve.logs import setup as logs
from godwitvalve.platform import settings as wire_settings

EXIT_BAD_SETTINGS = 2
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def _serve(settings: wire_settings.FleetSettings) -> None:
    await process.FleetEntry(settings).run()
    # The event loop restores the default action of signals as it closes.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def run() -> int:
    """Serve callers until SIGTERM, then drain and stop.

    :returns: process exit code.
    """
    try:
        settings = wire_settings.load()
    except wire_settings.SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_BAD_SETTINGS
    logs.configure('INFO', settings.instance_id)
    asyncio.run(_serve(settings))
    # The interpreter collects garbage several times as it exits, which takes
    # 0.1 s of processor time, and SIGKILL may come first.
    gc.freeze()
    return 0
