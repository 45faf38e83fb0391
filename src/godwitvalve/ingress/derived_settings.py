"""Derives the values that the parts of an entry use from its settings."""

from __future__ import annotations

from collections import abc

from godwitvalve.fleet import sources
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import endpoints as wire_endpoints
from godwitvalve.platform import settings as wire_settings
from godwitvalve.platform import store as stores
from godwitvalve.rollouts import orders as rollout_orders

# Part of the time limit of a configuration that is left once an entry has
# read it: a heartbeat, the next comparison of versions and two reads.
CONFIGURATION_SPREAD_S = 1.0
MIN_CONFIGURATION_WAIT_S = 0.5
# Part of the time limits of a leaving endpoint that is left once an entry has
# given up a silent poll: a pause of 0.1 s, an answer of a degraded store in
# 0.24 s, a heartbeat in 0.25 s, the wait before its receiver checks its own
# poll and the period of the check, 0.35 s, another such answer, and 0.3 s for
# a busy processor.
ENDPOINT_SPREAD_S = 1.5
MIN_ENDPOINT_WAIT_S = 0.5
# Share of the allowed retries that the entries use; the rest covers clock and
# count differences between them.
RETRY_BUDGET_SHARE = 0.6


def exposure_limits(
    settings: wire_settings.FleetSettings,
) -> rollout_orders.ExposureLimits:
    """Return the limit on the requests to a bad version."""
    return rollout_orders.ExposureLimits(
        settings.exposure_share, settings.exposure_slack
    )


def retries_per_request(settings: wire_settings.FleetSettings) -> float:
    """Return how many retries the first attempt of a request earns."""
    return settings.retry_budget_ratio * RETRY_BUDGET_SHARE


def longest_waits_s(
    settings: wire_settings.FleetSettings,
) -> abc.Mapping[str, float]:
    """Return the longest wait for changes by table, in seconds."""
    limit_s = settings.configuration_limit_ms / 1000
    # Longest time from the loss of an answer until the last entry has read
    # what the store confirmed afterwards.
    silence_s = (settings.contact_limit_ms + settings.drain_limit_ms) / 1000
    endpoint_wait_s = (
        silence_s - ENDPOINT_SPREAD_S - stores.FEED_TIMEOUT_MARGIN_S
    )
    return {
        wire_configuration.TABLE: max(
            limit_s - CONFIGURATION_SPREAD_S, MIN_CONFIGURATION_WAIT_S
        ),
        wire_endpoints.TABLE: min(
            max(endpoint_wait_s, MIN_ENDPOINT_WAIT_S), sources.STORE_WAIT_S
        ),
    }
