"""Reconciles endpoints with the state that the configuration requires."""

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

# Shorter than the time to load weights; that is harmless because a repeated
# order for the same state is idempotent.
REPEAT_AFTER_S = 5.0
# The load report shows the version only. Adapter and role are declared
# again in case an endpoint lost them. An endpoint that ignores fencing
# numbers may also have accepted an outdated order, so its state is declared
# more often.
REDECLARE_CHECKED_AFTER_S = 30.0
REDECLARE_UNCHECKED_AFTER_S = 5.0

_LOG = logs.get('orders')


class WantedState(NamedTuple):
    """State that an endpoint should be in."""

    model: str
    version: str
    adapter: str
    role: str


class ReconcileResult(enum.Enum):
    """Result of one pass over an endpoint."""

    AS_WANTED = 'as wanted'
    ORDERED = 'ordered'
    WAITING = 'waiting'
    UNREACHABLE = 'unreachable'
    NOT_HOLDER = 'not holder'


@dataclasses.dataclass
class _Target:
    endpoint: endpoint_model.Endpoint
    wanted: WantedState
    declared_s: float | None = None
    declared_term: int = 0


class OrderReconciler:
    """Declares the wanted state to endpoints and corrects what differs.

    Each pass over an endpoint reads its load report first and sends an
    order only if the report differs, if the state was not yet declared in
    this term of the lease, or if the last declaration is too old.
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
        self._targets: dict[str, _Target] = {}

    def set_wanted(
        self,
        wanted: abc.Iterable[tuple[endpoint_model.Endpoint, WantedState]],
    ) -> None:
        """Replace the wanted states; changed ones are declared again."""
        targets = {}
        for endpoint, state in wanted:
            known = self._targets.get(endpoint.endpoint_id)
            same = known and (known.endpoint, known.wanted) == (
                endpoint,
                state,
            )
            fresh = _Target(endpoint, state)
            targets[endpoint.endpoint_id] = known if known and same else fresh
        self._targets = targets

    def endpoint_ids(self) -> list[str]:
        """Return the ids of the endpoints to reconcile."""
        return list(self._targets)

    async def reconcile(self, endpoint_id: str) -> ReconcileResult:
        """Compare an endpoint with its wanted state; send an order if due."""
        target = self._targets.get(endpoint_id)
        if target is None:
            return ReconcileResult.AS_WANTED
        if self._lease.fencing_number() is None:
            return ReconcileResult.NOT_HOLDER
        try:
            report = await self._engine.load(target.endpoint)
        except engine_port.EngineError:
            return ReconcileResult.UNREACHABLE
        if report.state == 'leaving':
            return ReconcileResult.AS_WANTED
        as_wanted = report.version == target.wanted.version
        if not self._is_due(target, as_wanted):
            return (
                ReconcileResult.AS_WANTED
                if as_wanted
                else ReconcileResult.WAITING
            )
        return await self._send_order(target)

    def _is_due(self, target: _Target, as_wanted: bool) -> bool:
        if (
            target.declared_s is None
            or target.declared_term != self._lease.term
        ):
            return True
        age_s = self._clock.monotonic_s() - target.declared_s
        if not as_wanted:
            return age_s >= REPEAT_AFTER_S
        if target.endpoint.checks_fencing:
            return age_s >= REDECLARE_CHECKED_AFTER_S
        return age_s >= REDECLARE_UNCHECKED_AFTER_S

    async def _send_order(self, target: _Target) -> ReconcileResult:
        # Reading the load report may have taken long, so the lease is
        # checked again directly before the send.
        number = self._lease.fencing_number()
        if number is None:
            return ReconcileResult.NOT_HOLDER
        order = engine_port.EndpointOrder(*target.wanted, number)
        outcome = await self._engine.order(target.endpoint, order)
        match outcome:
            case engine_port.OrderAccepted():
                target.declared_s = self._clock.monotonic_s()
                target.declared_term = self._lease.term
                return ReconcileResult.ORDERED
            case engine_port.OrderUnknown():
                return ReconcileResult.WAITING
            case engine_port.OrderRefused(newest_fencing_number=newest):
                return self._handle_refusal(target, number, newest)

    def _handle_refusal(
        self, target: _Target, number: int, newest: int
    ) -> ReconcileResult:
        if newest <= number:
            return ReconcileResult.WAITING
        _LOG.warning(
            'endpoint has seen a newer fencing number',
            extra={
                'endpoint_id': target.endpoint.endpoint_id,
                'sent': number,
                'newest': newest,
            },
        )
        self._lease.invalidate()
        return ReconcileResult.NOT_HOLDER
