"""Test endpoint that answers each request by a script of actions."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import time

_LENGTH = re.compile(rb'content-length: *([0-9]+)', re.IGNORECASE)


class ScriptedEndpoint:
    """Answers each request by the next script, a list of actions.

    An action is bytes to send, a pause in seconds, ``close``, ``reset``,
    ``die`` (a reset after which no connection is accepted), ``exit`` (the
    same with an ordinary end of the connection), ``hang`` or ``together``,
    which waits until a second script has come there.
    ``{id}`` in bytes stands for the id of the request.
    """

    _met = None

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.heads = []
        self.bodies = []
        self.connections = 0
        self.closed_by_peer = 0
        self.received_s = []
        self.closed_s = []
        self.address = ''
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    def refuse(self):
        """Refuse further connections."""
        self._server.close()

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                found = _LENGTH.search(head)
                length = int(found[1]) if found else 0
                self.bodies.append(await reader.readexactly(length))
                self.heads.append(head.decode('latin-1').lower())
                self.received_s.append(time.monotonic())
                script = self.scripts.pop(0) if self.scripts else ['hang']
                if not await self._play(script, head, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            self.closed_by_peer += 1
            self.closed_s.append(time.monotonic())
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    async def _play(self, script, head, reader, writer):
        found = re.search(rb'request-id: *(\S+)', head, re.IGNORECASE)
        request_id = found[1] if found else b''
        for action in script:
            match action:
                case bytes():
                    writer.write(action.replace(b'{id}', request_id))
                    await writer.drain()
                case 'close':
                    return False
                case 'exit':
                    self._server.close()
                    return False
                case 'reset' | 'die':
                    if action == 'die':
                        self._server.close()
                    writer.get_extra_info('socket').setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack('ii', 1, 0),
                    )
                    writer.transport.abort()
                    return False
                case 'together':
                    await self._meet()
                case 'hang':
                    if not await reader.read(1):
                        self.closed_by_peer += 1
                        self.closed_s.append(time.monotonic())
                    return False
                case pause_s:
                    await asyncio.sleep(pause_s)
        return True

    @staticmethod
    async def _meet():
        """Go on in the same turn of the event loop as a second script."""
        met = ScriptedEndpoint._met
        if met is None:
            met = asyncio.get_running_loop().create_future()
            ScriptedEndpoint._met = met
            await met
        else:
            ScriptedEndpoint._met = None
            met.set_result(None)
            await asyncio.sleep(0)


class ResumingEndpoint(ScriptedEndpoint):
    """Sends the events after the one that a request names.

    :param last: id of the last event of the stream.
    """

    def __init__(self, last):
        super().__init__()
        self._last = last

    async def _play(self, script, head, reader, writer):
        found = re.search(rb'last-event-id: *([0-9]+)', head, re.IGNORECASE)
        first = int(found[1]) + 1 if found else 1
        events = [event(number) for number in range(first, self._last + 1)]
        rest = [STREAM_HEAD, *events, STREAM_END]
        return await super()._play(rest, head, reader, writer)


def answer(body=b'fine', status=b'200 OK', extra=b''):
    """Return the bytes of a complete answer."""
    return (
        b'HTTP/1.1 %s\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n'
        b'%sContent-Length: %d\r\n\r\n%s' % (status, extra, len(body), body)
    )


DECLINED = answer(b'', b'503 Service Unavailable', b'Not-Executed: 1\r\n')
MISDIRECTED = answer(
    b'', b'421 Misdirected Request', b'Instance-Id: other\r\n'
)
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
STREAM_END = b'0\r\n\r\n'


def chunk(content):
    """Return one chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def event(number):
    """Return the chunk of one event."""
    return chunk(b'id: %d\ndata: t%d\n\n' % (number, number))
