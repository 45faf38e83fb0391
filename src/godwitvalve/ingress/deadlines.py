"""Computes the deadlines of requests."""

from __future__ import annotations

from godwitvalve.fleet import routes
from godwitvalve.platform import headers as wire

# Answers are sent this long before the time limit of the route, so that they
# reach the caller in time.
ANSWER_MARGIN_S = 0.03


def answer_by_s(
    route: routes.Route, facts: wire.CallerFacts, arrived_s: float
) -> float:
    """Return when the answer to a request that arrived has to be sent."""
    limit_ms = min(route.limit_ms, facts.wait_ms or route.limit_ms)
    return arrived_s + limit_ms / 1000 - ANSWER_MARGIN_S
