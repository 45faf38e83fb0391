"""Connections of aiohttp's client that check answers more strictly."""

from __future__ import annotations

from collections import abc
import functools
import socket
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import http_parser
from aiohttp import streams

from godwitvalve.forwarding import sockets
from godwitvalve.services import headers as header_rules

# Sound peers send at most one before their answer.
MAX_INTERIM_ANSWERS = 8
# Bytes that are parsed at once before a head has arrived. They hold few
# interim answers, so that many connections can be ended in the same turn.
HEAD_STEP_BYTES = 512
_SWITCHING_PROTOCOLS = 101
# Bounds the chunks that are parsed before their reader is asked; aiohttp holds
# one for each 16 bytes of it.
READ_BUFFER_BYTES = 16 * 1024
# That of aiohttp.
DEFAULT_CONNECTIONS = 100


class TooManyInterimAnswers(aiohttp.ClientError):
    """Interim answers were sent instead of an answer."""


class InvalidStatus(aiohttp.ClientError):
    """The answer has a status that HTTP doesn't define."""


class _ResponseHandler(client_proto.ResponseHandler):
    """Ends a connection that sends interim answers without end.

    aiohttp skips them without limit, and each costs as much to parse as a
    whole head. It takes an answer without a length for complete if its
    connection is reset.
    """

    _interim_answers = 0
    _awaits_head = False
    _is_request_cut = False

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to the next request."""
        self._interim_answers = 0
        self._awaits_head = True
        self._is_request_cut = False
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        while self._awaits_head and len(data) > HEAD_STEP_BYTES:
            super().data_received(data[:HEAD_STEP_BYTES])
            if self.transport is None or self.transport.is_closing():
                return
            data = data[HEAD_STEP_BYTES:]
        super().data_received(data)

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Handle the head of an answer."""
        code = data[0].code
        if not header_rules.is_defined_status(code):
            self._give_up(InvalidStatus(code))
            return
        if 100 <= code < 200 and code != _SWITCHING_PROTOCOLS:
            self._interim_answers += 1
        else:
            self._awaits_head = False
        if self._interim_answers <= MAX_INTERIM_ANSWERS:
            super().feed_data(data, size)
        else:
            self._give_up(TooManyInterimAnswers())

    def _give_up(self, error: aiohttp.ClientError) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()
            self.set_exception(error)

    def eof_received(self) -> None:
        """Note whether the peer ends before it was sent the request."""
        if self.transport is not None:
            self._is_request_cut = bool(self.transport.get_write_buffer_size())

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer, with an error if it was broken off."""
        payload = self._payload
        is_broken_off = exc is not None or self._is_request_cut
        if is_broken_off and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError('answer was broken off')
            )
        super().connection_lost(exc)


class _BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections bound interim answers.

    :param options: options of ``aiohttp.TCPConnector``.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the protocol of its connections.
        handler: type[client_proto.ResponseHandler] = _ResponseHandler
        self._factory = functools.partial(handler, loop=self._loop)


def new_session(
    *,
    limit: int = DEFAULT_CONNECTIONS,
    force_close: bool = False,
    socket_factory: abc.Callable[
        [Any], socket.socket
    ] = sockets.create_stepwise,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session that parses few bytes of its answers at once.

    :param limit: number of connections; 0 for any.
    :param force_close: whether each request opens its own connection.
    :param options: further options of ``aiohttp.ClientSession``.
    """
    return aiohttp.ClientSession(
        connector=_BoundedConnector(
            limit=limit,
            force_close=force_close,
            socket_factory=socket_factory,
        ),
        read_bufsize=READ_BUFFER_BYTES,
        **options,
    )
