"""Issues permits to send requests to endpoints with a limit.

Performs no input or output.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from godwitvalve.limits import buckets
from godwitvalve.limits import demand

# An endpoint that got no request for this long gets one that confirms its
# limit, although others without a limit have slots to spare.
CONFIRMATION_PERIOD_S = 2.0
# Part of the permits that wait for entries denied within the last second. Some
# of these have no request left when they may ask again.
BACKLOG_SHARE = 0.5
# Permits that are kept for entries that ask again a little late.
MIN_BURST = 2.0
# Longest pause of an entry beyond the time to the next permit.
MAX_BACKLOG_S = 2.0
# Buckets that were not asked for longer are dropped. One that is used again
# starts empty, so this never adds a permit.
RETENTION_S = 60.0


@dataclasses.dataclass(frozen=True)
class Granted:
    """One request may be sent now."""


@dataclasses.dataclass(frozen=True)
class Denied:
    """No request may be sent.

    :param wait_s: seconds until a permit is likely to be available.
    """

    wait_s: float


Decision: TypeAlias = Granted | Denied


class _Bucket:
    """State of one incarnation of an endpoint."""

    def __init__(self, now_s: float) -> None:
        # Another entry may have issued permits until just now.
        self.tokens = buckets.TokenBucket(now_s, False, MIN_BURST)
        self.denials = demand.DemandMeter(now_s)
        self.granted_s = float('-inf')
        self.asked_s = now_s


class PermitIssuer:
    """Permits for the endpoints that this entry coordinates.

    Load pattern: hundreds of entries send to an endpoint that takes 4
    requests a second, or a single one of them has all the traffic. An equal
    share would be one request in two minutes; a burst of one request at
    each entry would exceed the limit many times. So one entry counts the
    requests of all of them.
    """

    def __init__(self) -> None:
        self._buckets: dict[tuple[str, int], _Bucket] = {}

    def request(
        self,
        incarnation: tuple[str, int],
        requests_per_s: float,
        is_confirmation: bool,
        now_s: float,
    ) -> Decision:
        """Decide on one request.

        :param incarnation: id and start of the endpoint.
        :param is_confirmation: whether the request is only to confirm the
            limit, so that it is needed if no other was sent recently.
        """
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = self._buckets[incarnation] = _Bucket(now_s)
        bucket.asked_s = now_s
        bucket.tokens.fill(requests_per_s, now_s)
        if is_confirmation:
            wait_s = bucket.granted_s + CONFIRMATION_PERIOD_S - now_s
            if wait_s > 0:
                return Denied(wait_s)
        if bucket.tokens.can_take(1.0):
            bucket.tokens.take(1.0)
            bucket.granted_s = now_s
            return Granted()
        # Entries come back one after the other, as permits become available.
        others = max(bucket.denials.rate_per_s(now_s) - 1.0, 0.0)
        backlog_s = BACKLOG_SHARE * others / requests_per_s
        bucket.denials.add(1.0, now_s)
        ready_s = bucket.tokens.ready_s(1.0, requests_per_s, now_s)
        return Denied(ready_s - now_s + min(backlog_s, MAX_BACKLOG_S))

    def expire(self, now_s: float) -> None:
        """Drop the buckets that are no longer used."""
        self._buckets = {
            incarnation: bucket
            for incarnation, bucket in self._buckets.items()
            if now_s - bucket.asked_s < RETENTION_S
        }
