"""Attempts of a stream at endpoints, and how they end."""

from __future__ import annotations

import dataclasses
from typing import Protocol, TypeAlias

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.rollouts import observation as observations


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


AttemptEnd: TypeAlias = (
    Completed | Interrupted | Rejected | Quarantined | exchanges.Declined
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
    :param is_unreachable: whether that check failed.
    :param is_declared_lost: whether the loss of its endpoint was recorded
        since its last progress.
    """

    endpoint: endpoints.FleetEndpoint
    backup: endpoints.FleetEndpoint | None
    memory_source: str
    began_s: float
    has_head: bool = False
    event_count: int = 0
    first_event_s: float = 0.0
    last_activity_s: float = 0.0
    progress_s: float = 0.0
    last_check_s: float = 0.0
    is_unreachable: bool = False
    is_declared_lost: bool = False
    observation: observations.Observation | None = None

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
    """

    first_event_s: float = 0.0
    longest_gap_s: float = 0.0
    last_sent_s: float = 0.0
    endpoints: list[str] = dataclasses.field(default_factory=list)


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
        if self._attempt.backup is not None:
            backup = self._attempt.backup.endpoint_id
            self._context.endpoint_tracker.stats(backup).backups += 1
        self._context.on_placement_changed()

    def __exit__(self, *details: object) -> None:
        stats = self._context.endpoint_tracker.stats(
            self._attempt.endpoint.endpoint_id
        )
        stats.streams -= 1
        if not self._attempt.has_events:
            stats.starting -= 1
        if self._attempt.backup is not None:
            backup = self._attempt.backup.endpoint_id
            self._context.endpoint_tracker.stats(backup).backups -= 1
        self._context.on_placement_changed()


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
