"""Queue of calls to a full service, shared fairly by client accounts.

Performs no input or output.
"""

from __future__ import annotations

import collections
from collections import abc
import dataclasses
import heapq
import itertools
from typing import Generic, NamedTuple, TypeAlias, TypeVar

Ticket = TypeVar('Ticket')

# Weight of the newest call in the usual time of a call.
TIME_WEIGHT = 0.1
# Period over which the rate of ended calls is measured.
RATE_PERIOD_S = 1.0
# For this long after a decline the limit stays: each further call that is
# declined draws on the retry budget, which all accounts share.
HOLD_S = 0.3
# After that, one more call is tried each period.
PROBE_PERIOD_S = 0.03
# Without a decline or a waiting call for this long the service counts as free.
FREE_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True)
class Started:
    """The call is sent now."""


@dataclasses.dataclass(frozen=True)
class Queued:
    """The call waits for its turn.

    :param expected_s: seconds.
    """

    expected_s: float


@dataclasses.dataclass(frozen=True)
class Refused:
    """The call would not get its turn in time.

    :param retry_after_s: seconds until the calls that wait now have ended.
    """

    retry_after_s: float


Admission: TypeAlias = Started | Queued | Refused


class NextCalls(NamedTuple, Generic[Ticket]):
    """Calls that no longer wait.

    :param started: their turn is now.
    :param refused: they could no longer end in time.
    """

    started: list[Ticket]
    refused: list[Ticket]


class _Waiting(NamedTuple, Generic[Ticket]):
    priority: int
    sequence: int
    deadline_s: float
    ticket: Ticket


def _no_use(account: str, now_s: float) -> int:
    return 0


class FairQueue(Generic[Ticket]):
    """Calls of one service at one entry.

    Load pattern: one client account sends five times its share to a service
    whose endpoints are full, while others send little. Without an order, all
    calls are declined alike. While the service is full, the number of calls
    in flight is held at what the endpoints accepted, and the next turn goes
    to the account with the fewest calls in flight, so that an account below
    its share hardly waits. A service that is not full has no limit.

    :param reported_use: returns the calls that an account has in flight at
        other entries, which count like own ones in the order of turns.
    """

    def __init__(
        self, reported_use: abc.Callable[[str, float], int] = _no_use
    ) -> None:
        self._reported_use = reported_use
        self._running: collections.Counter[str] = collections.Counter()
        self._waiting: dict[str, list[_Waiting[Ticket]]] = {}
        self._sequence = itertools.count()
        # Usual time of a call in flight.
        self.call_s = 0.0
        self._limit: float | None = None
        self._declined_s = float('-inf')
        self._ended_s: collections.deque[float] = collections.deque()

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing runs, waits or limits."""
        return (
            not self._waiting
            and self._limit is None
            and not self._running.total()
        )

    @property
    def has_waiting(self) -> bool:
        """Tell whether a call waits."""
        return bool(self._waiting)

    def arrive(
        self,
        account: str,
        priority: int,
        ticket: Ticket,
        now_s: float,
        deadline_s: float,
    ) -> Admission:
        """Admit a new call.

        :param priority: 0 is first among the calls of the account.
        :param ticket: returned when it is the turn of the call.
        :param deadline_s: time until which an answer is of use.
        """
        admission = self.expected(account, now_s, deadline_s)
        match admission:
            case Started():
                self._running[account] += 1
            case Queued():
                self._enqueue(account, priority, ticket, deadline_s)
        return admission

    def expected(
        self, account: str, now_s: float, deadline_s: float
    ) -> Admission:
        """Return what a call that arrives now would get; admits none."""
        if self._has_room() and not self._waiting:
            return Started()
        wait_s = self._expected_wait_s(account, now_s)
        if now_s + wait_s + self.call_s > deadline_s:
            return Refused(wait_s)
        return Queued(wait_s)

    def decline(
        self,
        account: str,
        priority: int,
        ticket: Ticket,
        now_s: float,
        deadline_s: float,
    ) -> None:
        """Queue a call again that all endpoints declined."""
        self._running[account] -= 1
        self._declined_s = now_s
        self._limit = float(max(self._running.total(), 1))
        self._enqueue(account, priority, ticket, deadline_s)

    def finish(
        self,
        account: str,
        now_s: float,
        taken_s: float,
        was_sent: bool = True,
    ) -> NextCalls[Ticket]:
        """End a call; return the calls whose turn it is now.

        :param taken_s: seconds since its turn.
        :param was_sent: whether an endpoint got it; only such calls show
            how fast the service is.
        """
        self._running[account] -= 1
        if not was_sent:
            return self._next_turns(now_s)
        self._ended_s.append(now_s)
        self._forget_ends(now_s)
        weight = TIME_WEIGHT if self.call_s else 1.0
        self.call_s += weight * (taken_s - self.call_s)
        return self._next_turns(now_s)

    def cancel(self, account: str, ticket: Ticket) -> None:
        """Remove a call that waits."""
        entries = self._waiting.get(account, [])
        kept = [each for each in entries if each.ticket is not ticket]
        heapq.heapify(kept)
        self._set_waiting(account, kept)

    def probe(self, now_s: float) -> NextCalls[Ticket]:
        """Raise the limit if nothing was declined; return the next calls.

        Has to be called every ``PROBE_PERIOD_S``.
        """
        if self._limit is None:
            return NextCalls([], [])
        if not self._waiting and now_s - self._declined_s > FREE_AFTER_S:
            self._limit = None
            return NextCalls([], [])
        if now_s - self._declined_s >= HOLD_S:
            self._limit += 1.0
        return self._next_turns(now_s)

    def _has_room(self) -> bool:
        return self._limit is None or self._running.total() < self._limit

    def _enqueue(
        self, account: str, priority: int, ticket: Ticket, deadline_s: float
    ) -> None:
        heapq.heappush(
            self._waiting.setdefault(account, []),
            _Waiting(priority, next(self._sequence), deadline_s, ticket),
        )

    def _set_waiting(
        self, account: str, entries: list[_Waiting[Ticket]]
    ) -> None:
        if entries:
            self._waiting[account] = entries
        else:
            self._waiting.pop(account, None)

    def _next_turns(self, now_s: float) -> NextCalls[Ticket]:
        found: NextCalls[Ticket] = NextCalls([], [])
        while self._waiting and self._has_room():
            account = min(
                self._waiting,
                key=lambda each: (
                    self._running[each] + self._reported_use(each, now_s),
                    self._waiting[each][0][:2],
                ),
            )
            entries = self._waiting[account]
            first = heapq.heappop(entries)
            self._set_waiting(account, entries)
            if now_s + self.call_s > first.deadline_s:
                found.refused.append(first.ticket)
                continue
            self._running[account] += 1
            found.started.append(first.ticket)
        return found

    def _forget_ends(self, now_s: float) -> None:
        while self._ended_s and self._ended_s[0] < now_s - RATE_PERIOD_S:
            self._ended_s.popleft()

    def _expected_wait_s(self, account: str, now_s: float) -> float:
        """Return when a call of an account gets its turn at the present rate.

        Accounts that wait take turns, so a call waits for those of its own
        account and for as many of each other one; for fewer of one that has
        more in flight at other entries.
        """
        position = len(self._waiting.get(account, ())) + 1
        own = self._reported_use(account, now_s)
        ahead = sum(
            min(
                len(entries),
                max(position + own - self._reported_use(other, now_s), 0),
            )
            for other, entries in self._waiting.items()
            if other != account
        )
        return (position + ahead) / self.rate_per_s(now_s)

    def rate_per_s(self, now_s: float) -> float:
        """Return how many calls a second get a turn at the present rate."""
        oldest_s = now_s - RATE_PERIOD_S
        ended = sum(each >= oldest_s for each in self._ended_s)
        # An entry with few calls has ended none in the period.
        possible_rate = (self._limit or 1.0) / max(self.call_s, PROBE_PERIOD_S)
        return max(ended / RATE_PERIOD_S, possible_rate)
