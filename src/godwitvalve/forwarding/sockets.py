"""Sockets that notice a peer that went silent."""

from __future__ import annotations

import socket
from typing import Any

# A peer that is switched off or cut off sends no reset. The kernel asks a
# quiet one each second and gives up on the second question without answer.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Bytes that stay unconfirmed this long mean that the peer is unreachable;
# a zone is 2 ms away, and two lost packets are sent again within 1 s.
UNACKNOWLEDGED_LIMIT_MS = 2000


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


def create(address: Any) -> socket.socket:
    """Open a socket for the first three fields of an address.

    :param address: item of ``socket.getaddrinfo``.
    """
    family, kind, protocol, *_ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    tune(sock)
    return sock
