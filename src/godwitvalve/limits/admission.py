"""Admission of requests: account limits, then a slot in fair order."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import itertools
import math
import types
from typing import Self

from godwitvalve import clock as clocks
from godwitvalve.limits import account as account_limits
from godwitvalve.limits import model
from godwitvalve.limits import queue as queues
from godwitvalve.limits import shares as account_shares
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome

# Retry time for an account that has no share at this entry: loans change
# once a second.
RETRY_WITHOUT_SHARE_S = 1.0


@dataclasses.dataclass
class Admitted:
    """An admitted request, which holds a slot until it is released.

    As an asynchronous context manager it releases the slot on exit. Set
    ``used_tokens`` before that to correct the estimated cost.
    """

    client_account: str
    cost_tokens: float
    release: abc.Callable[[Admitted], None]
    used_tokens: float | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.release(self)


class Admission:
    """Admits requests of client accounts at this entry.

    :param slots: number of requests that may be in flight at this entry.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        shares: account_shares.AccountShares,
        slots: int,
    ) -> None:
        self._clock = clock
        self._shares = shares
        self._slots = slots
        self._slots_in_use = 0
        self._ids = itertools.count(1)
        self._queue = queues.AdmissionQueue(clock.monotonic_s())
        self._accounts: dict[str, account_limits.AccountLimiter] = {}
        self._waiters: dict[int, asyncio.Future[None]] = {}

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; running requests keep their slots."""
        self._slots = slots
        self._fill_slots()

    def set_limits(self, limits: abc.Mapping[str, model.AccountLimit]) -> None:
        """Replace the limits; requests in flight stay counted."""
        now_s = self._clock.monotonic_s()
        accounts = {}
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if account is None:
                account = account_limits.AccountLimiter(limit, now_s)
            account.limit = limit
            accounts[name] = account
            self._queue.set_priority(name, limit.priority)
        self._accounts = accounts

    def demands(self) -> dict[str, float]:
        """Return the offered load of each account for ``make_report``.

        Also passes the requests in flight to the shares, so it must be
        called before each report.
        """
        now_s = self._clock.monotonic_s()
        self._shares.set_uses(
            {name: account.use() for name, account in self._accounts.items()}
        )
        return {
            name: account.demand(now_s)
            for name, account in self._accounts.items()
        }

    async def admit(
        self, client_account: str, cost_tokens: float, deadline_s: float
    ) -> Admitted | outcome.NotRun:
        """Wait for a slot within the account's limits.

        :param cost_tokens: estimated tokens of prompt and answer.
        :param deadline_s: monotonic time until which the caller waits.
        """
        now_s = self._clock.monotonic_s()
        account = self._accounts.get(client_account)
        if account is None:
            return outcome.NotRun(codes.ResultCode.UNAUTHENTICATED)
        account.record_request(cost_tokens, now_s)
        share = self._shares.share(client_account, now_s)
        concurrent = self._shares.units(
            client_account, account.limit.concurrent, now_s
        )
        refusal = account.try_admit(cost_tokens, share, concurrent, now_s)
        if refusal is not None:
            ready_s = account.ready_s(cost_tokens, share, now_s)
            if refusal is codes.ResultCode.ACCOUNT_CONCURRENCY_LIMIT:
                ready_s = max(ready_s, now_s + RETRY_WITHOUT_SHARE_S)
            return self._not_run(refusal, ready_s, now_s)
        rejection = await self._wait_for_slot(
            client_account, cost_tokens, deadline_s, now_s
        )
        if rejection is not None:
            account.refund(cost_tokens)
            return rejection
        return Admitted(client_account, cost_tokens, self.release)

    def release(self, admitted: Admitted) -> None:
        """End an admitted request and free its slot for the next one."""
        used = admitted.used_tokens
        if used is None:
            used = admitted.cost_tokens
        account = self._accounts.get(admitted.client_account)
        if account is not None:
            account.finish(admitted.cost_tokens, used)
        now_s = self._clock.monotonic_s()
        self._queue.record_finished(admitted.cost_tokens, now_s)
        self._free_slot()

    async def _wait_for_slot(
        self,
        client_account: str,
        cost_tokens: float,
        deadline_s: float,
        now_s: float,
    ) -> outcome.NotRun | None:
        if self._slots_in_use < self._slots and not len(self._queue):
            self._take_slot()
            return None
        request = queues.QueuedRequest(
            next(self._ids), client_account, cost_tokens, deadline_s
        )
        match self._queue.offer(request, now_s):
            case queues.Rejected(retry_at_s=retry_at_s):
                return self._overloaded(retry_at_s, now_s)
            case queues.Queued():
                return await self._wait_in_queue(request, now_s)

    async def _wait_in_queue(
        self, request: queues.QueuedRequest, now_s: float
    ) -> outcome.NotRun | None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[request.request_id] = waiter
        try:
            async with asyncio.timeout(request.deadline_s - now_s):
                await waiter
        except TimeoutError:
            if not self._leave_queue(request):
                return None
            now_s = self._clock.monotonic_s()
            wait_s = self._queue.expected_wait_s(
                request.client_account, request.cost_tokens, now_s
            )
            return self._overloaded(now_s + wait_s, now_s)
        except asyncio.CancelledError:
            if not self._leave_queue(request):
                self._free_slot()
            raise
        return None

    def _leave_queue(self, request: queues.QueuedRequest) -> bool:
        """Remove a waiting request; return False if it has a slot already."""
        self._waiters.pop(request.request_id, None)
        return self._queue.cancel(request)

    def _fill_slots(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._slots_in_use < self._slots:
            request = self._queue.take(now_s)
            if request is None:
                return
            self._take_slot()
            waiter = self._waiters.pop(request.request_id)
            if not waiter.done():
                waiter.set_result(None)

    def _take_slot(self) -> None:
        self._slots_in_use += 1
        self._update_busy()

    def _free_slot(self) -> None:
        self._slots_in_use -= 1
        self._fill_slots()
        self._update_busy()

    def _update_busy(self) -> None:
        busy = self._slots_in_use >= self._slots
        self._queue.set_busy(busy, self._clock.monotonic_s())

    def _overloaded(self, retry_at_s: float, now_s: float) -> outcome.NotRun:
        return self._not_run(codes.ResultCode.OVERLOADED, retry_at_s, now_s)

    def _not_run(
        self, code: codes.ResultCode, ready_s: float, now_s: float
    ) -> outcome.NotRun:
        wait_s = ready_s - now_s
        if not math.isfinite(wait_s):
            wait_s = RETRY_WITHOUT_SHARE_S
        return outcome.NotRun(
            code, retry_at_wall_s=self._clock.wall_s() + max(0.0, wait_s)
        )
