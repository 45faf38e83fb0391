"""Test endpoint that answers a request before it has read the body."""

from __future__ import annotations

import asyncio
import re
import socket
import struct

# Longer than what the entry needs to write until the kernel's buffers are
# full.
PAUSE_S = 0.1


class HastyEndpoint:
    """Sends an answer and ends the connection without reading a body.

    :param answer: bytes to send; ``{id}`` stands for the request's id.
    :param end: ``reset``, ``close`` (which also resets if there are unread
        bytes) or ``half`` (the end of its own direction only).
    """

    def __init__(self, answer, end):
        self._answer = answer
        self._end = end
        self._server = None
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            # A connection that only checks whether it is accepted.
            writer.close()
            return
        writer.transport.pause_reading()
        found = re.search(rb'request-id: *(\S+)', head, re.IGNORECASE)
        writer.write(self._answer.replace(b'{id}', found[1] if found else b''))
        await asyncio.sleep(PAUSE_S)
        sock = writer.get_extra_info('socket')
        if self._end == 'half':
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(2 * PAUSE_S)
        if self._end == 'reset':
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        writer.transport.abort()
