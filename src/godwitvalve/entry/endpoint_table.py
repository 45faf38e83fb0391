"""Endpoints of all versions, from the text and the platform's list."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from godwitvalve.configuration import in_force
from godwitvalve.generations import plan
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import subset
from godwitvalve.store import port

# Endpoints of one service version that one entry uses, of the about 320
# that a model has at full size.
SUBSET_SIZE = 24
# The endpoints of a version that was removed from the text stay for the
# longest time that a generation on it may still run.
REMOVED_GRACE_S = plan.DEFAULT_DEADLINE_S

_VersionKey = tuple[str, str]


class EndpointList(NamedTuple):
    """Endpoints of all versions and the ids of those that are leaving."""

    endpoints: tuple[endpoint_model.Endpoint, ...]
    leaving_ids: frozenset[str]


class EndpointTable:
    """Combines the text with the platform's list.

    The endpoints of a removed version are retained for REMOVED_GRACE_S.
    """

    def __init__(self) -> None:
        self._removed: dict[
            _VersionKey, tuple[float, tuple[endpoint_model.Endpoint, ...]]
        ] = {}
        self._current: dict[
            _VersionKey, tuple[endpoint_model.Endpoint, ...]
        ] = {}

    def join(
        self,
        configuration: in_force.InForceConfiguration,
        listed: Sequence[port.ListedInstance],
        now_s: float,
    ) -> EndpointList:
        """Return the endpoints of all versions, retained ones included.

        :param listed: instances that the platform lists.

        :param now_s: monotonic seconds.
        """
        discovered: dict[_VersionKey, list[port.ListedInstance]] = {}
        for item in listed:
            if item.kind == 'endpoint':
                group = (item.service, item.version)
                discovered.setdefault(group, []).append(item)
        current = {
            (service.name, version.name): _endpoints(version, discovered)
            for service in configuration.services.values()
            for version in service.versions
        }
        self._retain_removed(current, now_s)
        retained = (found for _, found in self._removed.values())
        leaving = frozenset(
            item.instance_id
            for item in listed
            if item.kind == 'endpoint' and item.state == 'leaving'
        )
        endpoints = tuple(
            endpoint
            for group in (*current.values(), *retained)
            for endpoint in group
        )
        return EndpointList(endpoints, leaving)

    def _retain_removed(
        self,
        current: Mapping[_VersionKey, tuple[endpoint_model.Endpoint, ...]],
        now_s: float,
    ) -> None:
        until_s = now_s + REMOVED_GRACE_S
        for group, endpoints in self._current.items():
            if group not in current:
                self._removed[group] = (until_s, endpoints)
        self._removed = {
            group: retained
            for group, retained in self._removed.items()
            if group not in current and now_s < retained[0]
        }
        self._current = dict(current)


def _endpoints(
    version: in_force.VersionInForce,
    discovered: Mapping[_VersionKey, Iterable[port.ListedInstance]],
) -> tuple[endpoint_model.Endpoint, ...]:
    if not version.text.discover:
        return version.endpoints
    return tuple(
        endpoint_model.Endpoint(
            item.instance_id,
            item.address,
            item.failure_domain,
            version.service,
            version.name,
            version.text.checks_fencing,
        )
        for item in discovered.get((version.service, version.name), ())
    )


def select_endpoints(
    entry_id: str,
    endpoints: Iterable[endpoint_model.Endpoint],
    canary_endpoints: Mapping[_VersionKey, Sequence[str]],
) -> list[endpoint_model.Endpoint]:
    """Return the endpoints that an entry sends requests to and polls.

    :param canary_endpoints: endpoint ids that get the share of a moving
        version; every entry uses those.
    """
    groups: dict[_VersionKey, list[endpoint_model.Endpoint]] = {}
    for item in endpoints:
        groups.setdefault((item.service, item.version), []).append(item)
    used = []
    for group, items in groups.items():
        chosen = subset.subset(entry_id, items, SUBSET_SIZE)
        ids = {item.endpoint_id for item in chosen}
        extra = set(canary_endpoints.get(group, ())) - ids
        used += chosen
        used += [item for item in items if item.endpoint_id in extra]
    return used
