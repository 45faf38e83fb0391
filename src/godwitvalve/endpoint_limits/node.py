"""Asks other entries for permits, and answers them, over datagrams."""

from __future__ import annotations

import asyncio
from collections import abc
import itertools
import random
import time
from typing import cast

import msgspec

from godwitvalve.decoding import content as contents
from godwitvalve.endpoint_limits import messages
from godwitvalve.logs import repeats
from godwitvalve.logs import setup as logs

# An answer takes about 3 ms between failure domains. A datagram may be lost,
# so the question is repeated once.
REPEAT_AFTER_S = 0.04
ANSWER_TIMEOUT_S = 0.1

_LOG = logs.get('endpoint_limits')


class PermitNode(asyncio.DatagramProtocol):
    """Socket for permits of one entry.

    :param port: port of the permit sockets, the same on all machines.
    :param decide: answers the question of another entry.
    """

    def __init__(
        self,
        port: int,
        decide: abc.Callable[[messages.PermitRequest], messages.PermitAnswer],
    ) -> None:
        self._port = port
        self._decide = decide
        # An answer to an earlier start of this entry has another number.
        self._numbers = itertools.count(random.getrandbits(48))
        self._waiting: dict[int, asyncio.Future[messages.PermitAnswer]] = {}
        self._logged_senders = repeats.RepeatFilter()
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer a question, or pass on the answer to an own one."""
        try:
            message = contents.decode(messages.DECODER, data)
        except contents.InvalidContent as error:
            if self._logged_senders.admits(addr[0], time.monotonic()):
                _LOG.warning(
                    'Dropped an invalid datagram.',
                    extra={'sender': addr[0], 'reason': str(error)},
                )
            return
        match message:
            case messages.PermitRequest():
                assert self._transport is not None
                answer = self._decide(message)
                self._transport.sendto(messages.ENCODER.encode(answer), addr)
            case messages.PermitAnswer(number=number):
                # An answer to a question that timed out is not used.
                future = self._waiting.get(number)
                if future is not None and not future.done():
                    future.set_result(message)

    def error_received(self, exc: Exception) -> None:
        """Log an undelivered datagram; its question times out."""
        _LOG.debug('Datagram not delivered.', extra={'reason': str(exc)})

    async def ask(
        self, host: str, question: messages.PermitRequest
    ) -> messages.PermitAnswer | None:
        """Ask the entry at an IP for a permit; None if it does not answer."""
        if self._transport is None or self._transport.is_closing():
            return None
        number = next(self._numbers)
        content = messages.ENCODER.encode(
            msgspec.structs.replace(question, number=number)
        )
        loop = asyncio.get_running_loop()
        future: asyncio.Future[messages.PermitAnswer] = loop.create_future()
        self._waiting[number] = future
        began_s = loop.time()
        try:
            for limit_s in (REPEAT_AFTER_S, ANSWER_TIMEOUT_S):
                self._transport.sendto(content, (host, self._port))
                await asyncio.wait(
                    {future},
                    timeout=max(began_s + limit_s - loop.time(), 0.0),
                )
                if future.done():
                    return future.result()
        finally:
            del self._waiting[number]
        return None

    def close(self) -> None:
        """Stop asking and answering."""
        if self._transport is not None:
            self._transport.close()
