"""Typed model of the operators' text."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Literal, TypeAlias

import pydantic

# Limits prevent an erroneous text from exhausting the memory of an entry; each
# is several times the size that docs/CAPACITY.md plans for.
MAX_SERVICES = 256
MAX_VERSIONS = 32
MAX_ENDPOINTS = 10_000
MAX_ROUTES = 256
MAX_DEPENDENCIES = 64
MAX_ACCOUNTS = 8_192
MAX_KEYS = 16

STRICT = pydantic.ConfigDict(extra='forbid', strict=True)

Name: TypeAlias = Annotated[
    str, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$')
]
OptionalName: TypeAlias = Annotated[
    str, pydantic.Field(pattern=r'^([A-Za-z0-9][A-Za-z0-9_.-]{0,62})?$')
]
Address: TypeAlias = Annotated[
    str, pydantic.Field(pattern=r'^(\[[0-9A-Fa-f:]+\]|[0-9.]+):[0-9]{1,5}$')
]
Dependency: TypeAlias = Annotated[
    str, pydantic.Field(pattern=r'^[A-Za-z0-9_.-]+(/[A-Za-z0-9_.-]+)?$')
]
Method: TypeAlias = Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
Path: TypeAlias = Annotated[
    str,
    pydantic.Field(pattern=r'^/[A-Za-z0-9._~!$&*+,;=:@%{}/-]*$'),
    pydantic.Field(max_length=512),
]
KeyHash: TypeAlias = Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')]


@dataclasses.dataclass(frozen=True)
class EndpointText:
    """An endpoint named in the text.

    :param address: ``IP:port``.
    """

    endpoint_id: Name
    address: Address
    failure_domain: Name

    __pydantic_config__ = STRICT


@dataclasses.dataclass(frozen=True)
class VersionText:
    """One version of a service.

    :param weights: name in the weight store; empty for plain services.
    :param adapter: adapter that the engines load, or empty.
    :param checks_fencing: whether its engines reject old fencing numbers.
    :param done_by: time in RFC 3339 by which it takes all traffic, or None
        for the version that a service starts with.
    :param endpoints: named endpoints; empty if they are discovered.
    :param discover: whether the endpoints come from the platform's list.
    :param retire: whether the version accepts no new work and drains.
    """

    weights: OptionalName = ''
    adapter: OptionalName = ''
    checks_fencing: bool = False
    done_by: Annotated[str, pydantic.Field(max_length=64)] | None = None
    endpoints: Annotated[
        tuple[EndpointText, ...], pydantic.Field(max_length=MAX_ENDPOINTS)
    ] = ()
    discover: bool = False
    retire: bool = False

    __pydantic_config__ = STRICT


@dataclasses.dataclass(frozen=True)
class RouteText:
    """A route of a service.

    :param path: path in which ``{name}`` matches any single segment.
    :param repeatable: False if a request may run at most once.
    """

    method: Method
    path: Path
    repeatable: bool

    __pydantic_config__ = STRICT


@dataclasses.dataclass(frozen=True)
class ServiceText:
    """A service with its versions and routes.

    :param depends_on: names of services or ``service/version``.
    """

    kind: Literal['model', 'plain']
    versions: Annotated[
        dict[Name, VersionText], pydantic.Field(max_length=MAX_VERSIONS)
    ]
    depends_on: Annotated[
        tuple[Dependency, ...], pydantic.Field(max_length=MAX_DEPENDENCIES)
    ] = ()
    routes: Annotated[
        tuple[RouteText, ...], pydantic.Field(max_length=MAX_ROUTES)
    ] = ()

    __pydantic_config__ = STRICT


@dataclasses.dataclass(frozen=True)
class ClientAccountText:
    """Keys of a client account and its limits over all entries together.

    :param key_hashes: BLAKE2b-256 of each accepted key, in hex.
    :param priority: 0 (lowest) to 9 (highest).
    """

    key_hashes: Annotated[
        tuple[KeyHash, ...], pydantic.Field(min_length=1, max_length=MAX_KEYS)
    ]
    requests_per_s: Annotated[float, pydantic.Field(gt=0, le=1e6)]
    tokens_per_s: Annotated[float, pydantic.Field(gt=0, le=1e9)]
    concurrent: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 5

    __pydantic_config__ = STRICT


Services: TypeAlias = Annotated[
    dict[Name, ServiceText], pydantic.Field(max_length=MAX_SERVICES)
]
ClientAccounts: TypeAlias = Annotated[
    dict[Name, ClientAccountText], pydantic.Field(max_length=MAX_ACCOUNTS)
]


@dataclasses.dataclass(frozen=True)
class Text:
    """The operators' configuration text."""

    services: Services
    client_accounts: ClientAccounts = dataclasses.field(default_factory=dict)

    __pydantic_config__ = STRICT
