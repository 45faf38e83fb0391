"""Health probes on connections of their own."""

from __future__ import annotations

import asyncio

import h11

from godwitvalve.forwarding import channel as channels
from godwitvalve.platform import headers as wire

PROBE_LIMIT_S = 0.4


async def accepts_connections(address: str) -> bool:
    """Tell whether an endpoint accepts a connection."""
    try:
        channel = await channels.connect(address)
    except channels.ConnectFailed:
        return False
    channel.close()
    return True


async def read_identity(address: str, health_path: str) -> str:
    """Return the id of the healthy endpoint at an address, or ''."""
    channel: channels.EndpointChannel | None = None
    try:
        async with asyncio.timeout(PROBE_LIMIT_S):
            channel = await channels.connect(address)
            channel.begin(
                h11.Request(
                    method='GET',
                    target=health_path,
                    headers=[('Host', address)],
                ),
                b'',
            )
            event = await channel.next_event()
    except (
        channels.ConnectFailed,
        channels.ChannelBroken,
        asyncio.TimeoutError,
    ):
        return ''
    finally:
        if channel is not None:
            channel.close()
    if not isinstance(event, h11.Response) or event.status_code != 200:
        return ''
    return wire.read_identity(event.headers.raw_items())
