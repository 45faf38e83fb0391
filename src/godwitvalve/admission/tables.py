"""State of the admission of streams at one entry, by service."""

from __future__ import annotations

from collections import abc
import copy
from typing import NamedTuple, TypeAlias

from godwitvalve.admission import lengths
from godwitvalve.admission import returns as return_model
from godwitvalve.admission import stream_queue
from godwitvalve.fleet import endpoints
from godwitvalve.placement import choose
from godwitvalve.queueing import shares

# The reports of 60 entries are added up once for the streams that look for
# room within this time.
SUM_VALID_S = 0.01
# Callers of refused requests that are known when they come back.
MAX_REFUSED = 4096
# Client account and session, as each attempt has a request id of its own.
CallerKey: TypeAlias = tuple[str, str]

WorkFactor: TypeAlias = abc.Callable[[endpoints.FleetEndpoint, float], float]


class Others(NamedTuple):
    """What the live entries report.

    :param entries: their number, including this one.
    :param waiting: streams that wait at the other ones, by service.
    """

    entries: int
    waiting: abc.Mapping[str, int]


def _alone() -> Others:
    return Others(1, {})


def _usual(endpoint: endpoints.FleetEndpoint, now_s: float) -> float:
    return 1.0


class AdmissionTables:
    """Queues, expected lengths and times of return.

    :param others: returns the reports of the live entries.
    :param work_factor: returns how long work takes at an endpoint at a
        monotonic time, 1.0 as usual.
    :param use: use by client accounts over all entries.
    """

    def __init__(
        self,
        others: abc.Callable[[], Others] = _alone,
        work_factor: WorkFactor = _usual,
        use: shares.AccountUse | None = None,
    ) -> None:
        self._use = use or shares.AccountUse()
        self.others = others
        self.work_factor = work_factor
        self.lengths = lengths.OutputLengths()
        self._queues: dict[str, stream_queue.StreamQueue[object]] = {}
        self._returns: dict[str, return_model.ReturnSchedule] = {}
        self._refused: dict[CallerKey, None] = {}
        self._placements: choose.RemotePlacements = {}
        self._placements_until_s = float('-inf')

    def queue(self, service: str) -> stream_queue.StreamQueue[object]:
        """Return the queue of a service."""
        if service not in self._queues:
            self._queues[service] = stream_queue.StreamQueue(
                service, self._use
            )
        return self._queues[service]

    def returns(self, service: str) -> return_model.ReturnSchedule:
        """Return the times at which refused callers come back."""
        return self._returns.setdefault(service, return_model.ReturnSchedule())

    def copy(self, service: str) -> AdmissionTables:
        """Return tables with copies of what decisions on a service change.

        Expected lengths are shared; only streams that end change them.
        """
        copied = AdmissionTables(self.others, self.work_factor, self._use)
        copied.lengths = self.lengths
        if service in self._queues:
            copied._queues[service] = self._queues[service].copy()
        if service in self._returns:
            copied._returns[service] = copy.copy(self._returns[service])
        return copied

    def placements(
        self,
        now_s: float,
        read: abc.Callable[[], choose.RemotePlacements],
    ) -> choose.RemotePlacements:
        """Return the placements of other entries, read a moment ago."""
        if now_s >= self._placements_until_s:
            self._placements = read()
            self._placements_until_s = now_s + SUM_VALID_S
        return self._placements

    def waiting(self) -> dict[str, int]:
        """Return the streams that wait, by service, as others are told."""
        return {
            service: len(queue)
            for service, queue in self._queues.items()
            if len(queue)
        }

    def record_refused(self, caller: CallerKey) -> None:
        """Remember the caller of a refused request."""
        self._refused[caller] = None
        while len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]

    def take_returned(self, caller: CallerKey) -> bool:
        """Tell whether a caller was refused before, and forget it."""
        if caller not in self._refused:
            return False
        del self._refused[caller]
        return True
