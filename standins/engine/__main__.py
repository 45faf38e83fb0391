"""Command ``python -m standins.engine``."""

from __future__ import annotations

import asyncio

import typer

from standins.engine import server
from standins.engine import streams


def main(
    port: int = 0,
    host: str = '127.0.0.1',
    endpoint_id: str = 'engine-1',
    service: str = 'summaries',
    version: str = 'v1',
    token_interval_ms: float = 10.0,
    tokens_per_event: int = 1,
    prefill_ms_per_1000_tokens: float = 10.0,
    cache_entries: int = 64,
    orphan_limit_s: float = 10.0,
    checks_fencing: bool = True,
) -> None:
    """Run a stand-in model engine."""
    speed = streams.Speed(
        token_interval_ms / 1000,
        tokens_per_event,
        prefill_ms_per_1000_tokens / 1000,
        orphan_limit_s,
    )
    identity = server.Identity(endpoint_id, service, version, checks_fencing)
    engine = server.EngineServer(identity, speed, cache_entries)
    asyncio.run(server.serve(engine, host, port))


if __name__ == '__main__':
    typer.run(main)
