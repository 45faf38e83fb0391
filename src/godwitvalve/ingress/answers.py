"""Writes answers to callers."""

from __future__ import annotations

from collections import abc

import aiohttp
from aiohttp import web

from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import message_memory
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import sent_bytes
from godwitvalve.forwarding import sockets
from godwitvalve.logs import setup as logs
from godwitvalve.platform import headers as wire

# Part of a long answer that the connection to its caller copies.
ANSWER_PIECE_BYTES = 128 * 1024
# Counted for the head of an answer, which the server writes itself.
HEAD_BYTES = 300

_LOG = logs.get('ingress')


class CallerStream:
    """Relays the events of a stream to its caller.

    Load pattern: callers stop reading their streams. Up to 64 KiB of each are
    written before the stream waits for its caller, so that the engine is free
    early; their sum counts as memory of answers.

    :param memory: counts the bytes that the caller has not read.
    :param is_closing: tells whether the connection closes after the answer.
    :ivar is_given_up: whether the answer was ended for its memory.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        memory: message_memory.MessageMemory,
        is_closing: abc.Callable[[], bool],
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._memory = memory
        self._is_closing = is_closing
        self._unread_bytes = 0
        self.response: web.StreamResponse | None = None
        self.is_given_up = False

    async def start(self, head: exchanges.AnswerHead) -> None:
        """Send status and headers."""
        self.response = web.StreamResponse(status=head.status)
        _copy_headers(self.response, head)
        if self._is_closing():
            self.response.force_close()
        if self._request.version >= aiohttp.HttpVersion11:
            self.response.enable_chunked_encoding()
        else:
            # The end of the connection ends the answer.
            self.response.force_close()
        await self.response.prepare(self._request)
        sent_bytes.PROCESS.add(HEAD_BYTES)

    async def send(self, content: bytes) -> None:
        """Send complete events."""
        assert self.response is not None
        sent_bytes.PROCESS.add(len(content))
        self._count_unread(len(content))
        await self.response.write(content)
        self._count_unread()

    def _count_unread(self, added_bytes: int = 0) -> None:
        transport = self._request.transport
        if transport is None:
            return
        unread_bytes = transport.get_write_buffer_size()
        if unread_bytes:
            unread_bytes += added_bytes
        if unread_bytes != self._unread_bytes and not self.is_given_up:
            self._unread_bytes = unread_bytes
            self._memory.hold(self, unread_bytes)

    def release(self) -> None:
        """Count nothing more, as the answer has ended."""
        self._memory.release(self)

    def abort_for_memory(self) -> None:
        """Reset the connection of the caller, as it reads too slowly."""
        self.is_given_up = True
        _LOG.warning(
            'Gave up a stream that its caller had not read.',
            extra={'request_id': self._request_id},
        )
        self.abort()

    def abort(self) -> None:
        """Reset the connection, which marks the answer as incomplete.

        Without a reset, an answer that has no chunks would look complete.
        """
        if self._request.transport is not None:
            sockets.reset(self._request.transport)


class _LongAnswer(web.StreamResponse):
    """Complete answer that is written without a further copy.

    :param content: its body.
    """

    def __init__(self, status: int, content: memoryview) -> None:
        super().__init__(status=status)
        self.content_length = len(content)
        self._content = content

    async def write_eof(self, data: bytes = b'') -> None:
        """Write the body as the caller reads it."""
        for begin in range(0, len(self._content), ANSWER_PIECE_BYTES):
            piece = self._content[begin:][:ANSWER_PIECE_BYTES]
            sent_bytes.PROCESS.add(len(piece))
            await self.write(piece)
        await super().write_eof(data)


class UnreadAnswer:
    """Holds the memory of an answer that its caller has not read.

    :param count: counts an answer that is given up.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        count: abc.Callable[[replies.IncompleteReason], None],
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._count = count

    def abort_for_memory(self) -> None:
        """Reset the connection of the caller, as it reads too slowly."""
        self._count(replies.IncompleteReason.MEMORY)
        _LOG.warning(
            'Gave up an answer that its caller had not read.',
            extra={'request_id': self._request_id},
        )
        if self._request.transport is not None:
            sockets.reset(self._request.transport)


def count_short(response: web.StreamResponse) -> None:
    """Count what the server sends of an answer that it writes at once."""
    sent_bytes.PROCESS.add(HEAD_BYTES)
    if isinstance(response, web.Response):
        sent_bytes.PROCESS.add(response.content_length or 0)


def complete(
    head: exchanges.AnswerHead, body: bytes | memoryview
) -> web.StreamResponse:
    """Return the answer of an endpoint as one for its caller."""
    response: web.StreamResponse
    if isinstance(body, memoryview):
        response = _LongAnswer(head.status, body)
    else:
        response = web.Response(status=head.status, body=body)
    response.headers.popall('Content-Type', None)
    _copy_headers(response, head)
    return response


def _copy_headers(
    response: web.StreamResponse, head: exchanges.AnswerHead
) -> None:
    for name, value in wire.to_caller(head.headers):
        response.headers.add(name, value)
