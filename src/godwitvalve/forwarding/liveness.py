"""When endpoints lived for sure, and probes that find out."""

from __future__ import annotations

import asyncio
from collections import abc
from typing import NamedTuple

from godwitvalve import clock
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import probes
from godwitvalve.placement import tracker as trackers

# An address is reserved for 2 s after the end of its endpoint. An answer that
# is older than this period leaves too little of that time for a restart.
PROBE_PERIOD_S = 0.25
# Time after the beginning of an outage until probes are answered.
FIRST_PROBES_S = 2 * PROBE_PERIOD_S
# Answers that are older are of no use for any search.
RETENTION_S = 10.0


class _EndpointAddress(NamedTuple):
    """Endpoint at an address; the address may have another one later."""

    endpoint_id: str
    address: str


class LivenessRecord:
    """Latest time at which each endpoint lived for sure.

    An answer shows that its endpoint lived when the request was sent, and no
    later. The arrival of bytes does not show when they were sent: they may
    have waited in the network for as long as a partition lasts.

    All times are seconds since boot, which count suspensions.
    """

    def __init__(self) -> None:
        self._seen_s: dict[_EndpointAddress, float] = {}

    def record_answer(
        self, endpoint: endpoints.FleetEndpoint, sent_s: float
    ) -> None:
        """Record that an endpoint itself answered a request.

        :param sent_s: when the request was sent.
        """
        key = _EndpointAddress(endpoint.endpoint_id, endpoint.address)
        self._seen_s[key] = max(self._seen_s.get(key, sent_s), sent_s)

    def last_seen_s(self, endpoint: endpoints.FleetEndpoint) -> float:
        """Return when an endpoint lived for sure; 0 if that is not known."""
        key = _EndpointAddress(endpoint.endpoint_id, endpoint.address)
        return self._seen_s.get(key, 0.0)

    def expire(self, now_s: float) -> None:
        """Forget answers that are too old to be of use."""
        oldest_s = now_s - RETENTION_S
        self._seen_s = {
            key: seen_s
            for key, seen_s in self._seen_s.items()
            if seen_s >= oldest_s
        }


class LivenessProbes:
    """Asks endpoints that run streams whether they live, in an outage.

    Load pattern: the store is down while endpoints crash and restart. A
    stream lasts for seconds after its only request, so that its endpoint's
    last answer is too old to tell whether the address is still reserved. As
    long as the store answers, restarted endpoints are read there.

    Endpoints that crash as the store goes down have not been probed. Until
    probes are answered, the steady arrival of bytes counts as well.

    :param may_probe: returns whether an endpoint takes requests without a
        limit now; others asked for fewer, of any kind.
    :param clock_s: seconds since boot.
    """

    def __init__(
        self,
        state: states.FleetState,
        tracker: trackers.EndpointTracker,
        record: LivenessRecord,
        may_probe: abc.Callable[[endpoints.FleetEndpoint], bool],
        clock_s: abc.Callable[[], float] = clock.since_boot_s,
    ) -> None:
        self._state = state
        self._tracker = tracker
        self._record = record
        self._may_probe = may_probe
        self._clock_s = clock_s
        self._tasks: dict[str, asyncio.Task[None]] = {}
        # When the outage was noticed.
        self._began_s: float | None = None

    def last_seen_s(
        self, endpoint: endpoints.FleetEndpoint, steady_s: float
    ) -> float:
        """Return when an endpoint lived for sure; 0 if that is not known.

        :param steady_s: when its bytes arrived last without a pause.
        """
        answered_s = self._record.last_seen_s(endpoint)
        if self._began_s is None or steady_s <= self._began_s + FIRST_PROBES_S:
            return max(answered_s, steady_s)
        return answered_s

    async def run(self) -> None:
        """Probe until it is cancelled."""
        try:
            while True:
                self._begin_due()
                await asyncio.sleep(PROBE_PERIOD_S)
        finally:
            for task in list(self._tasks.values()):
                task.cancel()

    def _begin_due(self) -> None:
        now_s = self._clock_s()
        self._record.expire(now_s)
        registry = self._state.registry
        if not registry.is_store_unavailable:
            self._began_s = None
            return
        if self._began_s is None:
            self._began_s = now_s
        for endpoint in list(registry.all()):
            if (
                self._tracker.stats(endpoint.endpoint_id).streams
                and endpoint.endpoint_id not in self._tasks
                and self._record.last_seen_s(endpoint)
                <= now_s - PROBE_PERIOD_S
                and self._may_probe(endpoint)
            ):
                self._begin(endpoint)

    def _begin(self, endpoint: endpoints.FleetEndpoint) -> None:
        endpoint_id = endpoint.endpoint_id
        task = asyncio.create_task(self._probe(endpoint))
        self._tasks[endpoint_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(endpoint_id, None))

    async def _probe(self, endpoint: endpoints.FleetEndpoint) -> None:
        sent_s = self._clock_s()
        found = await probes.read_identity(
            endpoint.address, self._state.health_path(endpoint.service)
        )
        if found == endpoint.endpoint_id:
            self._record.record_answer(endpoint, sent_s)
