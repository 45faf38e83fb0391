"""The configuration in force, indexed for look-ups per request."""

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


@dataclasses.dataclass(frozen=True)
class VersionInForce:
    """One version of a service.

    :param digest: digest that identifies the move to this version.
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

    :param versions: all versions including retired ones, sorted by
        ``done_by``.
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
    """All data of one revision that admission decisions need.

    :param bodies: parsed parts by content hash, reused by the next revision.
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
        """Return the client account of a caller's key, or None."""
        return self.accounts_by_key_hash.get(hash_key(key))


def hash_key(key: str) -> str:
    """Return the hash of a caller's key in the form used by the text."""
    raw = key.encode(errors='surrogateescape')
    return hashlib.blake2b(raw, digest_size=32).hexdigest()
