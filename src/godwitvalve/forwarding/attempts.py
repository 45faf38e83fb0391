"""Attempts of a stream at endpoints, and how they end."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import http
import math
from typing import Protocol, TypeAlias

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import channel as channels
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import handover
from godwitvalve.forwarding import speed_meter as speed_meters
from godwitvalve.logs import setup as logs
from godwitvalve.platform import headers as wire
from godwitvalve.rollouts import observation as observations

# Reason of an attempt whose endpoint sent nothing for too long.
SILENT = 'silent'

_LOG = logs.get('forwarding')


class Sink(Protocol):
    """Receiver of a stream's events."""

    async def start(self, head: exchanges.AnswerHead) -> None:
        """Send status and headers."""

    async def send(self, content: bytes) -> None:
        """Send complete events."""


@dataclasses.dataclass(frozen=True)
class Completed:
    """The stream reached its end."""


@dataclasses.dataclass(frozen=True)
class Interrupted:
    """The attempt ended before the stream did.

    :param may_have_run: whether the endpoint may have started it.
    :param is_broken_off: whether the endpoint ended it, as in a crash.
    """

    reason: str
    may_have_run: bool
    is_broken_off: bool = False


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The endpoint answered with a status other than 200."""

    answer: exchanges.Answered


@dataclasses.dataclass(frozen=True)
class Quarantined:
    """The attempt was cancelled, as its prompt crashes endpoints."""


@dataclasses.dataclass(frozen=True)
class Superseded:
    """The attempt was cancelled, as the one before it goes on.

    :param may_have_run: whether the endpoint may have started it.
    """

    may_have_run: bool


AttemptEnd: TypeAlias = (
    Completed
    | Interrupted
    | Rejected
    | Quarantined
    | Superseded
    | exchanges.Declined
)


@dataclasses.dataclass
class StreamAttempt:
    """One attempt at one endpoint; times are on the loop's clock.

    :param backup: endpoint that holds a copy of the attempt's state.
    :param memory_source: copy that the attempt continues from, as
        ``address/request id``; empty if there is none.
    :param event_count: new events that the attempt passed on.
    :param progress_s: when the attempt began, got its head or passed on
        its last new event.
    :param last_check_s: time of the last connection check.
    :param steady_s: when bytes arrived last that the network did not hold
        up, in seconds since boot; known once the attempt has ended.
    :param is_unreachable: whether that check failed.
    :param is_reachable: whether it succeeded since the last progress.
    :param is_declared_lost: whether the loss of its endpoint was recorded
        since its last progress.
    :param is_backup_used: whether the copy at the backup was asked for; a
        copy can be used once.
    :param ask_full_from_s: when endpoints that declined a stream may be
        asked to go on with this one.
    :param opening: the request while it lasts.
    :param speed_meter: time between its events.
    :param held_tokens: tokens that it will hold at its end; 0 without
        admission of streams.
    :param unread_tokens: tokens of its prompt until its first event.
    """

    endpoint: endpoints.FleetEndpoint
    backup: endpoints.FleetEndpoint | None
    memory_source: str
    began_s: float
    has_head: bool = False
    event_count: int = 0
    first_event_s: float = 0.0
    progress_s: float = 0.0
    last_check_s: float = 0.0
    steady_s: float = 0.0
    is_unreachable: bool = False
    is_reachable: bool = False
    is_declared_lost: bool = False
    is_backup_used: bool = False
    ask_full_from_s: float = math.inf
    observation: observations.Observation | None = None
    opening: Opening | None = None
    speed_meter: speed_meters.SpeedMeter = dataclasses.field(
        default_factory=speed_meters.SpeedMeter
    )
    held_tokens: int = 0
    unread_tokens: int = 0

    @property
    def has_events(self) -> bool:
        """Return whether the attempt passed on an event."""
        return self.event_count > 0


@dataclasses.dataclass
class StreamTimes:
    """Timings of one stream for its log line, in seconds.

    :param first_event_s: from arrival to the first event; 0 if none came.
    :param longest_gap_s: longest time between forwarded events.
    :param last_sent_s: when the last events were forwarded, on the
        loop's clock; 0 if none were.
    :param endpoints: ids of the attempted endpoints, in order.
    :param speeds: relative speeds of these endpoints.
    :param silent_count: how many of them the stream left as they were
        silent.
    :param admission_wait_s: time for which it waited for room.
    """

    first_event_s: float = 0.0
    longest_gap_s: float = 0.0
    last_sent_s: float = 0.0
    endpoints: list[str] = dataclasses.field(default_factory=list)
    speeds: list[float] = dataclasses.field(default_factory=list)
    silent_count: int = 0
    admission_wait_s: float = 0.0


class CountedAttempt:
    """Counts an attempt at its endpoint and backup while it lasts."""

    def __init__(
        self, context: contexts.ForwardingContext, attempt: StreamAttempt
    ) -> None:
        self._context = context
        self._attempt = attempt

    def __enter__(self) -> None:
        stats = self._context.endpoint_tracker.stats(
            self._attempt.endpoint.endpoint_id
        )
        stats.streams += 1
        stats.starting += 1
        stats.held_tokens += self._attempt.held_tokens
        stats.unread_tokens += self._attempt.unread_tokens
        if self._attempt.backup is not None:
            backup = self._attempt.backup.endpoint_id
            self._context.endpoint_tracker.stats(backup).backups += 1
        self._context.on_placement_changed()

    def __exit__(self, *details: object) -> None:
        stats = self._context.endpoint_tracker.stats(
            self._attempt.endpoint.endpoint_id
        )
        stats.streams -= 1
        stats.held_tokens -= self._attempt.held_tokens
        # Lowered before the first event is passed on.
        if not self._attempt.first_event_s:
            stats.starting -= 1
            stats.unread_tokens -= self._attempt.unread_tokens
        if self._attempt.backup is not None:
            backup = self._attempt.backup.endpoint_id
            self._context.endpoint_tracker.stats(backup).backups -= 1
        self._context.on_placement_changed()


class Opening:
    """Request of an attempt; counted at its endpoint until it is closed.

    :param exchange: exchange that is not opened yet.
    """

    def __init__(
        self,
        context: contexts.ForwardingContext,
        attempt: StreamAttempt,
        exchange: exchanges.Exchange,
        request: exchanges.CallerRequest,
        facts: wire.SendFacts,
    ) -> None:
        self.exchange = exchange
        self._attempt = attempt
        loop = asyncio.get_running_loop()
        self._overlap_until_s = loop.time() + handover.OVERLAP_S
        self._counted = contextlib.ExitStack()
        self._counted.enter_context(CountedAttempt(context, attempt))
        self.task = asyncio.create_task(exchange.open(request, facts))

    @property
    def state(self) -> handover.SuccessorState:
        """Return the state of the request for a handover."""
        if self.task.done():
            is_accepted = (
                not self.task.cancelled()
                and self.task.exception() is None
                and _begins_stream(self.task.result())
            )
            return handover.Accepted() if is_accepted else handover.Failed()
        if self.exchange.is_sent:
            return handover.Sent(self._overlap_until_s)
        return handover.Connecting()

    def unused_end(self) -> AttemptEnd:
        """Return how the attempt ends if the stream stays elsewhere."""
        is_sent = self.exchange.is_sent
        if not self.task.done() or self.task.cancelled():
            return Superseded(is_sent)
        match self.task.exception():
            case None:
                head = self.task.result()
                if head.facts.is_not_run:
                    return exchanges.Declined(head.status, head.facts.load)
                return Superseded(is_sent)
            case channels.ConnectFailed() | channels.ChannelBroken() as error:
                return interruption(error, is_sent)
            case error:
                _LOG.error('An attempt failed unexpectedly.', exc_info=error)
                return Superseded(is_sent)

    def close(self) -> None:
        """End the request unless its answer was read completely."""
        self.task.cancel()
        self._attempt.steady_s = self.exchange.steady_s
        self.exchange.abandon()
        if self._attempt.observation:
            self._attempt.observation.close()
        self._counted.close()
        self._attempt.opening = None


def _begins_stream(head: exchanges.AnswerHead) -> bool:
    """Tell whether events may follow a head."""
    facts = head.facts
    return head.status == http.HTTPStatus.OK and not (
        facts.is_not_run or facts.is_unproven_refusal or facts.is_encoded
    )


def interruption(
    error: channels.ConnectFailed | channels.ChannelBroken, is_sent: bool
) -> Interrupted:
    """Return how an error of its exchange ends an attempt."""
    match error:
        case channels.ConnectFailed():
            return Interrupted(str(error), False)
        case channels.ChannelBroken():
            return Interrupted(error.reason, is_sent, is_broken_off=True)


def reason_label(end: AttemptEnd) -> str:
    """Return the label of an attempt's end for logs and counters."""
    match end:
        case Interrupted(reason):
            return 'connect failed' if not end.may_have_run else reason
        case exchanges.Declined(status):
            return f'declined {status}'
        case Rejected(answer):
            return f'status {answer.head.status}'
        case Completed():
            return 'whole'
        case Quarantined():
            return 'quarantined'
        case Superseded():
            return 'superseded'
