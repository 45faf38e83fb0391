"""One exchange of a request and its answer with one endpoint."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
from typing import NamedTuple, TypeAlias

import h11

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import channel as channels
from godwitvalve.forwarding import message_buffer
from godwitvalve.forwarding import pool as pools
from godwitvalve.forwarding import probes
from godwitvalve.platform import headers as wire
from godwitvalve.services import headers as header_rules

# A plain answer is buffered completely before its caller gets a byte.
MAX_PLAIN_ANSWER_BYTES = 8 * 1024 * 1024
# Limits of an answer to an earlier request that is skipped. Such answers
# have already left the endpoint, so the rest arrives at once.
MAX_SKIPPED_BYTES = 64 * 1024
SKIP_LIMIT_S = 0.5
# Limit of the answers read from a reused connection, as answers to earlier
# requests may precede the expected one.
MAX_ANSWERS_READ = 3


class CallerRequest(NamedTuple):
    """A caller's request as it is to be forwarded.

    ``target`` is the path with its query.
    """

    method: str
    target: str
    headers: wire.RawHeaders
    body: message_buffer.Content
    facts: wire.CallerFacts


class AnswerHead(NamedTuple):
    """Status and headers of an endpoint's answer.

    :param sent_s: when its request was sent, in seconds since boot.
    """

    status: int
    headers: wire.RawHeaders
    facts: wire.AnswerFacts
    sent_s: float


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Nothing reached the endpoint."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Declined:
    """The endpoint states that it did not run the request."""

    status: int
    load: wire.EndpointLoad | None


@dataclasses.dataclass(frozen=True)
class Lost:
    """The request was sent and got no complete answer; it may have run."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Answered:
    """The endpoint's complete answer."""

    head: AnswerHead
    body: message_buffer.Content


PlainOutcome: TypeAlias = NotSent | Declined | Lost | Answered


class Exchange:
    """A request in flight whose answer is read in chunks.

    :param on_head: called with the head of the answer to the request.
    """

    def __init__(
        self,
        endpoint: endpoints.FleetEndpoint,
        pool: pools.ChannelPool,
        on_head: abc.Callable[
            [endpoints.FleetEndpoint, AnswerHead], None
        ] = lambda endpoint, head: None,
    ) -> None:
        self.endpoint = endpoint
        self._on_head = on_head
        self.is_sent = False
        self.head: AnswerHead | None = None
        self._pool = pool
        self._channel: channels.EndpointChannel | None = None
        self._is_done = False

    @property
    def steady_s(self) -> float:
        """Return when bytes arrived last that the network did not hold up.

        :returns: seconds since boot; 0 if none are known.
        """
        return self._channel.steady_arrivals.last_s if self._channel else 0.0

    async def open(
        self, request: CallerRequest, facts: wire.SendFacts
    ) -> AnswerHead:
        """Send the request and return the head of its answer.

        :raises ConnectFailed: if nothing was sent.
        :raises ChannelBroken: if no answer came; ``is_sent`` tells whether
            the request may have run.
        """
        request_id = request.facts.request_id
        channel = await self._pool.acquire(self.endpoint, request_id)
        self._channel = channel
        sent = h11.Request(
            method=request.method,
            target=request.target,
            headers=wire.to_endpoint(
                request.headers, facts, len(request.body)
            ),
        )
        is_reused = channel.request_count > 0
        channel.begin(sent, request.body, request_id)
        self.is_sent = True
        for _ in range(MAX_ANSWERS_READ):
            head = await self._read_head(channel)
            if head.facts.request_id == request_id:
                return self._accept(head)
            if not head.facts.request_id:
                # On a new connection, a decline can only be for this
                # request; otherwise the answer may be for an earlier one.
                if head.facts.is_not_run and not is_reused:
                    return self._accept(head)
                raise channels.ChannelBroken('answer without request id')
            if not is_reused:
                break
            await self._skip_body(channel)
            channel.skip_answer(sent, request.body)
        raise channels.ChannelBroken('answer to another request')

    def _accept(self, head: AnswerHead) -> AnswerHead:
        if head.facts.is_unsigned_success:
            raise channels.ChannelBroken('success without signature')
        self.head = head
        self._on_head(self.endpoint, head)
        return head

    async def _read_head(
        self, channel: channels.EndpointChannel
    ) -> AnswerHead:
        head = await channel.read_head()
        headers = head.headers.raw_items()
        facts = wire.read_answer(head.status_code, headers)
        return AnswerHead(head.status_code, headers, facts, channel.sent_s)

    async def _skip_body(self, channel: channels.EndpointChannel) -> None:
        skipped_bytes = 0
        try:
            async with asyncio.timeout(SKIP_LIMIT_S):
                while skipped_bytes <= MAX_SKIPPED_BYTES:
                    skipped = await channel.read_data()
                    if not skipped:
                        return
                    skipped_bytes += len(skipped)
        except asyncio.TimeoutError as error:
            raise channels.ChannelBroken(
                'answer to another request did not end'
            ) from error
        raise channels.ChannelBroken('answer to another request too large')

    async def read_body(self, limit_bytes: int) -> message_buffer.Content:
        """Return the complete body.

        :raises ChannelBroken: if it ends early or exceeds the limit.
        """
        assert self._channel is not None
        body = message_buffer.MessageBuffer()
        async for chunk in self.chunks():
            body.append(chunk)
            if len(body) > limit_bytes:
                raise channels.ChannelBroken('answer too large')
            self._channel.keep(len(body))
        return body.content()

    async def chunks(self) -> abc.AsyncIterator[bytes]:
        """Yield the body; a normal end means that it is complete.

        The connections of a process that is killed end in the ordinary way,
        which is also the end of an answer without a length or chunks.

        :raises ChannelBroken: if the answer ends early.
        """
        assert self._channel is not None and self.head is not None
        while chunk := await self._channel.read_data():
            yield chunk
        facts = self.head.facts
        if not facts.is_framed and not await probes.outlives(
            self.endpoint.address
        ):
            raise channels.ChannelBroken('ended with its endpoint')
        self._is_done = True
        self._channel.finish(facts.idle_limit_s, facts.is_closing)
        self._pool.release(self.endpoint.endpoint_id, self._channel)

    def pay(self, parts: float) -> None:
        """Pay for parts of the answer that brought new events."""
        if self._channel is not None:
            self._channel.pay(parts)

    def abandon(self) -> None:
        """Reset the connection unless the answer was read completely."""
        if self._channel is not None and not self._is_done:
            self._channel.abort()


async def send_plain(
    exchange: Exchange, request: CallerRequest, facts: wire.SendFacts
) -> PlainOutcome:
    """Send a request once and read its complete answer."""
    try:
        head = await exchange.open(request, facts)
        body = await exchange.read_body(MAX_PLAIN_ANSWER_BYTES)
    except channels.ConnectFailed as error:
        return NotSent(str(error))
    except channels.ChannelBroken as error:
        if not exchange.is_sent:
            return NotSent(error.reason)
        return Lost(error.reason)
    finally:
        exchange.abandon()
    if head.facts.is_encoded:
        return Lost('encoded answer')
    if head.facts.is_not_run:
        return Declined(head.status, head.facts.load)
    if head.facts.is_unproven_refusal:
        return Lost(f'status {head.status} without proof')
    if not body and header_rules.may_be_cut(
        request.method, head.status, head.facts.is_framed
    ):
        return Lost('ended after its head')
    return Answered(head, body)
