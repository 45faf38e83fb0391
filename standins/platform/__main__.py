"""Runs the platform stand-in: ``python -m standins.platform --port 0``."""

from __future__ import annotations

import asyncio
import signal
from typing import Annotated

from aiohttp import web
import typer

from standins.platform import server


async def _serve(port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runner = web.AppRunner(server.build_app(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    print(f'listening on {runner.addresses[0][1]}', flush=True)
    await stop.wait()
    await runner.cleanup()


def main(port: Annotated[int, typer.Option(min=0, max=65535)] = 0) -> None:
    """Serve the platform's HTTP interface on a loopback port.

    :param port: TCP port; 0 picks a free one.
    """
    asyncio.run(_serve(port))


if __name__ == '__main__':
    typer.run(main)
