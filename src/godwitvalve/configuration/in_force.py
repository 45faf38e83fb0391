"""The configuration in force, with fast look-ups."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import functools
import hashlib

from godwitvalve.configuration import routes
from godwitvalve.routing import endpoint
from godwitvalve.text import dependencies
from godwitvalve.text import head as text_head
from godwitvalve.text import model
from godwitvalve.text import parts
from godwitvalve.text import versions


@dataclasses.dataclass(frozen=True)
class VersionInForce:
    """One version of a service.

    :param digest: identifies the move to this version.
    :param started_wall_s: Unix seconds at which its move started.
    :param done_by_wall_s: Unix seconds, None for a first version.
    :param endpoints: named endpoints; empty if they are discovered.
    """

    service: str
    name: str
    text: model.VersionText
    digest: str
    started_wall_s: float
    done_by_wall_s: float | None
    endpoints: tuple[endpoint.Endpoint, ...]

    @property
    def move_id(self) -> str:
        """Identity of the move to this version."""
        return f'{self.service}/{self.name}/{self.digest}'


@dataclasses.dataclass(frozen=True)
class ServiceInForce:
    """A service.

    :param versions: all versions, retired ones too, by ``done_by``.
    """

    name: str
    kind: str
    text: model.ServiceText
    versions: tuple[VersionInForce, ...]
    depends_on: tuple[dependencies.Dependency, ...]

    @functools.cached_property
    def by_version(self) -> Mapping[str, VersionInForce]:
        """Versions by name."""
        return {version.name: version for version in self.versions}

    @functools.cached_property
    def _routes(self) -> routes.RouteTable:
        return routes.RouteTable(self.text.routes)

    def version(self, name: str) -> VersionInForce | None:
        """Return a version or None."""
        return self.by_version.get(name)

    def route(self, method: str, path: str) -> model.RouteText | None:
        """Return the route of a request path, or None if none is listed.

        :param path: path below the service, without the query.
        """
        return self._routes.find(method, path)


@dataclasses.dataclass(frozen=True)
class ClientAccountInForce:
    """A client account with its limits."""

    name: str
    text: model.ClientAccountText


@dataclasses.dataclass(frozen=True)
class InForceConfiguration:
    """Everything that an admission needs to know of one revision.

    :param bodies: parsed parts by content hash, kept for the next revision.
    """

    head: text_head.Head
    services: Mapping[str, ServiceInForce]
    client_accounts: Mapping[str, ClientAccountInForce]
    accounts_by_key_hash: Mapping[str, ClientAccountInForce]
    bodies: Mapping[str, parts.PartBody]

    @property
    def revision(self) -> int:
        """Revision of the text."""
        return self.head.revision

    def service(self, name: str) -> ServiceInForce | None:
        """Return a service or None."""
        return self.services.get(name)

    def account_for_key(self, key: str) -> ClientAccountInForce | None:
        """Return the client account that a caller's key belongs to."""
        return self.accounts_by_key_hash.get(hash_key(key))


def hash_key(key: str) -> str:
    """Return the hash of a caller's key as the text gives it."""
    raw = key.encode(errors='surrogateescape')
    return hashlib.blake2b(raw, digest_size=32).hexdigest()


def _version(
    service: str,
    name: str,
    version: model.VersionText,
    starts: Mapping[str, text_head.VersionStart],
) -> VersionInForce:
    digest = versions.digest(version)
    start = starts.get(f'{service}/{name}')
    return VersionInForce(
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
) -> ServiceInForce:
    return ServiceInForce(
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
    old: ServiceInForce,
    text: model.ServiceText,
    starts: Mapping[str, text_head.VersionStart],
) -> bool:
    """Tell whether a service can be taken over as it is.

    Unchanged parts are not parsed again, so their texts are identical.
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
    old: InForceConfiguration | None,
) -> ClientAccountInForce:
    before = old.client_accounts.get(name) if old else None
    if before and before.text is text:
        return before
    return ClientAccountInForce(name, text)


def build(
    head: text_head.Head,
    bodies: Mapping[str, parts.PartBody],
    old: InForceConfiguration | None = None,
) -> InForceConfiguration:
    """Return the configuration of a head.

    :param bodies: parsed parts by content hash; parts that ``old`` holds
        must be the same objects.
    :param old: configuration whose unchanged services are taken over.
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
    return InForceConfiguration(
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
