"""Derives the values that the parts of an entry use from its settings."""

from __future__ import annotations

from collections import abc

from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import settings as wire_settings
from godwitvalve.rollouts import orders as rollout_orders

# Part of the time limit of a configuration that is left once an entry has
# read it: a heartbeat, the next comparison of versions and two reads.
CONFIGURATION_SPREAD_S = 1.0
MIN_CONFIGURATION_WAIT_S = 0.5
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
    return {
        wire_configuration.TABLE: max(
            limit_s - CONFIGURATION_SPREAD_S, MIN_CONFIGURATION_WAIT_S
        )
    }
