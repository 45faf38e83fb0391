"""Task that orders model engines into the state given by the text."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from godwitvalve.configuration import in_force
from godwitvalve.engine import port as engine_port
from godwitvalve.entry import context as contexts
from godwitvalve.orders import lease as leases
from godwitvalve.orders import reconciler as reconcilers
from godwitvalve.peers import overlay
from godwitvalve.routing import endpoint as endpoint_model

STEP_INTERVAL_S = 2.0
# Entries that contend for the lease of one service. If all entries did, each
# would read the row of every service at every step.
LEASE_CONTENDERS = 3
ROLE_SERVE = 'serve'

_WantedEngine = tuple[endpoint_model.Endpoint, reconcilers.WantedState]


class OrderWatch:
    """Holds fencing leases and sends the wanted state to engines.

    Only engines that the text names get orders. Discovered engines already
    run the version under which the platform lists them.
    """

    def __init__(
        self, context: contexts.EntryContext, engine: engine_port.Engine
    ) -> None:
        self._context = context
        self._engine = engine
        self._leased: dict[
            str, tuple[leases.FencingLease, reconcilers.OrderReconciler]
        ] = {}

    async def run(self) -> None:
        """Reconcile periodically until cancelled, then release the leases."""
        try:
            while True:
                await self._step()
                await asyncio.sleep(STEP_INTERVAL_S)
        finally:
            while self._leased:
                _, (lease, _) = self._leased.popitem()
                await lease.release()

    async def _step(self) -> None:
        wanted = self._wanted_by_service()
        for service in self._leased.keys() - wanted.keys():
            lease, _ = self._leased.pop(service)
            await lease.release()
        await asyncio.gather(
            *(
                self._maintain(service, items)
                for service, items in wanted.items()
            )
        )

    def _wanted_by_service(self) -> dict[str, list[_WantedEngine]]:
        configuration = self._context.configuration
        if (
            configuration is None
            or not self._context.lifecycle.is_advertised()
        ):
            return {}
        found = {
            service.name: list(_wanted_engines(service))
            for service in configuration.services.values()
            if service.kind == 'model' and self._is_contender(service.name)
        }
        return {service: items for service, items in found.items() if items}

    def _is_contender(self, service: str) -> bool:
        live = (
            member.instance_id
            for member in self._context.node.members()
            if member.state == 'live'
        )
        chosen = overlay.rendezvous(
            f'orders/{service}', live, LEASE_CONTENDERS
        )
        return self._context.instance_id in chosen

    async def _maintain(
        self, service: str, wanted: list[_WantedEngine]
    ) -> None:
        lease, reconciler = self._leased.setdefault(
            service, self._new_lease(service)
        )
        reconciler.set_wanted(wanted)
        if await lease.acquire_or_renew() is not leases.LeaseState.HELD:
            return
        await asyncio.gather(
            *map(reconciler.reconcile, reconciler.endpoint_ids())
        )

    def _new_lease(
        self, service: str
    ) -> tuple[leases.FencingLease, reconcilers.OrderReconciler]:
        context = self._context
        lease = leases.FencingLease(
            context.platform, service, context.instance_id, context.clock
        )
        reconciler = reconcilers.OrderReconciler(
            self._engine, lease, context.clock
        )
        return lease, reconciler


def _wanted_engines(
    service: in_force.ServiceInForce,
) -> Iterator[_WantedEngine]:
    """Yield the engines named by the text with their wanted state."""
    for version in service.versions:
        if version.text.retire:
            continue
        state = reconcilers.WantedState(
            service.name, version.name, version.text.adapter, ROLE_SERVE
        )
        for endpoint in version.endpoints:
            yield endpoint, state
