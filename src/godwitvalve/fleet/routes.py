"""Routes, services and client accounts of a configuration."""

from __future__ import annotations

from collections import abc
import enum
import itertools
from typing import NamedTuple


class RequestKind(enum.Enum):
    """Kind of a request, which decides whether it may be repeated."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Handling of requests to a host and path prefix.

    :param limit_ms: timeout of a request.
    :param objective_ms: latency objective of an answer, or of the first
        event of a stream.
    :param max_endpoints: number of endpoints that may run one request.
    :param is_resumable: whether a stream may resume at another endpoint.
    :param max_gap_ms: objective for the time between events.
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
    """Features of the engines of a model service.

    :param slots: streams that one engine runs at the same time; None if not
        stated.
    :param kv_capacity_tokens: tokens that the memory of one engine holds;
        None if not stated.
    :param stride: output tokens per event; None if not stated.
    """

    has_backups: bool
    slots: int | None = None
    kv_capacity_tokens: int | None = None
    stride: int | None = None


class ServiceConfig(NamedTuple):
    """A service and what its endpoints have in common."""

    name: str
    health_path: str
    engine: EngineConfig | None


class AccountConfig(NamedTuple):
    """A client account; ``priority`` is None if the route decides."""

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """Limits of requests.

    :param idle_s: seconds for which a connection may stay idle.
    """

    max_body_bytes: int
    idle_s: float = 0.0


class Configuration:
    """An accepted, immutable configuration.

    :param version: increases with each configuration.
    :param accounts: client accounts by key; None if callers need no key.
        Accounts that hold no key at all leave callers without a valid one.
    :param source: the bytes that it was decoded from.
    """

    def __init__(
        self,
        version: int,
        routes: abc.Iterable[Route],
        services: abc.Iterable[ServiceConfig],
        accounts: abc.Mapping[str, AccountConfig] | None,
        limits: CallerLimits,
        source: bytes,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.source = source
        self._requires_key = accounts is not None
        self._accounts = dict(accounts or {})
        # HTTP compares names of hosts without regard to case.
        ordered = sorted(
            routes, key=lambda route: (route.host.lower(), -len(route.prefix))
        )
        self._routes = {
            host: tuple(group)
            for host, group in itertools.groupby(
                ordered, key=lambda route: route.host.lower()
            )
        }

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        return next(
            (
                route
                for route in self._routes.get(host.lower(), ())
                if path.startswith(route.prefix)
            ),
            None,
        )

    def account(self, key: str) -> AccountConfig | None:
        """Return the client account that holds a key.

        :param key: empty if the caller sent none, which no account holds,
            even if an empty text is listed among its keys.
        """
        return self._accounts.get(key) if key else None

    def account_named(self, name: str) -> AccountConfig | None:
        """Return the client account of a name."""
        return next(
            (each for each in self._accounts.values() if each.name == name),
            None,
        )

    def has_host(self, host: str) -> bool:
        """Tell whether a host has any route."""
        return host.lower() in self._routes

    @property
    def requires_key(self) -> bool:
        """Return whether callers must send a key."""
        return self._requires_key
