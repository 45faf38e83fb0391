"""Routes, client accounts and endpoints that a configuration names."""

from __future__ import annotations

from collections import abc
import enum
import itertools
from typing import NamedTuple


class RequestKind(enum.Enum):
    """What may be repeated."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests to a host and path prefix are handled.

    :param limit_ms: longest time that a request may take here.
    :param objective_ms: time within which an answer is in time; for a
        stream, its first event.
    :param max_endpoints: endpoints that may run one request.
    :param is_resumable: whether a stream may go on at another endpoint.
    :param max_gap_ms: longest pause between events that is in time.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    limit_ms: float
    objective_ms: float
    priority: int
    services: tuple[WeightedService, ...]
    max_endpoints: int
    is_public: bool
    is_resumable: bool
    max_gap_ms: float


class EngineConfig(NamedTuple):
    """What the endpoints of a model service offer."""

    has_backups: bool


class ServiceConfig(NamedTuple):
    """What the endpoints of a service have in common."""

    name: str
    health_path: str
    engine: EngineConfig | None


class AccountConfig(NamedTuple):
    """A client account; ``priority`` is None if its routes decide."""

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """Bounds on what callers may send."""

    max_body_bytes: int


class Configuration:
    """One accepted configuration; it never changes.

    :param version: grows from each configuration to the next.
    :param source: the bytes that it was decoded from.
    """

    def __init__(
        self,
        version: int,
        routes: abc.Iterable[Route],
        services: abc.Iterable[ServiceConfig],
        accounts: abc.Mapping[str, AccountConfig],
        limits: CallerLimits,
        source: bytes,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.source = source
        self._accounts = dict(accounts)
        ordered = sorted(
            routes, key=lambda route: (route.host, -len(route.prefix))
        )
        self._routes = {
            host: tuple(group)
            for host, group in itertools.groupby(
                ordered, key=lambda route: route.host
            )
        }

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        return next(
            (
                route
                for route in self._routes.get(host, ())
                if path.startswith(route.prefix)
            ),
            None,
        )

    def account(self, key: str) -> AccountConfig | None:
        """Return the client account that holds a key."""
        return self._accounts.get(key)

    @property
    def has_accounts(self) -> bool:
        """Tell whether callers must send a key."""
        return bool(self._accounts)
