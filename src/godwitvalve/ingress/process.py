"""Runs one entry process on the platform: start, serve, drain, stop."""

from __future__ import annotations

import asyncio
from collections import abc
import random
import signal
import time
import types

from aiohttp import web

from godwitvalve.admission import tables as admission_tables
from godwitvalve.diagnostics import monitor as monitors
from godwitvalve.endpoint_limits import limiter as limiters
from godwitvalve.endpoint_limits import messages as permit_messages
from godwitvalve.endpoint_limits import node as permit_nodes
from godwitvalve.fleet import consumers
from godwitvalve.fleet import endpoints as endpoint_model
from godwitvalve.fleet import eras
from godwitvalve.fleet import follower
from godwitvalve.fleet import poll_checks
from godwitvalve.fleet import relay as relays
from godwitvalve.fleet import sources
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import arrivals
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import counters as counter_model
from godwitvalve.forwarding import leaving_checks
from godwitvalve.forwarding import liveness as liveness_model
from godwitvalve.forwarding import message_memory
from godwitvalve.forwarding import pool as pools
from godwitvalve.forwarding import successors
from godwitvalve.gossip import members as member_model
from godwitvalve.gossip import node as gossip_nodes
from godwitvalve.ingress import control
from godwitvalve.ingress import derived_settings
from godwitvalve.ingress import directory
from godwitvalve.ingress import handler as handlers
from godwitvalve.ingress import membership
from godwitvalve.ingress import peer_tables
from godwitvalve.ingress import pressure
from godwitvalve.ingress import route_explanation
from godwitvalve.ingress import servers
from godwitvalve.ingress import settings_reload
from godwitvalve.ingress import shared_states
from godwitvalve.ingress import state_rows
from godwitvalve.lifecycle import drain
from godwitvalve.lifecycle import lifecycle as lifecycles
from godwitvalve.lifecycle import supervision
from godwitvalve.logs import setup as logs
from godwitvalve.parsing import throttle as throttles
from godwitvalve.placement import choose
from godwitvalve.placement import pace as pace_model
from godwitvalve.placement import sessions as session_model
from godwitvalve.placement import speed as speed_model
from godwitvalve.placement import tracker as trackers
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import directory as wire_directory
from godwitvalve.platform import endpoints as wire_endpoints
from godwitvalve.platform import settings as wire_settings
from godwitvalve.platform import store as stores
from godwitvalve.quarantine import segments as segment_model
from godwitvalve.queueing import shares
from godwitvalve.queueing import turns
from godwitvalve.rollouts import orders as rollout_orders
from godwitvalve.rollouts import plan as rollout_plan
from godwitvalve.rollouts import registry as rollout_registries
from godwitvalve.rollouts import status_writer as rollout_writers
from godwitvalve.routing import retry_budget
from godwitvalve.routing import subset

# When a failure domain restarts, its endpoints register at about the same
# time. A pause between reads lets one call return them together, and leaves
# most of the 2 s in which a leaving endpoint must be known.
ENDPOINTS_READ_PAUSE_S = 0.5
# In a large fleet changes are relayed by another entry, and it takes a second
# to switch to the next source if that entry is lost.
LARGE_FLEET_READ_PAUSE_S = 0.3
DRAIN_POLL_S = 0.05
# Bounds the replaced, lost, provisional and leaving endpoints in one record,
# each; covers a failure domain of a small fleet.
MAX_REPORTED_ENDPOINTS = 16
# The crash of a failure domain interrupts the two streams that an entry of a
# large fleet runs there at the same moment. 58 entries that use all of these
# retries at once stay within 150 + 0.8 x 16 requests/s x 10 s.
MIN_BURST_RETRIES = 1.0
MIN_RESUME_DEBT_RETRIES = 2.5
# The store normally answers in 4 ms; one that takes 60 times as long is
# treated as unavailable.
STORE_PROBE_TIMEOUT_S = 0.25
# Entries that write the evidence about crashing prompts to the store; the
# store may reject one of them.
QUARANTINE_WRITERS = 2

_LOG = logs.get('entry')


class FleetEntry:
    """One entry instance."""

    def __init__(self, settings: wire_settings.FleetSettings) -> None:
        self._settings = settings
        self._settings_reload = settings_reload.SettingsReload(
            settings, self._apply_settings
        )
        self._started_wall_ms = int(time.time() * 1000)
        self._state = states.FleetState()
        self._era = eras.StoreEra()
        self._store = stores.StoreClient(
            settings.store_address, self._era.record, self._on_store_silence
        )
        self._poll_checks = {
            table: poll_checks.PollChecks()
            for table in (wire_configuration.TABLE, wire_endpoints.TABLE)
        }
        self._members = member_model.Members(
            settings.instance_id, settings.failure_domain
        )
        self._lifecycle = lifecycles.Lifecycle(
            directory.LEAVING_PROPAGATION_S
            + directory.ADDRESS_VALIDITY_S * directory.MAX_CACHE_FACTOR
        )
        liveness = liveness_model.LivenessRecord()
        tracker = trackers.EndpointTracker()
        self._liveness_probes = liveness_model.LivenessProbes(
            self._state, tracker, liveness, self._is_unlimited
        )
        self._successors = successors.SuccessorSearch(
            self._state,
            self._liveness_probes.last_seen_s,
            settings.address_reuse_s,
            self._probe_store,
            self._add_provisional,
        )
        self._leaving_checks = leaving_checks.LeavingChecks(self._state)
        self._rollouts = rollout_registries.RolloutRegistry(
            derived_settings.exposure_limits(settings)
        )
        paces = pace_model.PaceTable()
        account_use = shares.AccountUse(self._reported_use, paces.is_stated)
        self._message_memory = message_memory.for_machine(settings.memory_mb)
        self._context = contexts.ForwardingContext(
            settings.failure_domain,
            self._state,
            pools.ChannelPool(self._message_memory, throttles.PROCESS),
            tracker,
            retry_budget.RetryBudget(
                earned_per_first_attempt=(
                    derived_settings.retries_per_request(settings)
                ),
            ),
            counter_model.ForwardingCounters(settings.instance_id),
            session_model.SessionTable(),
            speed_model.SpeedEstimates(),
            self._successors.begin,
            self._remote_placements,
            self._on_placement,
            self._rollouts,
            limiter=limiters.EndpointLimiter(
                self._coordinators, self._on_placement
            ),
            quarantine=segment_model.SegmentQuarantine(self._takes_turn),
            turns=turns.Turns(account_use),
            paces=paces,
            account_use=account_use,
            admission=admission_tables.AdmissionTables(
                self._other_entries, self._work_factor, account_use
            ),
            liveness=liveness,
        )
        self._permits = permit_nodes.PermitNode(
            membership.permit_port(settings), self._decide_permit
        )
        self._context.limiter.source = self._permits
        self._handler = handlers.IngressHandler(self._context, self._lifecycle)
        self._monitor = monitors.ProcessMonitor(
            self._context.history,
            self._context.counters.registry,
            settings.instance_id,
            settings.memory_mb,
            lambda: self._lifecycle.requests_in_flight,
        )
        self._pressure = pressure.PressureMonitor(
            settings, self._context.counters.registry
        )
        self._gossip = gossip_nodes.GossipNode(
            self._members,
            self._build_record,
            membership.seed_peers(settings),
            self._merge_record,
        )
        self._configuration = consumers.ConfigurationConsumer(
            self._state, self._on_configuration
        )
        self._endpoints = consumers.EndpointConsumer(
            self._state, self._on_endpoint_removed, self._begin_serving
        )
        self._peer_sync = membership.PeerSync(
            settings,
            self._state,
            self._members,
            self._configuration,
        )
        self._rng = random.Random()
        self._relays = {
            table: relays.TableRelay()
            for table in (wire_configuration.TABLE, wire_endpoints.TABLE)
        }
        self._source_selector = sources.SourceSelector(
            settings.instance_id, settings.failure_domain
        )
        self._sources = peer_tables.PeerSources(
            self._store,
            self._source_selector,
            lambda: self._members.alive(time.monotonic()),
            int(settings.control_address.rpartition(':')[2]),
            derived_settings.longest_waits_s(settings),
        )
        self._stop_requested = asyncio.Event()
        # When the first stop signal came, in monotonic seconds.
        self._signalled_s: float | None = None
        self._failures = supervision.FailureLog(_LOG)

    def _remote_placements(self) -> choose.RemotePlacements:
        now_s = time.monotonic()
        return member_model.total_placements(self._members.alive(now_s))

    def _reported_use(self, now_s: float) -> list[shares.Use]:
        return [each.account_use for each in self._members.alive(now_s)]

    def _other_entries(self) -> admission_tables.Others:
        alive = self._members.alive(time.monotonic())
        return admission_tables.Others(
            1 + len(alive), member_model.total_waiting(alive)
        )

    def _work_factor(
        self, endpoint: endpoint_model.FleetEndpoint, now_s: float
    ) -> float:
        work = self._context.work_factors.at(endpoint.service, now_s)
        return work(endpoint) if work else 1.0

    def _is_unlimited(self, endpoint: endpoint_model.FleetEndpoint) -> bool:
        return self._context.limiter.is_unlimited(endpoint, time.monotonic())

    def _coordinators(self) -> limiters.Coordinators:
        """Return the serving entries, which issue permits for endpoints."""
        now_s = time.monotonic()
        hosts = {
            record.instance_id: record.peer_address.rpartition(':')[0]
            for record in self._members.alive(now_s)
            if record.state == member_model.SERVING
        }
        if self._lifecycle.is_advertised() or not hosts:
            hosts[self._settings.instance_id] = ''
        return limiters.Coordinators(
            hosts, self._members.reachable_share(now_s)
        )

    def _takes_turn(self, key: str) -> bool:
        """Tell whether this serving entry is chosen for a key."""
        entries = self._coordinators().hosts
        chosen = max(entries, key=lambda each: subset.score(each, key))
        return chosen == self._settings.instance_id

    def _decide_permit(
        self, question: permit_messages.PermitRequest
    ) -> permit_messages.PermitAnswer:
        return self._context.limiter.decide(question, time.monotonic())

    async def _probe_store(self) -> bool:
        """Tell whether the store answers.

        A store that counts as available is probed, as an outage may have
        gone unnoticed so far.
        """
        if self._state.registry.is_store_unavailable:
            return False
        try:
            await self._store.rows(
                membership.TABLE, timeout_s=STORE_PROBE_TIMEOUT_S
            )
        except stores.StoreUnavailable as error:
            self._endpoints.mark_store_unavailable()
            _LOG.info(
                'The store is unavailable.', extra={'reason': str(error)}
            )
            return False
        return True

    def _add_provisional(self, endpoint: endpoint_model.FleetEndpoint) -> None:
        if self._state.registry.add_provisional(endpoint):
            self._gossip.schedule_update()

    def _on_placement(self) -> None:
        self._gossip.schedule_update()

    def _on_configuration(self) -> None:
        self._context.history.record_configuration(time.monotonic())
        self._begin_serving()
        self._gossip.schedule_update()

    def _begin_serving(self) -> None:
        """Begin to serve once configuration and endpoints are known.

        Callers that are sent here earlier would be refused.
        """
        is_known = (
            self._state.configuration is not None
            and self._state.registry.is_loaded
        )
        if is_known and self._lifecycle.state == lifecycles.STARTING:
            self._lifecycle.begin_serving()
            self._gossip.schedule_update()

    def _on_store_silence(self) -> None:
        now_s = time.monotonic()
        for checks in self._poll_checks.values():
            checks.record_silence(now_s)

    def _on_endpoint_removed(self, endpoint_id: str) -> None:
        self._context.pool.drop(endpoint_id)
        self._context.endpoint_tracker.forget(endpoint_id)
        self._context.paces.forget(endpoint_id)
        self._context.prefixes.forget(endpoint_id)

    def _build_record(self, heartbeat: int) -> member_model.Record:
        states_by_name = {
            lifecycles.STARTING: member_model.STARTING,
            lifecycles.SERVING: member_model.SERVING,
        }
        return member_model.Record(
            self._settings.instance_id,
            self._started_wall_ms,
            heartbeat,
            states_by_name.get(self._lifecycle.state, member_model.LEAVING),
            self._settings.caller_address,
            membership.peer_address(self._settings),
            self._settings.failure_domain,
            self._state.version,
            self._context.endpoint_tracker.placements(),
            self._state.registry.replaced()[:MAX_REPORTED_ENDPOINTS],
            self._context.sessions.running(),
            self._context.endpoint_tracker.recently_lost(time.monotonic())[
                :MAX_REPORTED_ENDPOINTS
            ],
            self._state.registry.provisional()[:MAX_REPORTED_ENDPOINTS],
            self._context.speeds.all(),
            self._rollouts.reports(time.monotonic()),
            self._context.quarantine.report(time.monotonic()),
            self._state.registry.leaving()[:MAX_REPORTED_ENDPOINTS],
            self._context.limiter.table.reports(time.monotonic()),
            self._state.configuration_eras.first,
            self._era.current,
            self._state.configuration_eras.last,
            self._context.endpoint_speeds.reports(time.monotonic()),
            pressure=self._pressure.percent,
            capacity=self._pressure.capacity,
            account_use=self._context.account_use.report(time.monotonic()),
            placement_tokens=self._context.endpoint_tracker.placement_tokens(),
            waiting_streams=self._context.admission.waiting(),
            newest_endpoint_row=self._poll_checks[
                wire_endpoints.TABLE
            ].newest_row,
        )

    def _merge_record(self, record: member_model.Record, age_s: float) -> None:
        now_s = time.monotonic()
        origin = (record.instance_id, record.started_wall_ms)
        self._era.record_report(record.store_era)
        self._poll_checks[wire_endpoints.TABLE].record_report(
            stores.StoreRevision(*record.newest_endpoint_row), now_s
        )
        for report in record.rollouts:
            if self._rollouts.apply_report(origin, report, now_s, age_s):
                self._gossip.schedule_update()
        self._context.quarantine.merge(record.quarantine, now_s, age_s)
        self._context.sessions.merge(record.sessions, now_s)
        if self._context.paces.is_any_stated():
            self._context.prefixes.merge(record.sessions, now_s)
        for endpoint_id in record.lost:
            self._context.endpoint_tracker.record_reported_loss(
                endpoint_id, now_s
            )
        for service, estimate in record.speeds.items():
            self._context.speeds.add_received(service, estimate)
        self._context.endpoint_speeds.merge(
            record.instance_id, record.endpoint_speeds, now_s
        )
        for service in record.endpoint_speeds:
            self._context.paces.record_service(service)
        for endpoint in record.provisional:
            self._state.registry.add_provisional(endpoint)
        for limit in record.limits:
            self._context.limiter.merge(
                record.instance_id,
                self._state.registry.get(limit.endpoint_id),
                limit,
                now_s - age_s,
                now_s,
            )
        for endpoint_id, started_wall_ms in record.replaced:
            self._state.registry.mark_replaced(endpoint_id, started_wall_ms)
        for endpoint_id, started_wall_ms in record.leaving:
            if self._state.registry.mark_leaving(endpoint_id, started_wall_ms):
                _LOG.info(
                    'Another entry reports that an endpoint leaves.',
                    extra={
                        'endpoint_id': endpoint_id,
                        'entry': record.instance_id,
                    },
                )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
            # The event loop gets to a signal late if it is held up, and the
            # process is killed at a fixed time after the signal.
            signal.signal(signal_number, self._note_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        _LOG.info('Started.', extra={'settings': self._settings.instance_id})
        await membership.open_sockets(
            self._settings, self._gossip, self._permits
        )
        runners = await self._listen()
        tasks = [
            asyncio.create_task(
                supervision.supervise(activity, work, self._failures)
            )
            for activity, work in self._background_work().items()
        ]
        await self._stop_requested.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        self._successors.stop()
        self._leaving_checks.stop()
        self._context.crash_checks.stop()
        self._gossip.close()
        self._permits.close()
        await self._sources.close()
        await self._store.close()
        self._handler.begin_interrupting()
        await asyncio.gather(*(runner.cleanup() for runner in runners))
        _LOG.info('Stopped.')

    def _background_work(
        self,
    ) -> dict[str, abc.Callable[[], abc.Awaitable[None]]]:
        """Return what runs until the stop, by activity for the log."""
        operator_follower = follower.TableFollower(
            self._sources,
            wire_configuration.TABLE,
            consumers.OperatorConsumer(
                self._configuration,
                consumers.OrderConsumer(self._apply_order),
                lambda era: self._rollouts.mark_store_restored(
                    era, time.monotonic()
                ),
            ),
            self._relays[wire_configuration.TABLE],
            era=self._era,
            checks=self._poll_checks[wire_configuration.TABLE],
            on_check=self._context.counters.count_poll_check,
        )
        endpoint_follower = follower.TableFollower(
            self._sources,
            wire_endpoints.TABLE,
            self._endpoints,
            self._relays[wire_endpoints.TABLE],
            self._endpoints_read_pause_s,
            self._era,
            self._poll_checks[wire_endpoints.TABLE],
            self._context.counters.count_poll_check,
        )
        return {
            'follow the table of the operator': operator_follower.run,
            'follow the table of endpoints': endpoint_follower.run,
            'register and read entries': membership.MemberRows(
                self._store, self._members, self._build_record, self._era
            ).run,
            'send heartbeats': self._gossip.run,
            'store sessions': state_rows.StateRows(
                self._store,
                shared_states.SESSIONS_TABLE,
                self._settings.instance_id,
                shared_states.SessionState(
                    self._context.sessions, self._sessions_to_store
                ),
                self._era,
            ).run,
            'store quarantine': state_rows.StateRows(
                self._store,
                shared_states.QUARANTINE_TABLE,
                self._settings.instance_id,
                shared_states.QuarantineState(
                    self._context.quarantine,
                    lambda: self._rank() < QUARANTINE_WRITERS,
                ),
                self._era,
            ).run,
            'read configurations of peers': self._peer_sync.run,
            'bound arrivals': arrivals.PROCESS.run,
            'probe endpoints in an outage': self._liveness_probes.run,
            'maintain': self._maintain,
            'synchronise roll-outs': rollout_writers.StatusWriter(
                self._store,
                self._rollouts,
                self._rank,
                self._gossip.schedule_update,
            ).run,
        }

    def _sessions_to_store(self) -> dict[str, str]:
        """Return own sessions, or in a large fleet those of the domain.

        Only the entry that reads the store for its failure domain writes
        there; the others return nothing. Load pattern: 58 entries lose power
        at once. If each wrote its own row, ten writes per second in total
        would leave rows that are six seconds old.
        """
        running = self._context.sessions.running()
        alive = self._members.alive(time.monotonic())
        if len(alive) < member_model.DIRECT_MEMBERS:
            return running
        if not self._source_selector.reads_store(alive):
            return {}
        for record in alive:
            if record.failure_domain == self._settings.failure_domain:
                running |= record.sessions
        return running

    def _endpoints_read_pause_s(self) -> float:
        if self._members.known_count() > member_model.DIRECT_MEMBERS:
            return LARGE_FLEET_READ_PAUSE_S
        return ENDPOINTS_READ_PAUSE_S

    async def _listen(self) -> list[web.ServerRunner]:
        settings = self._settings
        control_handler = control.ControlHandler(
            self._context,
            self._state,
            peer_tables.RelayServer(self._relays),
            route_explanation.RouteExplainer(
                self._context, self._handler.accepts
            ),
        )
        others = (
            (settings.readiness_address, self._handle_ready),
            (settings.directory_address, self._handle_resolve),
            (settings.control_address, control_handler.handle),
        )
        return [
            await servers.listen(
                settings.caller_address,
                self._handler.handle,
                idle_limit_s=self._idle_limit_s,
            ),
            *[
                await servers.listen(address, handle, servers.CLOSE_WAIT_S)
                for address, handle in others
            ],
        ]

    def _idle_limit_s(self) -> float:
        configuration = self._state.configuration
        return configuration.limits.idle_s if configuration else 0.0

    async def _handle_ready(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        is_ready = (
            request.path == wire_directory.READY_PATH
            and self._lifecycle.is_advertised()
        )
        return web.Response(status=200 if is_ready else 503)

    async def _handle_resolve(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if request.path != wire_directory.RESOLVE_PATH:
            return web.Response(status=404)
        own = directory.Candidate(
            self._settings.caller_address,
            self._pressure.capacity,
            self._pressure.percent,
        )
        addresses = directory.choose_addresses(
            own if self._lifecycle.is_advertised() else None,
            self._members.alive(time.monotonic()),
            self._rng,
            is_sized=self._pressure.capacity > 0,
        )
        if not addresses:
            return web.Response(status=503)
        validity_s = min(
            directory.ADDRESS_VALIDITY_S,
            self._settings.address_validity_limit_s,
        )
        body = wire_directory.encode_addresses(addresses, validity_s)
        return web.Response(body=body, content_type='application/json')

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(monitors.PERIOD_S)
            for activity, step in (
                ('observe the process', self._monitor.observe),
                ('measure the pressure', self._pressure.observe),
                ('expire endpoints', self._endpoints.expire),
                ('confirm leaving', self._leaving_checks.begin_due),
                ('install configurations', self._install_deferred),
                ('prune connections', self._context.pool.prune),
                ('expire requests', self._expire_requests),
                ('expire limits', self._expire_limits),
                ('expire speeds', self._expire_speeds),
                ('state the use by accounts', self._state_account_use),
                ('resize the retry budget', self._resize_retry_budget),
                ('review roll-outs', self._review_rollouts),
                ('check the settings', self._settings_reload.check),
            ):
                with self._failures.isolate(activity):
                    step()

    def _install_deferred(self) -> None:
        self._configuration.install_deferred(time.monotonic())

    def _expire_requests(self) -> None:
        now_s = time.monotonic()
        self._context.sessions.expire(now_s)
        self._context.prefixes.expire(now_s)
        self._context.quarantine.expire(now_s)

    def _expire_speeds(self) -> None:
        now_s = time.monotonic()
        self._context.endpoint_speeds.expire(now_s)
        self._context.paces.expire(now_s)

    def _expire_limits(self) -> None:
        self._context.limiter.expire(
            self._state.registry.ids(), time.monotonic()
        )
        self._context.counters.set_limited_endpoints(
            self._context.limiter.table.limited_count()
        )

    def _state_account_use(self) -> None:
        for service, account, count in self._context.account_use.changes(
            time.monotonic()
        ):
            self._context.counters.set_account_use(service, account, count)

    def _resize_retry_budget(self) -> None:
        """Divide the retry burst of the fleet among the live entries.

        Each entry gets a quarter of its share as burst and the same amount
        as debt for resumed streams. The rest covers entries that do not see
        one another. Lower bounds leave an entry of a large fleet enough for
        its streams in a crashed failure domain.
        """
        entries = 1 + len(self._members.alive(time.monotonic()))
        share = self._settings.retry_budget_burst / entries / 4
        self._context.budget.resize(
            max(share, MIN_BURST_RETRIES), max(share, MIN_RESUME_DEBT_RETRIES)
        )

    def _apply_order(
        self, order: rollout_orders.RolloutOrder, may_be_copied: bool
    ) -> None:
        self._rollouts.add_order(order, time.monotonic(), may_be_copied)

    def _rank(self) -> int:
        """Return the rank of this entry by instance id among the live ones."""
        own_id = self._settings.instance_id
        alive = self._members.alive(time.monotonic())
        return sum(each.instance_id < own_id for each in alive)

    def _review_rollouts(self) -> None:
        configuration = self._state.configuration
        for each in self._rollouts.all():
            service = each.order.service
            service_config = (
                configuration.services.get(service) if configuration else None
            )
            is_model = (
                service_config is not None
                and service_config.engine is not None
            )
            drain_s = (
                rollout_plan.STREAM_DRAIN_S
                if is_model
                else rollout_plan.CALL_DRAIN_S
            )
            listed = self._state.registry.usable(service)
            if each.review(listed, drain_s, time.monotonic()):
                self._gossip.schedule_update()

    def _note_stop_signal(
        self, signal_number: int, frame: types.FrameType | None
    ) -> None:
        """Note when a stop was requested, in the middle of other work."""
        if self._signalled_s is None:
            self._signalled_s = time.monotonic()

    def _reload(self) -> None:
        """Read the settings again at SIGHUP."""
        self._context.history.record_reload(time.monotonic())
        with self._failures.isolate('read the settings again'):
            self._settings_reload.read(is_announced=True)

    def _apply_settings(self, settings: wire_settings.FleetSettings) -> None:
        """Use changed settings; other parts read them at each use."""
        self._settings = settings
        self._store.set_address(settings.store_address)
        self._gossip.set_seeds(membership.seed_peers(settings))
        self._sources.set_longest_waits(
            derived_settings.longest_waits_s(settings)
        )
        self._successors.address_reuse_s = settings.address_reuse_s
        self._rollouts.set_limits(derived_settings.exposure_limits(settings))
        self._context.budget.earned_per_first_attempt = (
            derived_settings.retries_per_request(settings)
        )
        self._message_memory.resize(settings.memory_mb)
        self._monitor.memory_mb = settings.memory_mb
        self._pressure.set_settings(settings)

    async def _drain(self) -> None:
        """Leave the directory, then wait for the requests in flight.

        Requests that still run shortly before the stop limit are interrupted
        and get their answer, unless it has begun.
        """
        with self._failures.isolate('read the settings again'):
            self._settings_reload.read()
        began_s = time.monotonic()
        signalled_s = self._signalled_s or began_s
        stop = self._schedule_stop(began_s, signalled_s)
        self._handler.begin_drain(stop)
        with self._failures.isolate('announce the stop'):
            self._gossip.send_heartbeat()
        _LOG.info(
            'Drain started.',
            extra={
                'in_flight': self._lifecycle.requests_in_flight,
                'late_ms': round((began_s - signalled_s) * 1000),
            },
        )
        while not self._lifecycle.stop(time.monotonic()):
            now_s = time.monotonic()
            stop = drain.shorten(
                stop, self._schedule_stop(began_s, signalled_s), now_s
            )
            self._handler.shorten_drain(stop)
            self._handler.interrupt_due(now_s)
            if now_s > stop.cut_by_s + 2 * DRAIN_POLL_S:
                _LOG.warning(
                    'Stop limit reached; closing connections.',
                    extra={'in_flight': self._lifecycle.requests_in_flight},
                )
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _schedule_stop(
        self, began_s: float, signalled_s: float
    ) -> drain.StopSchedule:
        late_s = began_s - signalled_s
        return drain.schedule(began_s, self._settings.stop_limit_s - late_s)
