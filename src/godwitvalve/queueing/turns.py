"""Lets the calls of an entry wait for their turn at full services."""

from __future__ import annotations

import asyncio

from godwitvalve.logs import setup as logs
from godwitvalve.queueing import fair_queue
from godwitvalve.queueing import shares

_LOG = logs.get('queueing')


class TurnRefused(Exception):
    """A call would not get its turn in time.

    :param retry_after_s: seconds after which it may.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f'retry after {retry_after_s:.2f} s')
        self.retry_after_s = retry_after_s


class Turn:
    """A call that runs or waits; ``end`` must be called once.

    :param granted: done once a waiting call may run.
    """

    def __init__(
        self,
        queue: ServiceTurns,
        account: str,
        priority: int,
        deadline_s: float,
        began_s: float,
    ) -> None:
        self._queue = queue
        self.deadline_s = deadline_s
        self.began_s = began_s
        self.account = account
        self.priority = priority
        self.is_running = True
        self.granted: asyncio.Future[None] | None = None

    async def wait_again(self) -> None:
        """Wait for another turn after all endpoints declined the call.

        :raises TurnRefused: if the call can't end in time any more.
        """
        await self._queue.requeue(self)

    def end(self, was_sent: bool = True) -> None:
        """End the call, or its wait.

        :param was_sent: whether an endpoint got the call.
        """
        self._queue.end(self, was_sent)


class ServiceTurns:
    """Turns at one service."""

    def __init__(self, service: str, use: shares.AccountUse) -> None:
        self._service = service
        self._use = use
        self._loop = asyncio.get_running_loop()
        self._queue: fair_queue.FairQueue[Turn] = fair_queue.FairQueue(
            lambda account, now_s: use.reported(service, account, now_s)
        )
        self._probing: asyncio.TimerHandle | None = None

    def rate_per_s(self) -> float:
        """Return how many calls a second get a turn at the present rate."""
        return self._queue.rate_per_s(self._loop.time())

    def expected(
        self, account: str, deadline_s: float
    ) -> fair_queue.Admission:
        """Return what a call that arrives now would get; admits none.

        :param deadline_s: seconds of the event loop's clock.
        """
        return self._queue.expected(account, self._loop.time(), deadline_s)

    async def begin(
        self, account: str, priority: int, deadline_s: float
    ) -> Turn:
        """Return a turn, at once unless the service is full.

        :param deadline_s: seconds of the event loop's clock.
        :raises TurnRefused: if the call would wait beyond its deadline.
        """
        now_s = self._loop.time()
        turn = Turn(self, account, priority, deadline_s, now_s)
        match self._queue.arrive(account, priority, turn, now_s, deadline_s):
            case fair_queue.Refused(retry_after_s):
                raise TurnRefused(retry_after_s)
            case fair_queue.Queued():
                try:
                    await self._wait(turn)
                except (asyncio.CancelledError, TurnRefused):
                    turn.end()
                    raise
            case fair_queue.Started():
                self._use.begin(self._service, account)
        return turn

    async def requeue(self, turn: Turn) -> None:
        """Put a declined call back and wait for its next turn."""
        self._use.end(self._service, turn.account)
        self._queue.decline(
            turn.account,
            turn.priority,
            turn,
            self._loop.time(),
            turn.deadline_s,
        )
        _LOG.debug('The service is full.', extra={'service': self._service})
        await self._wait(turn)

    async def _wait(self, turn: Turn) -> None:
        turn.is_running = False
        turn.granted = self._loop.create_future()
        self._use.mark_full(self._service, self._loop.time())
        self._schedule_probe()
        await turn.granted

    def end(self, turn: Turn, was_sent: bool) -> None:
        """End a call and grant the turns that become free."""
        now_s = self._loop.time()
        if turn.is_running:
            self._use.end(self._service, turn.account)
            taken_s = now_s - turn.began_s
            self._grant(
                self._queue.finish(turn.account, now_s, taken_s, was_sent)
            )
        else:
            self._queue.cancel(turn.account, turn)

    def _grant(self, calls: fair_queue.NextCalls[Turn]) -> None:
        # A call that was cancelled just now ends its turn itself.
        for turn in calls.started:
            turn.is_running = True
            self._use.begin(self._service, turn.account)
            turn.began_s = self._loop.time()
            if turn.granted is not None and not turn.granted.done():
                turn.granted.set_result(None)
        for turn in calls.refused:
            if turn.granted is not None and not turn.granted.done():
                turn.granted.set_exception(TurnRefused(self._queue.call_s))

    def _schedule_probe(self) -> None:
        if self._probing is None:
            self._probing = self._loop.call_later(
                fair_queue.PROBE_PERIOD_S, self._probe
            )

    def _probe(self) -> None:
        self._probing = None
        self._grant(self._queue.probe(self._loop.time()))
        if self._queue.has_waiting:
            self._use.mark_full(self._service, self._loop.time())
        if not self._queue.is_idle:
            self._schedule_probe()


class Turns:
    """Turns at all services of an entry.

    :param use: counts the calls that run by account.
    """

    def __init__(self, use: shares.AccountUse | None = None) -> None:
        self._use = use or shares.AccountUse()
        self._services: dict[str, ServiceTurns] = {}

    def expected(
        self, service: str, account: str, deadline_s: float
    ) -> fair_queue.Admission:
        """Return what a call that arrives now would get; admits none.

        :param deadline_s: seconds of the event loop's clock.
        """
        turns = self._services.get(service)
        if turns is None:
            return fair_queue.Started()
        return turns.expected(account, deadline_s)

    def at(self, service: str) -> ServiceTurns:
        """Return the turns at a service."""
        if service not in self._services:
            self._services[service] = ServiceTurns(service, self._use)
        return self._services[service]
