"""Health probes on connections of their own."""

from __future__ import annotations

import asyncio

import h11

from godwitvalve.forwarding import channel as channels
from godwitvalve.forwarding import message_memory
from godwitvalve.forwarding import sockets
from godwitvalve.parsing import throttle as throttles
from godwitvalve.platform import headers as wire

PROBE_LIMIT_S = 0.4
# A probe reads at most one head.
PROBE_MEMORY_BYTES = 128 * 1024


def _probe_memory() -> message_memory.MessageMemory:
    return message_memory.MessageMemory(PROBE_MEMORY_BYTES)


async def accepts_connections(address: str) -> bool:
    """Tell whether an endpoint accepts a connection."""
    return await sockets.accepts_connections(address, channels.CONNECT_LIMIT_S)


async def outlives(address: str) -> bool:
    """Tell whether an endpoint goes on that has just ended a connection."""
    return await sockets.outlives(address, channels.CONNECT_LIMIT_S)


async def read_identity(address: str, health_path: str) -> str:
    """Return the id of the healthy endpoint at an address, or ''."""
    channel: channels.EndpointChannel | None = None
    try:
        async with asyncio.timeout(PROBE_LIMIT_S):
            channel = await channels.connect(
                address, _probe_memory(), throttles.PROCESS
            )
            channel.begin(
                h11.Request(
                    method='GET',
                    target=health_path,
                    headers=[('Host', address)],
                ),
                b'',
            )
            head = await channel.read_head()
    except (
        channels.ConnectFailed,
        channels.ChannelBroken,
        asyncio.TimeoutError,
    ):
        return ''
    finally:
        if channel is not None:
            channel.close()
    if head.status_code != 200:
        return ''
    return wire.read_identity(head.headers.raw_items())
