"""Components shared by all forwarded requests."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import random
from typing import TypeAlias

from godwitvalve.admission import tables as admission_tables
from godwitvalve.diagnostics import history as histories
from godwitvalve.endpoint_limits import limiter as limiters
from godwitvalve.endpoint_limits import view as views
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import registry as registries
from godwitvalve.fleet import routes
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import counters as counter_model
from godwitvalve.forwarding import crash_checks as crash_check_model
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import liveness as liveness_model
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import pool as pools
from godwitvalve.forwarding import replies
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes
from godwitvalve.placement import choose
from godwitvalve.placement import endpoint_speeds as endpoint_speed_model
from godwitvalve.placement import pace as pace_model
from godwitvalve.placement import prefixes as prefix_model
from godwitvalve.placement import sessions as session_model
from godwitvalve.placement import speed as speed_model
from godwitvalve.placement import tracker as trackers
from godwitvalve.platform import headers as wire
from godwitvalve.quarantine import crashes as crash_model
from godwitvalve.quarantine import segments as segment_model
from godwitvalve.queueing import shares as share_model
from godwitvalve.queueing import turns as turn_model
from godwitvalve.rollouts import registry as rollout_registries
from godwitvalve.routing import retry_budget

# Endpoints with a limit that are asked about for one attempt. Each question
# takes a few milliseconds, or 100 if it is not answered.
MAX_PERMIT_QUESTIONS = 3

ChooseEndpoint: TypeAlias = abc.Callable[
    [list[endpoints.FleetEndpoint], views.LimitView],
    endpoints.FleetEndpoint | None,
]

_LOG = logs.get('forwarding')


@dataclasses.dataclass(frozen=True)
class ForwardingContext:
    """Shared components of one entry instance.

    :param on_endpoint_lost: called with an endpoint whose connection was
        lost, and when bytes arrived on it last that the network did not hold
        up, in seconds since boot.
    :param remote_placements: returns the placements of other entries.
    :param on_placement_changed: called when a stream of this entry begins
        or ends, or an endpoint is found to be lost or leaving.
    """

    failure_domain: str
    state: states.FleetState
    pool: pools.ChannelPool
    endpoint_tracker: trackers.EndpointTracker
    budget: retry_budget.RetryBudget
    counters: counter_model.ForwardingCounters
    sessions: session_model.SessionTable
    speeds: speed_model.SpeedEstimates
    on_endpoint_lost: abc.Callable[[endpoints.FleetEndpoint, float], None]
    remote_placements: abc.Callable[[], choose.RemotePlacements]
    on_placement_changed: abc.Callable[[], None]
    rollouts: rollout_registries.RolloutRegistry
    turns: turn_model.Turns = dataclasses.field(
        default_factory=turn_model.Turns
    )
    quarantine: segment_model.SegmentQuarantine = dataclasses.field(
        default_factory=segment_model.SegmentQuarantine
    )
    limiter: limiters.EndpointLimiter = dataclasses.field(
        default_factory=limiters.EndpointLimiter
    )
    paces: pace_model.PaceTable = dataclasses.field(
        default_factory=pace_model.PaceTable
    )
    prefixes: prefix_model.PrefixTable = dataclasses.field(
        default_factory=prefix_model.PrefixTable
    )
    account_use: share_model.AccountUse = dataclasses.field(
        default_factory=share_model.AccountUse
    )
    endpoint_speeds: endpoint_speed_model.EndpointSpeeds = dataclasses.field(
        default_factory=endpoint_speed_model.EndpointSpeeds
    )
    admission: admission_tables.AdmissionTables = dataclasses.field(
        default_factory=admission_tables.AdmissionTables
    )
    history: histories.ProcessHistory = dataclasses.field(
        default_factory=histories.ProcessHistory
    )
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    crash_checks: crash_check_model.CrashChecks = dataclasses.field(
        default_factory=crash_check_model.CrashChecks
    )
    liveness: liveness_model.LivenessRecord = dataclasses.field(
        default_factory=liveness_model.LivenessRecord
    )

    @property
    def work_factors(self) -> endpoint_speed_model.WorkFactors:
        """Return how long work takes at endpoints."""
        return endpoint_speed_model.WorkFactors(
            self.paces, self.endpoint_speeds
        )

    def placements_for(
        self, service: str, now_s: float
    ) -> choose.RemotePlacements:
        """Return the placements of other entries, for streams of a service.

        Where pace is stated, a placement needs them several times, and the
        sum of the reports of 60 entries serves for some milliseconds.
        """
        if not self.paces.is_stated(service):
            return self.remote_placements()
        return self.admission.placements(now_s, self.remote_placements)

    def engine(self, service: str) -> routes.EngineConfig | None:
        """Return what the configuration states of a service's engines."""
        configuration = self.state.configuration
        config = configuration.services.get(service) if configuration else None
        return config.engine if config else None

    def pick_service(self, route: routes.Route) -> str | None:
        """Draw a service by the weights of a route."""
        if not route.services:
            return None
        return self.rng.choices(
            [each.service for each in route.services],
            [each.weight for each in route.services],
        )[0]

    def mark_replaced(self, endpoint: endpoints.FleetEndpoint) -> None:
        """Exclude an endpoint whose address now belongs to another one."""
        if self.state.registry.mark_replaced(
            endpoint.endpoint_id, endpoint.started_wall_ms
        ):
            self.pool.drop(endpoint.endpoint_id)
            self.prefixes.forget(endpoint.endpoint_id)
            self.on_placement_changed()

    def record_send(
        self, endpoint: endpoints.FleetEndpoint, request_id: str
    ) -> None:
        """Count an attempt; log one at an endpoint that is not listed."""
        state = self.state.registry.state_of(endpoint.endpoint_id)
        self.counters.count_send(state)
        if self.limiter.table.requests_per_s(endpoint) is not None:
            self.counters.count_limited_send(endpoint.service)
        if state is not registries.EndpointState.LISTED:
            _LOG.warning(
                'Sending a request to an endpoint that is not listed.',
                extra={
                    'request_id': request_id,
                    'endpoint_id': endpoint.endpoint_id,
                    'state': state.value,
                },
            )

    async def select(
        self,
        candidates: abc.Callable[[], list[endpoints.FleetEndpoint]],
        choose_endpoint: ChooseEndpoint,
        may_confirm: bool = False,
    ) -> endpoints.FleetEndpoint | None:
        """Choose an endpoint that may take a request now.

        The request must be sent at once, as a permit is used up for it.

        :param choose_endpoint: chooses among candidates with their limits.
        :param may_confirm: whether the request may confirm a limit.
        """
        loop = asyncio.get_running_loop()
        for _ in range(MAX_PERMIT_QUESTIONS):
            usable = candidates()
            limits = self.limiter.view(usable, may_confirm, loop.time())
            endpoint = choose_endpoint(usable, limits)
            if endpoint is None or endpoint.endpoint_id not in limits.limited:
                return endpoint
            if await self.may_take(
                endpoint, endpoint.endpoint_id in limits.unconfirmed
            ):
                return endpoint
        usable = candidates()
        limits = self.limiter.view(usable, False, loop.time())
        return choose_endpoint(
            usable, limits._replace(exhausted=limits.limited)
        )

    async def may_take(
        self, endpoint: endpoints.FleetEndpoint, is_confirmation: bool = False
    ) -> bool:
        """Tell if a request may be sent; obtain a permit if it needs one."""
        now_s = asyncio.get_running_loop().time()
        if self.limiter.pauses.is_paused(endpoint, now_s):
            return False
        if self.limiter.table.requests_per_s(endpoint) is None:
            return True
        is_granted = await self.limiter.acquire(endpoint, is_confirmation)
        self.counters.count_permit(is_granted)
        return is_granted and self.may_receive(endpoint)

    def has_exhausted(
        self, candidates: abc.Iterable[endpoints.FleetEndpoint]
    ) -> bool:
        """Tell whether a candidate has no permit left or pauses."""
        now_s = asyncio.get_running_loop().time()
        return bool(self.limiter.view(candidates, False, now_s).exhausted)

    def without_exhausted(
        self, candidates: abc.Collection[endpoints.FleetEndpoint]
    ) -> list[endpoints.FleetEndpoint]:
        """Return the candidates that may have a permit to give."""
        now_s = asyncio.get_running_loop().time()
        limits = self.limiter.view(candidates, False, now_s)
        return [
            each
            for each in candidates
            if each.endpoint_id not in limits.exhausted
        ]

    def refusal(
        self,
        service: str,
        candidates: abc.Collection[endpoints.FleetEndpoint],
    ) -> replies.Refusal:
        """Return the refusal of a request that no candidate may take."""
        now_s = asyncio.get_running_loop().time()
        wait_s = self.limiter.retry_after_s(service, candidates, now_s)
        if wait_s is None:
            return replies.Refusal(
                codes.ResultCode.NO_ENDPOINT, policy.NO_ENDPOINT_RETRY_AFTER_S
            )
        return replies.Refusal(codes.ResultCode.ENDPOINT_LIMITS, wait_s)

    def record_head(
        self, endpoint: endpoints.FleetEndpoint, head: exchanges.AnswerHead
    ) -> None:
        """Record what the head of an answer states about its endpoint."""
        # Another endpoint answered at the address.
        if head.status == wire.MISDIRECTED:
            return
        self.liveness.record_answer(endpoint, head.sent_s)
        now_s = asyncio.get_running_loop().time()
        self.limiter.observe(endpoint, head.facts.limit, now_s)
        if head.facts.pause_s is not None:
            self._record_pause(endpoint, head.facts.pause_s, now_s)
        if head.facts.is_leaving:
            self._record_leaving(endpoint, now_s)
        load = head.facts.load
        if load is not None and load.pace is not None:
            self.paces.record(
                endpoint.service, endpoint.endpoint_id, load.pace, now_s
            )

    def _record_pause(
        self, endpoint: endpoints.FleetEndpoint, pause_s: float, now_s: float
    ) -> None:
        """Send nothing for a time to an endpoint that asked for it."""
        if not self.limiter.pauses.record(endpoint, pause_s, now_s):
            return
        self.counters.count_pause(endpoint.service)
        _LOG.info(
            'Endpoint wants no requests for a time.',
            extra={'endpoint_id': endpoint.endpoint_id, 'pause_s': pause_s},
        )

    def _record_leaving(
        self, endpoint: endpoints.FleetEndpoint, now_s: float
    ) -> None:
        """Use an endpoint no more that states that it leaves."""
        if not self.state.registry.record_stated_leaving(endpoint, now_s):
            return
        self.counters.count_leaving(endpoint.service)
        _LOG.info(
            'Endpoint states in an answer that it leaves.',
            extra={'endpoint_id': endpoint.endpoint_id},
        )
        self.on_placement_changed()

    def check_crash(
        self, endpoint: endpoints.FleetEndpoint, suspect: crash_model.Suspect
    ) -> asyncio.Future[None]:
        """Check an endpoint that broke off the answer to a suspect.

        :returns: done once a crash is recorded, if there was one.
        """
        return self.crash_checks.begin(endpoint, suspect, self._record_crash)

    def _record_crash(
        self,
        endpoint: endpoints.FleetEndpoint,
        suspects: list[crash_model.Suspect],
        at_s: float,
    ) -> None:
        """Record that an endpoint crashed before answers went on."""
        if not self.quarantine.record_crash(
            endpoint.service, endpoint.endpoint_id, suspects, at_s
        ):
            return
        self.counters.count_crash(endpoint.service)
        _LOG.warning(
            'Endpoint crashed as it began an answer.',
            extra={
                'endpoint_id': endpoint.endpoint_id,
                'begun': _prompts(suspects, True),
                'waiting': _prompts(suspects, False),
                'blocked': [
                    sorted(each.segments)
                    for each in self.quarantine.blocks().get(
                        endpoint.service, ()
                    )
                ],
            },
        )
        self.on_placement_changed()

    def record_sound(
        self, service: str, segments: abc.Iterable[str], began_s: float
    ) -> None:
        """Record that an answer went on after its beginning."""
        if self.quarantine.record_sound(service, segments, began_s):
            self.on_placement_changed()

    def may_receive(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether an endpoint that was chosen earlier is still usable."""
        return self.state.registry.is_usable(
            endpoint.endpoint_id
        ) and self.rollouts.allows(endpoint)

    def candidates(
        self, service: str, draw: float
    ) -> list[endpoints.FleetEndpoint]:
        """Return the endpoints that a request may go to.

        :param draw: number from 0 to 1 that selects the version during a
            roll-out; 1 selects the old version.
        """
        usable = self.state.registry.usable(service)
        return self.rollouts.choose(service, usable, draw)


def _prompts(
    suspects: list[crash_model.Suspect], has_begun: bool
) -> list[list[str]]:
    return [
        sorted(each.segments)
        for each in suspects
        if each.has_begun == has_begun
    ]
