"""Builds the context of an entry instance from its settings."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import aiohttp

from godwitvalve import clock as clocks
from godwitvalve.configuration import in_force
from godwitvalve.configuration import refresher as refreshers
from godwitvalve.configuration import tracker as trackers
from godwitvalve.engine import http_adapter as engine_adapter
from godwitvalve.entry import context as contexts
from godwitvalve.entry import part_source
from godwitvalve.generations import limits as relay_limits
from godwitvalve.generations import relay as relays
from godwitvalve.idempotency import budget as claim_budget
from godwitvalve.idempotency import claims
from godwitvalve.idempotency import executor as executors
from godwitvalve.idempotency import forwarding
from godwitvalve.lifecycle import lifecycle as lifecycles
from godwitvalve.limits import admission as admissions
from godwitvalve.limits import model as limit_model
from godwitvalve.limits import shares as account_shares
from godwitvalve.metrics import counters as metric_counters
from godwitvalve.moves import evidence
from godwitvalve.moves import tracker as move_trackers
from godwitvalve.moves import verdicts
from godwitvalve.peers import membership
from godwitvalve.peers import node as peer_nodes
from godwitvalve.routing import retry_budget
from godwitvalve.routing import router as routers
from godwitvalve.services import http as service_adapter
from godwitvalve.settings import load as settings_load
from godwitvalve.store import http_adapter as platform_adapter

InstalledCallback: TypeAlias = Callable[[in_force.InForceConfiguration], None]

# Time until every other entry has received that this one is leaving, so
# that none of them returns its address any more.
LEAVING_PROPAGATION_S = 1.0


class ContextBuilder:
    """Builds the context of one process and owns its adapters.

    :param session: HTTP session for generations, probes and orders.
    :param report_session: HTTP session for load reports.
    """

    def __init__(
        self,
        loaded: settings_load.LoadedSettings,
        session: aiohttp.ClientSession,
        report_session: aiohttp.ClientSession,
    ) -> None:
        self._loaded = loaded
        self._clock = clocks.SystemClock()
        self._incarnation = membership.new_incarnation(self._clock.wall_s())
        self.engines = engine_adapter.HttpEngine(session)
        self.report_engines = engine_adapter.HttpEngine(report_session)
        self.plain_service = service_adapter.HttpPlainService(self._clock)
        self.platform = platform_adapter.HttpPlatform(
            loaded.settings.platform_url, loaded.settings.table_timeout_s
        )
        self.part_source = part_source.PeerPartSource()
        self._claim_budget = claim_budget.ClaimBudget()

    def build(self, on_installed: InstalledCallback) -> contexts.EntryContext:
        """Return the context.

        :param on_installed: called with each configuration that comes into
            force.
        """
        settings = self._loaded.settings
        clock = self._clock
        now_s = clock.monotonic_s()
        node = self._node()
        self.part_source.node = node
        shares = account_shares.AccountShares(
            settings.instance_id, self._incarnation, now_s
        )
        return contexts.EntryContext(
            loaded=self._loaded,
            incarnation=self._incarnation,
            clock=clock,
            counters=metric_counters.Counters(settings.instance_id),
            platform=self.platform,
            lifecycle=lifecycles.Lifecycle(
                settings.address_validity_s + LEAVING_PROPAGATION_S
            ),
            refresher=self._refresher(on_installed),
            node=node,
            router=routers.Router(
                settings.instance_id, settings.failure_domain
            ),
            retry_budget=retry_budget.RetryBudget(),
            move_tracker=self._move_tracker(),
            shares=shares,
            admission=admissions.Admission(
                clock, shares, settings.max_in_flight
            ),
            relay=relays.Relay(
                self.engines,
                self._loaded.resume_key,
                clock,
                relay_limits.RelayLimits(
                    resume_validity_s=settings.resume_validity_s
                ),
            ),
            executor=self._executor(node),
            claim_budget=self._claim_budget,
            plain_service=self.plain_service,
        )

    def _node(self) -> peer_nodes.PeerNode:
        settings = self._loaded.settings
        return peer_nodes.PeerNode(
            settings.instance_id,
            self._incarnation,
            settings.failure_domain,
            settings.peer_address,
            self._loaded.peer_key,
            self._clock,
            settings.listen_address,
        )

    def _refresher(
        self, on_installed: InstalledCallback
    ) -> refreshers.Refresher:
        return refreshers.Refresher(
            trackers.ConfigurationTracker(self._loaded.settings.instance_id),
            self.platform,
            self.platform,
            self.part_source,
            self._clock,
            on_installed,
        )

    def _move_tracker(self) -> move_trackers.MoveTracker:
        instance_id = self._loaded.settings.instance_id
        return move_trackers.MoveTracker(
            evidence.EvidenceWindow(instance_id, self._incarnation),
            verdicts.VerdictManager(self.platform, instance_id),
        )

    def _executor(
        self, node: peer_nodes.PeerNode
    ) -> executors.AtMostOnceExecutor:
        clock = self._clock
        return executors.AtMostOnceExecutor(
            self._loaded.settings.instance_id,
            self._incarnation,
            (self._loaded.resume_key,),
            claims.ClaimStore(self.platform, self._claim_budget, clock),
            forwarding.PeerForwarder(node, clock),
            clock,
        )

    async def close(self) -> None:
        """Close the connections of all adapters."""
        await self.plain_service.close()
        await self.platform.close()


def account_limits(
    configuration: in_force.InForceConfiguration,
) -> dict[str, limit_model.AccountLimit]:
    """Return the limits of all client accounts, by account name."""
    return {
        name: limit_model.AccountLimit(
            account.text.requests_per_s,
            account.text.tokens_per_s,
            account.text.concurrent,
            account.text.priority + 1,
        )
        for name, account in configuration.client_accounts.items()
    }
