"""Endpoints of every version, from the text and the platform's list."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from godwitvalve.configuration import in_force
from godwitvalve.generations import plan
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import subset
from godwitvalve.store import port

# Endpoints of one service version that one entry uses. At full size a
# model has about 320 replicas.
SUBSET_SIZE = 24
# A version that left the text keeps its endpoints for as long as a
# generation that began on it may run.
REMOVED_GRACE_S = plan.DEFAULT_DEADLINE_S

_Group = tuple[str, str]


class EndpointList(NamedTuple):
    """Endpoints that exist now, and those that are leaving."""

    endpoints: tuple[endpoint_model.Endpoint, ...]
    leaving_ids: frozenset[str]


class EndpointTable:
    """Joins text and list; remembers versions that were removed."""

    def __init__(self) -> None:
        self._removed: dict[
            _Group, tuple[float, tuple[endpoint_model.Endpoint, ...]]
        ] = {}
        self._present: dict[_Group, tuple[endpoint_model.Endpoint, ...]] = {}

    def join(
        self,
        configuration: in_force.InForceConfiguration,
        listed: Sequence[port.ListedInstance],
        now_s: float,
    ) -> EndpointList:
        """Return the endpoints of all versions, removed ones included.

        :param now_s: monotonic seconds.
        """
        discovered: dict[_Group, list[port.ListedInstance]] = {}
        for item in listed:
            if item.kind == 'endpoint':
                group = (item.service, item.version)
                discovered.setdefault(group, []).append(item)
        present = {
            (service.name, version.name): _endpoints(version, discovered)
            for service in configuration.services.values()
            for version in service.versions
        }
        self._remember(present, now_s)
        kept = (found for _, found in self._removed.values())
        leaving = frozenset(
            item.instance_id
            for item in listed
            if item.kind == 'endpoint' and item.state == 'leaving'
        )
        endpoints = tuple(
            endpoint
            for group in (*present.values(), *kept)
            for endpoint in group
        )
        return EndpointList(endpoints, leaving)

    def _remember(
        self,
        present: Mapping[_Group, tuple[endpoint_model.Endpoint, ...]],
        now_s: float,
    ) -> None:
        until_s = now_s + REMOVED_GRACE_S
        for group, endpoints in self._present.items():
            if group not in present:
                self._removed[group] = (until_s, endpoints)
        self._removed = {
            group: kept
            for group, kept in self._removed.items()
            if group not in present and now_s < kept[0]
        }
        self._present = dict(present)


def _endpoints(
    version: in_force.VersionInForce,
    discovered: Mapping[_Group, Iterable[port.ListedInstance]],
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


def choose_used(
    entry_id: str,
    endpoints: Iterable[endpoint_model.Endpoint],
    carriers: Mapping[_Group, Sequence[str]],
) -> list[endpoint_model.Endpoint]:
    """Return the endpoints that an entry keeps in touch with.

    :param carriers: endpoint ids that carry a share of a move; every entry
        uses those.
    """
    groups: dict[_Group, list[endpoint_model.Endpoint]] = {}
    for item in endpoints:
        groups.setdefault((item.service, item.version), []).append(item)
    used = []
    for group, items in groups.items():
        chosen = subset.subset(entry_id, items, SUBSET_SIZE)
        ids = {item.endpoint_id for item in chosen}
        extra = set(carriers.get(group, ())) - ids
        used += chosen
        used += [item for item in items if item.endpoint_id in extra]
    return used
