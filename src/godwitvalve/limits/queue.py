"""Fair admission: one queue per client account."""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple, TypeAlias

from godwitvalve.limits import service_rate

# Tokens that each round adds to an account, per unit of priority.
QUANTUM_TOKENS = 256.0
# Bounds memory; a queue of this length waits longer than any caller's
# deadline.
MAX_QUEUED_PER_ACCOUNT = 1000


class QueuedRequest(NamedTuple):
    """A request that waits for a slot.

    :param deadline_s: monotonic time until which the caller waits.
    """

    request_id: int
    client_account: str
    cost_tokens: float
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Queued:
    """The request was queued.

    :param expected_s: monotonic time at which a slot is expected.
    """

    expected_s: float


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request was not queued.

    It would wait past its deadline, or its account's queue is full.

    :param retry_at_s: monotonic time at which a retry is expected to be
        queued.
    """

    retry_at_s: float


OfferOutcome: TypeAlias = Queued | Rejected


class _AccountQueue:
    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.deficit_tokens = 0.0
        self.queued_tokens = 0.0
        self.requests: collections.deque[QueuedRequest] = collections.deque()


class AdmissionQueue:
    """Deficit round robin over client accounts, weighted by priority."""

    def __init__(self, now_s: float) -> None:
        self._rate = service_rate.ServiceRate(now_s)
        self._weights: dict[str, float] = {}
        # Accounts with waiting requests in round-robin order.
        self._waiting: collections.OrderedDict[str, _AccountQueue] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return sum(len(queue.requests) for queue in self._waiting.values())

    def set_priority(self, client_account: str, priority: int) -> None:
        """Set the weight of an account; the default is 1."""
        weight = float(max(1, priority))
        self._weights[client_account] = weight
        queue = self._waiting.get(client_account)
        if queue is not None:
            queue.weight = weight

    def offer(self, request: QueuedRequest, now_s: float) -> OfferOutcome:
        """Queue a request unless it would wait past its deadline."""
        wait_s = self.expected_wait_s(
            request.client_account, request.cost_tokens, now_s
        )
        account = request.client_account
        queue = self._waiting.get(account)
        full = queue and len(queue.requests) >= MAX_QUEUED_PER_ACCOUNT
        if full or now_s + wait_s > request.deadline_s:
            remaining_s = max(0.0, request.deadline_s - now_s)
            return Rejected(now_s + max(wait_s - remaining_s, 0.0))
        if queue is None:
            queue = _AccountQueue(self._weights.get(account, 1.0))
            self._waiting[account] = queue
        queue.requests.append(request)
        queue.queued_tokens += request.cost_tokens
        return Queued(now_s + wait_s)

    def expected_wait_s(
        self, client_account: str, cost_tokens: float, now_s: float
    ) -> float:
        """Return the expected wait of a request that is queued now.

        Until the request's turn, each other account is served in
        proportion to its weight, up to the tokens that it has queued.
        """
        rate = self._rate.tokens_per_s(now_s)
        if rate is None:
            return 0.0
        own = self._waiting.get(client_account)
        weight = self._weights.get(client_account, 1.0)
        own_tokens = own.queued_tokens if own else 0.0
        rounds = (own_tokens + cost_tokens) / weight
        ahead = own_tokens + sum(
            min(queue.queued_tokens, queue.weight * rounds)
            for account, queue in self._waiting.items()
            if account != client_account
        )
        return ahead / rate

    def take(self, now_s: float) -> QueuedRequest | None:
        """Remove and return the next request, or None if none waits."""
        while self._waiting:
            account, queue = next(iter(self._waiting.items()))
            request = queue.requests[0]
            if queue.deficit_tokens < request.cost_tokens:
                queue.deficit_tokens += queue.weight * QUANTUM_TOKENS
                self._waiting.move_to_end(account)
                continue
            queue.requests.popleft()
            queue.deficit_tokens -= request.cost_tokens
            queue.queued_tokens -= request.cost_tokens
            if not queue.requests:
                del self._waiting[account]
            return request
        return None

    def cancel(self, request: QueuedRequest) -> bool:
        """Remove a waiting request; return whether it was waiting."""
        queue = self._waiting.get(request.client_account)
        if queue is None or request not in queue.requests:
            return False
        queue.requests.remove(request)
        queue.queued_tokens -= request.cost_tokens
        if not queue.requests:
            del self._waiting[request.client_account]
        return True

    def record_finished(self, cost_tokens: float, now_s: float) -> None:
        """Count a finished request towards the service rate."""
        self._rate.record_finished(cost_tokens, now_s)

    def set_busy(self, busy: bool, now_s: float) -> None:
        """Set whether all slots are in use; the rate is measured only then."""
        self._rate.set_busy(busy, now_s)
