"""Components of one entry instance, created once at start."""

from __future__ import annotations

import dataclasses

from godwitvalve import clock as clocks
from godwitvalve.configuration import in_force
from godwitvalve.configuration import refresher as refreshers
from godwitvalve.generations import relay as relays
from godwitvalve.idempotency import budget as claim_budgets
from godwitvalve.idempotency import executor as executors
from godwitvalve.lifecycle import lifecycle as lifecycles
from godwitvalve.limits import admission as admissions
from godwitvalve.limits import shares as account_shares
from godwitvalve.metrics import counters as metric_counters
from godwitvalve.moves import tracker as move_trackers
from godwitvalve.peers import node as peer_nodes
from godwitvalve.routing import retry_budget as retry_budgets
from godwitvalve.routing import router as routers
from godwitvalve.services import port as service_port
from godwitvalve.settings import load as settings_load
from godwitvalve.store import http_adapter as platform_adapter


@dataclasses.dataclass
class EntryContext:
    """Components shared by the request handlers and tasks of an entry.

    :param incarnation: number of this start of the instance.
    """

    loaded: settings_load.LoadedSettings
    incarnation: int
    clock: clocks.Clock
    counters: metric_counters.Counters
    platform: platform_adapter.HttpPlatform
    lifecycle: lifecycles.Lifecycle
    refresher: refreshers.Refresher
    node: peer_nodes.PeerNode
    router: routers.Router
    retry_budget: retry_budgets.RetryBudget
    move_tracker: move_trackers.MoveTracker
    shares: account_shares.AccountShares
    admission: admissions.Admission
    relay: relays.Relay
    executor: executors.AtMostOnceExecutor
    claim_budget: claim_budgets.ClaimBudget
    plain_service: service_port.PlainService

    @property
    def instance_id(self) -> str:
        """Name of this instance."""
        return self.loaded.settings.instance_id

    @property
    def configuration(self) -> in_force.InForceConfiguration | None:
        """Configuration in force at this instance, if any."""
        return self.refresher.current

    @property
    def is_ready(self) -> bool:
        """Whether new requests are served."""
        return (
            self.lifecycle.is_advertised()
            and self.configuration is not None
            and self.refresher.tracker.may_admit(self.clock.monotonic_s())
        )
