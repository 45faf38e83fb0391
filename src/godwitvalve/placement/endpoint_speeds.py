"""Long-term speed of endpoints, and how long work takes there."""

from __future__ import annotations

import collections
from collections import abc
import dataclasses
import statistics
from typing import NamedTuple, TypeAlias

from godwitvalve.fleet import endpoints
from godwitvalve.placement import pace as paces

# Observations of one address that are kept, by origin. One in three is made
# while another prompt is processed or in a slow span that no answer stated,
# so the lower quartile of a few is that of a lightly loaded endpoint.
KEPT_OBSERVATIONS = 12
USUAL_SPEED = 1.0
# Bounds of the relative speed: a false figure costs no endpoint all its
# requests, nor does it attract those of all others.
SLOWEST = 0.25
FASTEST = 4.0
# Addresses in one record, about 20 bytes each. With four, a datagram carries
# as many relayed records as without; with eight, half as many.
MAX_REPORTS = 4
# An observation is reported for twice the time in which 99 % of the records
# arrive.
REPORT_S = 5.0
# Addresses are reused by endpoints that restart. After this time without a
# stream or a report the machine may have another tenant.
RETENTION_S = 600.0
# Bounds the memory: three times the endpoints of the largest fleet.
MAX_ADDRESSES = 2048

# Microseconds between events at the usual pace, by service and address.
SpeedReports: TypeAlias = dict[str, list[tuple[str, int]]]


class _Machine(NamedTuple):
    service: str
    address: str


@dataclasses.dataclass
class _Observations:
    """Microseconds between events at the usual pace, at one address.

    :param own: those of streams of this entry.
    :param received: last estimate of each other entry, the newest last.
    :param observed_s: monotonic seconds of the last own one.
    :param known_s: monotonic seconds of the last one.
    :param event_us: the estimate from all of them.
    """

    own: collections.deque[float]
    received: dict[str, float]
    observed_s: float = float('-inf')
    known_s: float = float('-inf')
    event_us: float = 0.0

    def own_us(self) -> float:
        """Return the estimate for other entries."""
        return _lower_quartile(self.own)

    def update(self) -> None:
        """Compute the estimate anew from all observations."""
        self.event_us = _lower_quartile([*self.own, *self.received.values()])


def _lower_quartile(observed: abc.Sequence[float]) -> float:
    return sorted(observed)[len(observed) // 4]


class EndpointSpeeds:
    """Speed of each endpoint relative to the median of its service.

    Load pattern: a quarter of the engines has half the speed of the others.
    Endpoints that crash every few seconds complete few streams, and restart
    under a new id at the same address. So speeds are learned by address from
    the time between the first events of streams, by all entries together.
    """

    def __init__(self) -> None:
        # The machines of which something was learned last come last.
        self._machines: dict[_Machine, _Observations] = {}
        self._medians_us: dict[str, float] = {}

    def observe(
        self,
        endpoint: endpoints.FleetEndpoint,
        event_ms: float,
        pace: float,
        now_s: float,
    ) -> None:
        """Record the time between events of a stream at an endpoint.

        :param event_ms: median of some intervals in milliseconds.
        :param pace: pace of the endpoint meanwhile.
        :param now_s: monotonic seconds.
        """
        event_us = event_ms * 1000 / pace
        if event_us < 1.0:
            return
        known = self._known(endpoint.service, endpoint.address, now_s)
        known.own.append(event_us)
        known.observed_s = now_s
        known.update()

    def merge(self, origin: str, reports: SpeedReports, now_s: float) -> None:
        """Use what another entry reported in place of its last report.

        :param origin: the entry.
        """
        for service, event_us_by_address in reports.items():
            for address, event_us in event_us_by_address:
                if event_us < 1:
                    continue
                known = self._known(service, address, now_s)
                known.received.pop(origin, None)
                known.received[origin] = event_us
                if len(known.received) > KEPT_OBSERVATIONS:
                    del known.received[next(iter(known.received))]
                known.update()

    def _known(
        self, service: str, address: str, now_s: float
    ) -> _Observations:
        machine = _Machine(service, address)
        known = self._machines.pop(machine, None) or _Observations(
            collections.deque(maxlen=KEPT_OBSERVATIONS), {}
        )
        known.known_s = now_s
        self._machines[machine] = known
        if len(self._machines) > MAX_ADDRESSES:
            del self._machines[next(iter(self._machines))]
        self._medians_us.pop(service, None)
        return known

    def _median_us(self, service: str) -> float:
        median_us = self._medians_us.get(service)
        if median_us is None:
            median_us = self._medians_us[service] = statistics.median(
                known.event_us
                for machine, known in self._machines.items()
                if machine.service == service
            )
        return median_us

    def relative_speed(self, endpoint: endpoints.FleetEndpoint) -> float:
        """Return the speed of an endpoint; 1.0 is the median of its service.

        An endpoint of which nothing is known counts as usual.
        """
        return self._relative(_Machine(endpoint.service, endpoint.address))

    def _relative(self, machine: _Machine) -> float:
        known = self._machines.get(machine)
        if known is None:
            return USUAL_SPEED
        speed = self._median_us(machine.service) / known.event_us
        return min(max(speed, SLOWEST), FASTEST)

    def reports(self, now_s: float) -> SpeedReports:
        """Return own estimates for other entries, the newest observed ones.

        Estimates of other entries are not passed on, as they would come
        back.
        """
        newest = sorted(
            (
                (known.observed_s, machine, known.own_us())
                for machine, known in self._machines.items()
                if now_s - known.observed_s < REPORT_S
            ),
            reverse=True,
        )[:MAX_REPORTS]
        reports: SpeedReports = {}
        for _, machine, event_us in newest:
            reports.setdefault(machine.service, []).append(
                (machine.address, round(event_us))
            )
        return reports

    def expire(self, now_s: float) -> None:
        """Drop addresses of which nothing was learned lately."""
        for machine, known in list(self._machines.items()):
            if now_s - known.known_s < RETENTION_S:
                return
            del self._machines[machine]
            self._medians_us.pop(machine.service, None)

    def relative_speeds(self) -> dict[tuple[str, str], float]:
        """Return the relative speeds by service and address."""
        return {
            (machine.service, machine.address): self._relative(machine)
            for machine in self._machines
        }


class WorkFactors:
    """How long work takes at endpoints, compared with usual ones.

    :param table: momentary paces.
    :param speeds: long-term speeds.
    """

    def __init__(self, table: paces.PaceTable, speeds: EndpointSpeeds) -> None:
        self._paces = table
        self._speeds = speeds

    def work_factor(
        self, endpoint: endpoints.FleetEndpoint, now_s: float
    ) -> float:
        """Return the factor; 1.0 where the service states no pace.

        :param now_s: monotonic seconds.
        """
        if not self._paces.is_stated(endpoint.service):
            return 1.0
        pace = self._paces.pace(endpoint.endpoint_id, now_s)
        bounded = min(max(pace, SLOWEST), FASTEST)
        return bounded / self._speeds.relative_speed(endpoint)

    def least(
        self,
        candidates: abc.Iterable[endpoints.FleetEndpoint],
    ) -> float:
        """Return the least long-term factor of endpoints; 1.0 if none.

        A stream lasts for many spans, so the paces of the moment don't count.
        """
        return min(
            (
                1.0 / self._speeds.relative_speed(each)
                for each in candidates
                if self._paces.is_stated(each.service)
            ),
            default=1.0,
        )

    def long_term_speed(self, endpoint: endpoints.FleetEndpoint) -> float:
        """Return the relative speed; 1.0 where no pace is stated."""
        if not self._paces.is_stated(endpoint.service):
            return USUAL_SPEED
        return self._speeds.relative_speed(endpoint)

    def at(
        self, service: str, now_s: float
    ) -> abc.Callable[[endpoints.FleetEndpoint], float] | None:
        """Return the factors of a service now; None if it states no pace."""
        if not self._paces.is_stated(service):
            return None
        return lambda endpoint: self.work_factor(endpoint, now_s)
