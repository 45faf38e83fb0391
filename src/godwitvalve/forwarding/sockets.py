"""TCP sockets that detect an unreachable peer."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any, cast

# A peer that is powered off or disconnected sends no reset. The kernel
# probes an idle connection each second and ends it after the second probe
# without an answer.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Bytes unacknowledged for this long mean that the peer is unreachable:
# failure domains are 2 ms apart, and two lost packets are retransmitted
# within 1 s.
UNACKNOWLEDGED_LIMIT_MS = 2000
# Bounds what is parsed at once if a store or an entry sends without end. The
# kernel doubles it; answers of the store are mostly below 10 KB.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Linger on, for 0 s: closing drops unsent bytes and sends a reset.
_LINGER_NONE = struct.pack('ii', 1, 0)


def tune(sock: socket.socket) -> None:
    """Set keepalive probes and the limit for unacknowledged bytes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS
    )


def reset(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a reset instead of a normal end."""
    sock = transport.get_extra_info('socket')
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    cast(asyncio.Transport, transport).abort()


def create(address: Any) -> socket.socket:
    """Create a non-blocking socket for a resolved address.

    :param address: item of ``socket.getaddrinfo``.
    """
    family, kind, protocol, *_ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    tune(sock)
    return sock
