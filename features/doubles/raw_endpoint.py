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


class LateCopyEndpoint(RawEndpoint):
    """Answers with the target; sends each answer again before the next."""

    def __init__(self):
        super().__init__(b'')

    async def _serve(self, reader, writer):
        last = b''
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ')[1]
                answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
                    len(target),
                    target,
                )
                writer.write(last + answer)
                last = answer
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
