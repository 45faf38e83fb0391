"""Test endpoint that reads bodies and answers them, whole or without end."""

from __future__ import annotations

import asyncio
import hashlib
import re

# Taken from the socket at a time.
READ_BYTES = 256 * 1024
FLOOD = bytes(64 * 1024)
# At most 64 MB/s for each connection.
FLOOD_PAUSE_S = 0.001
WORK_S = 0.02


def field(head, name):
    """Return a header of a head, or b''."""
    found = re.search(rb'\r\n' + name + rb': *([^\r]*)', head, re.IGNORECASE)
    return found[1] if found else b''


class BodyEndpoint:
    """Answers a request with the digest of its body.

    :param is_endless: answers without end instead.
    :param padding_bytes: bytes at the end of each answer.
    """

    def __init__(self, endpoint_id, is_endless=False, padding_bytes=0):
        self._padding = bytes(padding_bytes)
        self._endpoint_id = endpoint_id
        self._is_endless = is_endless
        self._server = None
        self._tasks = set()
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=READ_BYTES
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        left = int(field(head, b'content-length') or 0)
        digest = hashlib.sha256()
        while left:
            content = await reader.read(min(left, READ_BYTES))
            if not content:
                raise asyncio.IncompleteReadError(b'', left)
            digest.update(content)
            left -= len(content)
        answer_head = (
            b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n'
            b'Response-Signature: s\r\n'
            % (field(head, b'request-id'), self._endpoint_id.encode())
        )
        is_probe = head.startswith(b'GET /healthz')
        if self._is_endless and not is_probe:
            writer.write(answer_head + b'Transfer-Encoding: chunked\r\n\r\n')
            while True:
                writer.write(b'%x\r\n%s\r\n' % (len(FLOOD), FLOOD))
                await writer.drain()
                await asyncio.sleep(FLOOD_PAUSE_S)
        await asyncio.sleep(WORK_S)
        body = digest.hexdigest().encode() + self._padding
        writer.write(
            answer_head + b'Content-Length: %d\r\n\r\n' % len(body) + body
        )
        await writer.drain()
