"""Order of the streams that wait for room at one service.

Load pattern: the memory of all endpoints is taken for seconds, while one
client account sends several times its share and urgent streams arrive among
others. Performs no input or output.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import Generic, NamedTuple, TypeVar

from godwitvalve.queueing import shares

Ticket = TypeVar('Ticket')

# Accounts and kinds are compared by what they showed in about this time.
MEMORY_S = 10.0
# An account that is served less often than this part of all comes first.
LEAST_SHARE = 0.25
# A kind leaves this part of the objective to each more urgent kind, so that
# room that is scarce goes to the urgent one.
URGENT_RESERVE = 0.1
# An account above its share is bound by its objective times share over use,
# and at least by this part of it.
LEAST_BOUND = 0.5


class Waiting(NamedTuple, Generic[Ticket]):
    """A stream that waits.

    :param priority: 0 is the most urgent.
    :param first_event_by_s: when its objective ends, in monotonic seconds.
    :param is_returned: whether this entry refused it before.
    """

    ticket: Ticket
    account: str
    priority: int
    first_event_by_s: float
    is_returned: bool = False


@dataclasses.dataclass
class _Served:
    """Decaying counts of the streams of an account."""

    ended: float = 0.0
    sent: float = 0.0
    at_s: float = 0.0

    def record(self, is_sent: bool, now_s: float) -> None:
        kept = 0.5 ** ((now_s - self.at_s) / MEMORY_S)
        self.ended = self.ended * kept + 1.0
        self.sent = self.sent * kept + is_sent
        self.at_s = now_s

    @property
    def share(self) -> float:
        return self.sent / self.ended if self.ended else 1.0


class _Kind(NamedTuple):
    objective_s: float
    seen_s: float


class StreamQueue(Generic[Ticket]):
    """Streams of one service that wait at one entry, and those that run.

    Streams that resume come first, then the more urgent ones, then those of
    the accounts with the least use over all entries, then those with the least
    time left. An account that was served less than a quarter as often as all
    counts as most urgent.

    :param service: name of the service in ``use``.
    :param use: use by client accounts over all entries.
    """

    def __init__(
        self, service: str = '', use: shares.AccountUse | None = None
    ) -> None:
        self._service = service
        self._use = use or shares.AccountUse()
        self._waiting: list[Waiting[Ticket]] = []
        self._running: collections.Counter[str] = collections.Counter()
        self._resuming = 0
        self._kinds: dict[int, _Kind] = {}
        self._all = _Served()
        self._accounts: dict[str, _Served] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def copy(self) -> StreamQueue[Ticket]:
        """Return a queue of its own with the same contents."""
        copied: StreamQueue[Ticket] = StreamQueue(self._service, self._use)
        copied._waiting = list(self._waiting)
        copied._running = self._running.copy()
        copied._resuming = self._resuming
        copied._kinds = dict(self._kinds)
        copied._all = dataclasses.replace(self._all)
        copied._accounts = {
            account: dataclasses.replace(served)
            for account, served in self._accounts.items()
        }
        return copied

    @property
    def resuming(self) -> int:
        """Return how many streams wait to resume."""
        return self._resuming

    def begin_resume(self) -> None:
        """Record a stream that waits to go on after a loss."""
        self._resuming += 1

    def end_resume(self) -> None:
        """Record that such a stream waits no longer."""
        self._resuming -= 1

    def begin(self, account: str) -> None:
        """Record a stream that runs."""
        self._running[account] += 1

    def end(self, account: str) -> None:
        """Record the end of a stream that ran."""
        self._running[account] -= 1
        if not self._running[account]:
            del self._running[account]

    def record_outcome(
        self, account: str, is_sent: bool, now_s: float
    ) -> None:
        """Record whether a stream was sent or refused."""
        self._all.record(is_sent, now_s)
        self._accounts.setdefault(account, _Served()).record(is_sent, now_s)
        idle = [
            each
            for each, served in self._accounts.items()
            if now_s - served.at_s > 10 * MEMORY_S
        ]
        for each in idle:
            del self._accounts[each]

    def is_disadvantaged(self, account: str) -> bool:
        """Tell whether an account is served far less often than all."""
        served = self._accounts.get(account)
        return (
            served is not None and served.share < LEAST_SHARE * self._all.share
        )

    def bound_s(
        self, account: str, priority: int, objective_s: float, now_s: float
    ) -> float:
        """Return the objective that the room for a stream is measured by.

        A kind with a long objective would be sent where the more urgent
        ones with a short one are refused already. An account above its
        share leaves room that is scarce to the others.
        """
        self._kinds[priority] = _Kind(objective_s, now_s)
        if self.is_disadvantaged(account):
            return objective_s
        urgent_s = [
            kind.objective_s
            for each, kind in self._kinds.items()
            if each < priority and now_s - kind.seen_s < MEMORY_S
        ]
        reserve = max(1.0 - URGENT_RESERVE * len(urgent_s), 0.5)
        use = self._relative_use(account, now_s)
        return (
            min([objective_s, *urgent_s])
            * reserve
            * max(1.0 / max(use, 1.0), LEAST_BOUND)
        )

    def _relative_use(self, account: str, now_s: float) -> float:
        return self._use.relative_use(self._service, account, now_s)

    def add(self, waiting: Waiting[Ticket]) -> None:
        """Add a stream that has no room."""
        self._waiting.append(waiting)

    def remove(self, ticket: Ticket) -> None:
        """Remove a stream that waits no longer."""
        self._waiting = [
            each for each in self._waiting if each.ticket is not ticket
        ]

    def ahead_of(self, waiting: Waiting[Ticket], now_s: float) -> int:
        """Return how many streams have room before another one."""
        key = self._key(waiting, now_s)
        return self._resuming + sum(
            self._key(each, now_s) < key
            for each in self._waiting
            if each.ticket is not waiting.ticket
        )

    def contenders(
        self, waiting: Waiting[Ticket], others: int, now_s: float
    ) -> int:
        """Return how many streams of all entries another one waits with.

        Load pattern: one account sends five times its share through all
        entries, so that its streams wait at each of them. One of an account
        below its share does not wait for those at other entries.

        :param others: streams that wait at other entries.
        """
        if self._relative_use(waiting.account, now_s) < 1.0:
            return self.ahead_of(waiting, now_s)
        return len(self) + others

    def _key(
        self, waiting: Waiting[Ticket], now_s: float
    ) -> tuple[bool, int, bool, int, float]:
        is_first = self.is_disadvantaged(waiting.account)
        return (
            not is_first,
            waiting.priority,
            not waiting.is_returned,
            self._running[waiting.account]
            + self._use.reported(self._service, waiting.account, now_s),
            waiting.first_event_by_s,
        )
