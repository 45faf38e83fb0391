"""Endpoint that answers each request with fixed bytes."""

from __future__ import annotations

import asyncio


class RawEndpoint:
    """Records the request heads it receives; closes after each answer."""

    def __init__(self, answer):
        self.answer = answer
        self.heads = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            self.heads.append(head.decode('latin-1'))
            writer.write(self.answer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
