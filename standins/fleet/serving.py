"""Serves a stand-in until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
from collections import abc
import signal

from aiohttp import web


async def serve(build: abc.Callable[[], web.Application], port: int) -> None:
    """Serve on a loopback port and print its number."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runner = web.AppRunner(
        build(), shutdown_timeout=0.1, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    print(f'listening on {runner.addresses[0][1]}', flush=True)
    await stop.wait()
    await runner.cleanup()
