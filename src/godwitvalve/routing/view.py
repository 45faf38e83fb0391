"""What this entry knows of one endpoint."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import health

# A load report that was under way when the endpoint refused work as
# leaving may still call it live.
LEAVING_HOLD_S = 5.0


class Standing(enum.IntEnum):
    """Whether new work may go to an endpoint."""

    USABLE = 0
    AVOIDED = 1
    OUT = 2


StandingInputs: TypeAlias = tuple[bool, health.Condition, float]


@dataclasses.dataclass
class EndpointView:
    """State of one endpoint.

    :param outstanding: this entry's own requests in flight (exact).
    :param reported_load: requests queued and running by the endpoint's last
        load report (lagging).
    :param last_use: position in the order of last use, the last tie-break.
    """

    endpoint: endpoint_model.Endpoint
    last_use: int = 0
    outstanding: int = 0
    reported_load: int = 0
    standing: Standing = Standing.USABLE
    listed_leaving: bool = False
    leaving_seen_s: float | None = None
    health: health.Health = dataclasses.field(default_factory=health.Health)

    @property
    def is_leaving(self) -> bool:
        """Tell whether any source says that the endpoint is leaving."""
        return self.listed_leaving or self.leaving_seen_s is not None

    @property
    def standing_inputs(self) -> StandingInputs:
        """Return what the standings of the group depend on."""
        return (self.is_leaving, self.health.condition, self.health.since_s)

    def mark_leaving(self, now_s: float) -> None:
        """Record a leaving sign from the endpoint itself."""
        self.leaving_seen_s = now_s

    def mark_live(self, now_s: float) -> None:
        """Record a load report that says live."""
        seen_s = self.leaving_seen_s
        if seen_s is not None and now_s - seen_s >= LEAVING_HOLD_S:
            self.leaving_seen_s = None


def assign_standings(views: list[EndpointView]) -> None:
    """Set the standing of the endpoints of one service version.

    At most half of those that are neither leaving nor known to refuse
    connections are kept from new work on suspicion alone: when more look
    bad, the cause is likely this entry's own network.
    """
    unhealthy = []
    alive = 0
    for view in views:
        view.standing = Standing.USABLE
        condition = view.health.condition
        if view.is_leaving or condition is health.Condition.REFUSED:
            view.standing = Standing.OUT
            continue
        alive += 1
        if condition is not health.Condition.HEALTHY:
            unhealthy.append(view)
    unhealthy.sort(key=_exclusion_order)
    for view in unhealthy[: alive // 2]:
        ejected = view.health.condition is health.Condition.EJECTED
        view.standing = Standing.OUT if ejected else Standing.AVOIDED


def _exclusion_order(view: EndpointView) -> tuple[bool, float, str]:
    suspect = view.health.condition is health.Condition.SUSPECT
    return (suspect, view.health.since_s, view.endpoint.endpoint_id)
