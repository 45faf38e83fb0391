"""Keeps endpoints in the state that the text wants."""

from __future__ import annotations

from collections import abc
import dataclasses
import enum
from typing import NamedTuple

from godwitvalve import clock as clocks
from godwitvalve.engine import port as engine_port
from godwitvalve.logs import setup as logs
from godwitvalve.orders import lease as leases
from godwitvalve.routing import endpoint as endpoint_model

# Loading weights takes longer than this; a repeated order for the same
# state is idempotent.
REPEAT_AFTER_S = 5.0
# The load report shows the version only. Adapter and role are declared
# again, in case an endpoint lost them. An endpoint that ignores fencing
# numbers may also have taken an older order, so it is told more often.
REDECLARE_CHECKED_AFTER_S = 30.0
REDECLARE_UNCHECKED_AFTER_S = 5.0

_LOG = logs.get('orders')


class WantedState(NamedTuple):
    """State that an endpoint should be in."""

    model: str
    version: str
    adapter: str
    role: str


class KeepResult(enum.Enum):
    """What one look at an endpoint led to."""

    AS_WANTED = 'as wanted'
    ORDERED = 'ordered'
    WAITING = 'waiting'
    UNREACHABLE = 'unreachable'
    NOT_HOLDER = 'not holder'


@dataclasses.dataclass
class _Kept:
    endpoint: endpoint_model.Endpoint
    wanted: WantedState
    declared_s: float | None = None
    term: int = 0


class OrderKeeper:
    """Declares the wanted state to endpoints and corrects what differs.

    Each look at an endpoint reads its load report first and sends an
    order only if the report differs, if the state was not yet declared
    under this lease, or if the declaration is old.
    """

    def __init__(
        self,
        engine: engine_port.Engine,
        lease: leases.FencingLease,
        clock: clocks.Clock,
    ) -> None:
        self._engine = engine
        self._lease = lease
        self._clock = clock
        self._kept: dict[str, _Kept] = {}

    def set_wanted(
        self,
        wanted: abc.Iterable[tuple[endpoint_model.Endpoint, WantedState]],
    ) -> None:
        """Replace the wanted states; changed ones are declared again."""
        kept = {}
        for endpoint, state in wanted:
            known = self._kept.get(endpoint.endpoint_id)
            same = known and (known.endpoint, known.wanted) == (
                endpoint,
                state,
            )
            fresh = _Kept(endpoint, state)
            kept[endpoint.endpoint_id] = known if known and same else fresh
        self._kept = kept

    def endpoint_ids(self) -> list[str]:
        """Return the endpoints to look at in turn."""
        return list(self._kept)

    async def keep(self, endpoint_id: str) -> KeepResult:
        """Look at one endpoint and order what is missing."""
        kept = self._kept.get(endpoint_id)
        if kept is None:
            return KeepResult.AS_WANTED
        if self._lease.fencing_number() is None:
            return KeepResult.NOT_HOLDER
        try:
            report = await self._engine.load(kept.endpoint)
        except engine_port.EngineLost:
            return KeepResult.UNREACHABLE
        if report.state == 'leaving':
            return KeepResult.AS_WANTED
        as_wanted = report.version == kept.wanted.version
        if not self._is_due(kept, as_wanted):
            return KeepResult.AS_WANTED if as_wanted else KeepResult.WAITING
        return await self._order(kept)

    def _is_due(self, kept: _Kept, as_wanted: bool) -> bool:
        if kept.declared_s is None or kept.term != self._lease.term:
            return True
        age_s = self._clock.monotonic_s() - kept.declared_s
        if not as_wanted:
            return age_s >= REPEAT_AFTER_S
        if kept.endpoint.checks_fencing:
            return age_s >= REDECLARE_CHECKED_AFTER_S
        return age_s >= REDECLARE_UNCHECKED_AFTER_S

    async def _order(self, kept: _Kept) -> KeepResult:
        # The load report may have taken long; the number is asked for
        # directly before the send.
        number = self._lease.fencing_number()
        if number is None:
            return KeepResult.NOT_HOLDER
        order = engine_port.EndpointOrder(*kept.wanted, number)
        outcome = await self._engine.order(kept.endpoint, order)
        match outcome:
            case engine_port.OrderAccepted():
                kept.declared_s = self._clock.monotonic_s()
                kept.term = self._lease.term
                return KeepResult.ORDERED
            case engine_port.OrderUnknown():
                return KeepResult.WAITING
            case engine_port.OrderRefused(newest_fencing_number=newest):
                return self._refused(kept, number, newest)

    def _refused(self, kept: _Kept, number: int, newest: int) -> KeepResult:
        if newest <= number:
            return KeepResult.WAITING
        _LOG.warning(
            'endpoint has seen a newer fencing number',
            extra={
                'endpoint_id': kept.endpoint.endpoint_id,
                'sent': number,
                'newest': newest,
            },
        )
        self._lease.lose()
        return KeepResult.NOT_HOLDER
