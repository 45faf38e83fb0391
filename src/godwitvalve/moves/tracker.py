"""State of all moves at one entry: shares, monitors and verdicts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import dataclasses
from typing import NamedTuple

from godwitvalve.configuration import in_force
from godwitvalve.moves import choice
from godwitvalve.moves import evidence
from godwitvalve.moves import evidence_rows
from godwitvalve.moves import judge
from godwitvalve.moves import monitoring
from godwitvalve.moves import move
from godwitvalve.moves import share as shares
from godwitvalve.moves import succession
from godwitvalve.moves import verdicts
from godwitvalve.routing import endpoint as endpoint_model

# Share class of requests to a service without a move.
_NO_MOVE_CLASS = evidence_rows.share_class(0.0)


class VersionChoice(NamedTuple):
    """Version and endpoints for a new request.

    :param allowed: endpoint ids that may be used, or None for all.
    :param fallback: version for a retry, empty if there is no other.
    :param share_class: class of the share at the time of the choice.
    """

    version: str
    allowed: frozenset[str] | None
    fallback: str
    share_class: int


class MoveStatus(NamedTuple):
    """A move as reported to operators."""

    service: str
    version: str
    state: str
    share: float
    reason: str


@dataclasses.dataclass
class _ActiveMove:
    """State of the move of one service."""

    moving: move.Move
    monitor: monitoring.MoveMonitor
    decision: shares.ShareDecision
    judgement: move.Judgement


class MoveTracker:
    """Maintains the share and the judgement of each service's move.

    :param evidence_window: evidence of this entry and its peers.
    :param verdict_manager: verdicts.
    """

    def __init__(
        self,
        evidence_window: evidence.EvidenceWindow,
        verdict_manager: verdicts.VerdictManager,
    ) -> None:
        self.evidence = evidence_window
        self.verdicts = verdict_manager
        self._configuration: in_force.InForceConfiguration | None = None
        self._endpoints: dict[
            tuple[str, str], list[endpoint_model.Endpoint]
        ] = {}
        self._ready: set[str] = set()
        self._successions: dict[str, succession.Succession] = {}
        self._active: dict[str, _ActiveMove] = {}

    def set_configuration(
        self, configuration: in_force.InForceConfiguration
    ) -> None:
        """Take over a configuration that is in force now."""
        self._configuration = configuration
        present = {
            version.move_id
            for service in configuration.services.values()
            for version in service.versions
        }
        self._ready &= present

    def set_endpoints(
        self, endpoints: Iterable[endpoint_model.Endpoint]
    ) -> None:
        """Set the live endpoints of all services."""
        grouped: dict[tuple[str, str], list[endpoint_model.Endpoint]] = {}
        for item in endpoints:
            grouped.setdefault((item.service, item.version), []).append(item)
        self._endpoints = grouped

    def set_ready(self, move_ids: Iterable[str]) -> None:
        """Mark versions whose dependencies and weights are available.

        A version stays ready, so that a dependency that disappears later
        does not shift the traffic.
        """
        self._ready |= set(move_ids)

    def is_ready(self, version: in_force.VersionInForce) -> bool:
        """Return whether a version may receive its first request."""
        return version.move_id in self._ready

    def unready(self) -> list[in_force.VersionInForce]:
        """Return the versions whose dependencies or weights are missing."""
        if self._configuration is None:
            return []
        return [
            version
            for service in self._configuration.services.values()
            for version in service.versions
            if not version.text.retire and not self.is_ready(version)
        ]

    def active_moves(self) -> list[move.Move]:
        """Return the moves that are running or still monitored."""
        return [item.moving for item in self._active.values()]

    def step(self, now_wall_s: float) -> list[str]:
        """Read new evidence, judge, and compute the shares.

        :returns: ids of the moves whose verdict this step changed.
        """
        if self._configuration is None:
            return []
        self._find_successions(now_wall_s)
        decided = []
        for item in self._active.values():
            if self._judge(item, now_wall_s):
                decided.append(item.moving.move_id)
        if decided:
            self._find_successions(now_wall_s)
        for item in self._active.values():
            self._plan(item, now_wall_s)
        return decided

    def serving(self, service: str) -> in_force.VersionInForce | None:
        """Return the version that has the traffic of a service."""
        found = self._successions.get(service)
        return found.serving if found else None

    def choose(
        self, service: str, request_hash: int, now_s: float
    ) -> VersionChoice | None:
        """Return the version and endpoints for a new request.

        :param request_hash: the same for each retry of a request.
        :param now_s: monotonic seconds.
        """
        found = self._successions.get(service)
        if found is None:
            return None
        item = self._active.get(service)
        if item is None:
            return VersionChoice(found.serving.name, None, '', _NO_MOVE_CLASS)
        moving = item.moving
        share = item.decision.share
        if not self.verdicts.may_send(moving.move_id, now_s):
            share = 0.0
        share_class = evidence_rows.share_class(share)
        chosen = choice.choose_version(moving, share, request_hash)
        if chosen == moving.old_version:
            return VersionChoice(chosen, None, '', share_class)
        allowed = frozenset(item.decision.replicas)
        return VersionChoice(chosen, allowed, moving.old_version, share_class)

    def share_class(self, service: str) -> int:
        """Return the class of the share in force of a service's move."""
        item = self._active.get(service)
        if item is None:
            return _NO_MOVE_CLASS
        return evidence_rows.share_class(item.decision.share)

    def canary_endpoints(self) -> Mapping[tuple[str, str], Sequence[str]]:
        """Return the canaries of each move, by service and version."""
        return {
            (item.moving.service, item.moving.new_version): (
                item.decision.replicas
            )
            for item in self._active.values()
        }

    def status(self) -> list[MoveStatus]:
        """Return the status of every move that the text orders."""
        if self._configuration is None:
            return []
        return [
            self._status(service, version)
            for service in self._configuration.services.values()
            for version in service.versions
            if version.done_by_wall_s is not None and not version.text.retire
        ]

    def _status(
        self,
        service: in_force.ServiceInForce,
        version: in_force.VersionInForce,
    ) -> MoveStatus:
        verdict = self.verdicts.verdict(version.move_id)
        row = self.verdicts.row(version.move_id)
        item = self._active.get(service.name)
        share = 1.0 if verdict is move.Verdict.DONE else 0.0
        reason = row.reason if row else ''
        if item and item.moving.move_id == version.move_id:
            share = item.decision.share
            if not reason:
                reason = item.decision.reason
            elif verdict is move.Verdict.DONE and share < 1.0:
                reason = f'{reason}; for now, {item.decision.reason}'
        elif verdict is move.Verdict.MOVING and not self.is_ready(version):
            reason = 'waits for its dependencies or weights'
        return MoveStatus(
            service.name, version.name, verdict.name.lower(), share, reason
        )

    def _find_successions(self, now_wall_s: float) -> None:
        assert self._configuration is not None
        found = {
            name: succession.find(
                service, self.verdicts.verdict, self.is_ready
            )
            for name, service in self._configuration.services.items()
        }
        self._successions = {
            name: item for name, item in found.items() if item
        }
        self._active = {
            name: self._activate(name, item.moving, now_wall_s)
            for name, item in self._successions.items()
            if item.moving
        }

    def _activate(
        self, service: str, moving: move.Move, now_wall_s: float
    ) -> _ActiveMove:
        known = self._active.get(service)
        if known is not None and known.moving == moving:
            return known
        assert self._configuration is not None
        routes = len(self._configuration.services[service].text.routes)
        return _ActiveMove(
            moving,
            monitoring.MoveMonitor(moving, routes, now_wall_s),
            shares.ShareDecision(0.0, (), 'not planned yet'),
            move.Continue('moving'),
        )

    def _judge(self, item: _ActiveMove, now_wall_s: float) -> bool:
        moving = item.moving
        item.monitor.advance(self.evidence, now_wall_s)
        item.judgement = judge.judge(
            moving,
            item.monitor,
            now_wall_s,
            len(self._version_endpoints(moving.new_version, moving)),
            self.verdicts.verdict(moving.move_id),
        )
        return self.verdicts.decide(moving.move_id, item.judgement, now_wall_s)

    def _plan(self, item: _ActiveMove, now_wall_s: float) -> None:
        moving = item.moving
        item.decision = shares.plan_share(
            moving,
            self._version_endpoints(moving.new_version, moving),
            len(self._version_endpoints(moving.old_version, moving)),
            item.monitor,
            now_wall_s,
            self.verdicts.verdict(moving.move_id),
        )

    def _version_endpoints(
        self, version: str, moving: move.Move
    ) -> list[endpoint_model.Endpoint]:
        return self._endpoints.get((moving.service, version), [])
