"""State of one endpoint as seen by this entry."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import health

# A load report that was in transit when the endpoint refused work because
# it is leaving may still say live.
LEAVING_HOLD_S = 5.0


class Standing(enum.IntEnum):
    """Eligibility of an endpoint for new work."""

    USABLE = 0
    AVOIDED = 1
    OUT = 2


StandingInputs: TypeAlias = tuple[bool, health.Condition, float]


@dataclasses.dataclass
class EndpointView:
    """State of one endpoint.

    :param outstanding: this entry's own requests in flight (exact).
    :param reported_load: requests queued and running according to the
        endpoint's last load report (lagging).
    :param last_use: sequence number of the last use, the last tie-break;
        negative before the first use.
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
        """Tell whether any source reports the endpoint as leaving."""
        return self.listed_leaving or self.leaving_seen_s is not None

    @property
    def standing_inputs(self) -> StandingInputs:
        """Return the state that the standings of the group depend on."""
        return (self.is_leaving, self.health.condition, self.health.since_s)

    def mark_leaving(self, now_s: float) -> None:
        """Record that the endpoint itself reported that it is leaving."""
        self.leaving_seen_s = now_s

    def mark_live(self, now_s: float) -> None:
        """Record a load report that says live.

        It ends the leaving state once ``LEAVING_HOLD_S`` has passed since
        the endpoint last reported that it is leaving.
        """
        seen_s = self.leaving_seen_s
        if seen_s is not None and now_s - seen_s >= LEAVING_HOLD_S:
            self.leaving_seen_s = None


def assign_standings(views: list[EndpointView]) -> None:
    """Set the standing of the endpoints of one service version.

    At most half of those that are neither leaving nor known to refuse
    connections are withheld from new work on suspicion alone: if more look
    unhealthy, the cause is likely this entry's own network.
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
