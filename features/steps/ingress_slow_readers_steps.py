"""Steps of features/ingress/slow_readers.feature."""

from __future__ import annotations

import asyncio
import socket

import behave
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import message_memory
from godwitvalve.ingress import answers
from godwitvalve.ingress import servers

EVENT = b'data: ' + b'x' * 3992 + b'\n\n'
EVENT_PAUSE_S = 0.001
# Of the kernel, so that the process has to keep what is not read.
SOCKET_BUFFER_BYTES = 4096
LIMIT_S = 10.0
UNREAD_S = 2.0


class _Streams:
    """Streams events to callers through the sinks of an entry."""

    def __init__(self, memory, size):
        self._memory = memory
        self._size = size
        self._transports = []
        self.sinks = []
        self.peak_bytes = 0

    async def handle(self, request):
        request.transport.set_write_buffer_limits(high=0)
        request.transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        self._transports.append(request.transport)
        sink = answers.CallerStream(request, 'r', self._memory, lambda: False)
        self.sinks.append(sink)
        try:
            await sink.start(exchanges.AnswerHead(200, [], None, 0.0))
            for _ in range(self._size // len(EVENT)):
                await sink.send(EVENT)
                self.peak_bytes = max(
                    self.peak_bytes,
                    sum(
                        each.get_write_buffer_size()
                        for each in self._transports
                    ),
                )
                await asyncio.sleep(EVENT_PAUSE_S)
            await sink.response.write_eof()
            return sink.response
        finally:
            sink.release()


async def _connect(port):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ('127.0.0.1', port))
    sock.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    return sock


async def _read_all(port):
    loop = asyncio.get_running_loop()
    sock = await _connect(port)
    received = b''
    async with asyncio.timeout(LIMIT_S):
        while not received.endswith(b'\r\n0\r\n\r\n'):
            data = await loop.sock_recv(sock, 65536)
            if not data:
                break
            received += data
    sock.close()
    return received.count(EVENT) * len(EVENT)


@behave.given('memory for answers of {limit:d} bytes')
def step_memory(context, limit):
    context.memory = message_memory.MessageMemory(limit)


@behave.when(
    '{count:d} callers leave streams of {size:d} bytes unread and 1 reads its '
    'stream'
)
def step_streams(context, count, size):
    context.streams = _Streams(context.memory, size)

    async def run():
        runner = await servers.listen('127.0.0.1:0', context.streams.handle)
        port = runner.addresses[0][1]
        unread = [await _connect(port) for _ in range(count)]
        reading = asyncio.create_task(_read_all(port))
        await asyncio.sleep(UNREAD_S)
        context.read_bytes = await reading
        for each in unread:
            each.close()
        await runner.cleanup()

    asyncio.run(run())


@behave.then('the unread bytes of all callers never exceeded {limit:d} bytes')
def step_bounded(context, limit):
    assert 0 < context.streams.peak_bytes <= limit, context.streams.peak_bytes


@behave.then('the caller that reads got {size:d} bytes')
def step_read(context, size):
    assert context.read_bytes == size, context.read_bytes


@behave.then(
    'some of the others were given up, and no bytes are held at the end'
)
def step_given_up(context):
    given_up = sum(each.is_given_up for each in context.streams.sinks)
    assert 0 < given_up < len(context.streams.sinks) - 1, given_up
    assert context.memory.answer_bytes == 0, context.memory.answer_bytes
