"""Command ``python -m standins.plain``."""

from __future__ import annotations

import asyncio
from typing import Annotated

import typer

from standins.plain import server


def main(
    port: Annotated[int, typer.Option(help='0 picks a free one.')],
    endpoint_id: Annotated[str, typer.Option()],
    service: Annotated[str, typer.Option()],
    version: Annotated[str, typer.Option()],
    host: Annotated[str, typer.Option()] = '127.0.0.1',
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Run a plain service that records the calls it ran."""
    plain = server.PlainServer(endpoint_id, service, version, seed)
    try:
        asyncio.run(server.serve(plain, host, port))
    except KeyboardInterrupt:
        pass


if __name__ == '__main__':
    typer.run(main)
