"""One exchange of a request and its answer with one endpoint."""

from __future__ import annotations

from collections import abc
import dataclasses
from typing import NamedTuple, TypeAlias

import h11

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import channel as channels
from godwitvalve.forwarding import pool as pools
from godwitvalve.platform import headers as wire

# A plain answer is buffered completely before its caller gets a byte.
MAX_PLAIN_ANSWER_BYTES = 8 * 1024 * 1024
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
    body: bytes
    facts: wire.CallerFacts


class AnswerHead(NamedTuple):
    """Status and headers of an endpoint's answer."""

    status: int
    headers: wire.RawHeaders
    facts: wire.AnswerFacts


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
    body: bytes


PlainOutcome: TypeAlias = NotSent | Declined | Lost | Answered


class Exchange:
    """A request in flight whose answer is read in chunks."""

    def __init__(
        self,
        endpoint: endpoints.FleetEndpoint,
        pool: pools.ChannelPool,
    ) -> None:
        self.endpoint = endpoint
        self.is_sent = False
        self.head: AnswerHead | None = None
        self._pool = pool
        self._channel: channels.EndpointChannel | None = None
        self._is_done = False

    @property
    def last_activity_s(self) -> float:
        """Return when bytes were last sent or received; 0 if none were."""
        return self._channel.last_activity_s if self._channel else 0.0

    async def open(
        self, request: CallerRequest, facts: wire.SendFacts
    ) -> AnswerHead:
        """Send the request and return the head of its answer.

        :raises ConnectFailed: if nothing was sent.
        :raises ChannelBroken: if no answer came; ``is_sent`` tells whether
            the request may have run.
        """
        channel = await self._pool.acquire(self.endpoint)
        self._channel = channel
        sent = h11.Request(
            method=request.method,
            target=request.target,
            headers=wire.to_endpoint(
                request.headers, facts, len(request.body)
            ),
        )
        is_reused = channel.request_count > 0
        channel.begin(sent, request.body)
        self.is_sent = True
        for _ in range(MAX_ANSWERS_READ):
            head = await self._read_head(channel)
            if head.facts.request_id in ('', request.facts.request_id):
                self.head = head
                return head
            if not is_reused:
                break
            await self._skip_body(channel)
            channel.skip_answer(sent, request.body)
        raise channels.ChannelBroken('answer to another request')

    async def _read_head(
        self, channel: channels.EndpointChannel
    ) -> AnswerHead:
        while True:
            event = await channel.next_event()
            if isinstance(event, h11.Response):
                headers = event.headers.raw_items()
                facts = wire.read_answer(event.status_code, headers)
                return AnswerHead(event.status_code, headers, facts)
            if not isinstance(event, h11.InformationalResponse):
                raise channels.ChannelBroken('damaged answer')

    async def _skip_body(self, channel: channels.EndpointChannel) -> None:
        while not isinstance(await channel.next_event(), h11.EndOfMessage):
            pass

    async def chunks(self) -> abc.AsyncIterator[bytes]:
        """Yield the body; a normal end means that it is complete.

        :raises ChannelBroken: if the answer ends early.
        """
        assert self._channel is not None and self.head is not None
        while True:
            event = await self._channel.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            yield bytes(event.data)
        self._is_done = True
        facts = self.head.facts
        self._channel.finish(facts.idle_limit_s, facts.is_closing)
        self._pool.release(self.endpoint.endpoint_id, self._channel)

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
        body = bytearray()
        async for chunk in exchange.chunks():
            body += chunk
            if len(body) > MAX_PLAIN_ANSWER_BYTES:
                return Lost('answer too large')
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
    if head.facts.request_id != request.facts.request_id:
        return Lost('answer without request id')
    return Answered(head, bytes(body))
