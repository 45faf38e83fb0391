"""Builds an in-force configuration from a head and its parts."""

from __future__ import annotations

from collections.abc import Mapping

from godwitvalve.configuration import in_force
from godwitvalve.routing import endpoint
from godwitvalve.text import dependencies
from godwitvalve.text import head as text_head
from godwitvalve.text import model
from godwitvalve.text import parts
from godwitvalve.text import versions


def _version(
    service: str,
    name: str,
    version: model.VersionText,
    starts: Mapping[str, text_head.VersionStart],
) -> in_force.VersionInForce:
    digest = versions.digest(version)
    start = starts.get(f'{service}/{name}')
    return in_force.VersionInForce(
        service=service,
        name=name,
        text=version,
        digest=digest,
        started_wall_s=start.started_wall_s if start else 0.0,
        done_by_wall_s=versions.done_by_wall_s(version),
        endpoints=tuple(
            endpoint.Endpoint(
                endpoint_id=item.endpoint_id,
                address=item.address,
                failure_domain=item.failure_domain,
                service=service,
                version=name,
                checks_fencing=version.checks_fencing,
            )
            for item in version.endpoints
        ),
    )


def _service(
    name: str,
    text: model.ServiceText,
    starts: Mapping[str, text_head.VersionStart],
) -> in_force.ServiceInForce:
    return in_force.ServiceInForce(
        name=name,
        kind=text.kind,
        text=text,
        versions=tuple(
            _version(name, version, text.versions[version], starts)
            for version in versions.ordered(text)
        ),
        depends_on=tuple(map(dependencies.parse, text.depends_on)),
    )


def _is_same(
    old: in_force.ServiceInForce,
    text: model.ServiceText,
    starts: Mapping[str, text_head.VersionStart],
) -> bool:
    """Tell whether a service is unchanged and can be reused.

    Unchanged parts are not parsed again, so an unchanged service has the
    same text object.
    """
    return old.text is text and all(
        version.started_wall_s
        == starts[f'{old.name}/{version.name}'].started_wall_s
        for version in old.versions
        if f'{old.name}/{version.name}' in starts
    )


def _account(
    name: str,
    text: model.ClientAccountText,
    old: in_force.InForceConfiguration | None,
) -> in_force.ClientAccountInForce:
    before = old.client_accounts.get(name) if old else None
    if before and before.text is text:
        return before
    return in_force.ClientAccountInForce(name, text)


def build(
    head: text_head.Head,
    bodies: Mapping[str, parts.PartBody],
    old: in_force.InForceConfiguration | None = None,
) -> in_force.InForceConfiguration:
    """Return the configuration of a head.

    :param bodies: parsed parts by content hash; parts that ``old`` contains
        must be the same objects, or their services are built again.
    :param old: configuration whose unchanged services and client accounts
        are reused.
    """
    text = parts.join(bodies[item] for item in head.parts.values())
    services = {}
    for name, service in text.services.items():
        before = old.services.get(name) if old else None
        if before and _is_same(before, service, head.version_starts):
            services[name] = before
        else:
            services[name] = _service(name, service, head.version_starts)
    accounts = {
        name: _account(name, account, old)
        for name, account in text.client_accounts.items()
    }
    return in_force.InForceConfiguration(
        head=head,
        services=services,
        client_accounts=accounts,
        accounts_by_key_hash={
            key_hash: account
            for account in accounts.values()
            for key_hash in account.text.key_hashes
        },
        bodies={item: bodies[item] for item in head.parts.values()},
    )
