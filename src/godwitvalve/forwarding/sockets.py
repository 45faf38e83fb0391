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
# Bytes received in one turn of the event loop. A source that sends interim
# answers without end fits about 160 into them. Of larger reads so many objects
# are alive at once that full garbage collections follow, each of which takes
# 24 ms and more in an entry that knows 7,100 endpoints.
STEP_BYTES = 4 * 1024
# The kernel closes the sockets of a killed process one after the other, its
# listener perhaps last, within some milliseconds.
EXIT_S = 0.03
# Linger on, for 0 s: closing drops unsent bytes and sends a reset.
_LINGER_NONE = struct.pack('ii', 1, 0)


class _StepSocket(socket.socket):
    """Socket that returns at most ``STEP_BYTES`` at a time."""

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        return super().recv(min(bufsize, STEP_BYTES), flags)


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


def create_stepwise(address: Any) -> socket.socket:
    """Create a non-blocking socket for a resolved address.

    Each read returns few bytes, so that other requests run between the reads.

    :param address: item of ``socket.getaddrinfo``.
    """
    family, kind, protocol, *_ = address
    sock = _StepSocket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock


def create(address: Any) -> socket.socket:
    """Create a stepwise socket that detects an unreachable peer.

    :param address: item of ``socket.getaddrinfo``.
    """
    sock = create_stepwise(address)
    tune(sock)
    return sock


def _is_established(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


async def connect(host: str, port: int, limit_s: float) -> socket.socket:
    """Return a non-blocking socket that is connected.

    An event loop that was held up for longer than the limit notices the limit
    and the connection in the same turn. The connection then counts: the
    endpoint accepted it, and only this process was late.

    :param host: IP address.
    :param limit_s: time in seconds.
    :raises OSError: if the connection is refused, or not established within
        the limit.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.get_running_loop().sock_connect(
                    sock, (host, port)
                )
        except TimeoutError:
            if not _is_established(sock):
                raise
    except BaseException:
        sock.close()
        raise
    return sock


async def _connect_to(address: str, limit_s: float) -> socket.socket | None:
    """Return a socket that is connected to ``IP:port``; None if there is none.

    :param limit_s: time in seconds.
    """
    host, _, port = address.rpartition(':')
    try:
        return await connect(host, int(port), limit_s)
    except OSError:
        return None


async def accepts_connections(address: str, limit_s: float) -> bool:
    """Tell whether a process accepts a connection.

    :param address: ``IP:port``.
    :param limit_s: time in seconds.
    """
    sock = await _connect_to(address, limit_s)
    if sock is None:
        return False
    sock.close()
    return True


async def outlives(address: str, limit_s: float) -> bool:
    """Tell whether a process goes on that has just ended a connection.

    A connection that its listener had accepted is reset as the listener is
    closed, too. Processes with too many connections also reset new ones.

    :param address: ``IP:port``.
    :param limit_s: time for each connection in seconds.
    """
    sock = await _connect_to(address, limit_s)
    if sock is None:
        return False
    try:
        await asyncio.sleep(EXIT_S)
        sock.recv(1)
    except BlockingIOError:
        return True
    except OSError:
        pass
    finally:
        sock.close()
    return await accepts_connections(address, limit_s)
