"""Decodes the configuration that operators store on the platform."""

from __future__ import annotations

import re
from typing import Any
from urllib import parse

import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.decoding import content as contents
from godwitvalve.fleet import routes
from godwitvalve.logs import setup as logs

TABLE = 'op'
KEY = 'config'

_KINDS = {
    'idempotent': routes.RequestKind.REPEATABLE,
    'non_idempotent': routes.RequestKind.ONCE,
    'streaming': routes.RequestKind.STREAM,
}


class InvalidConfiguration(Exception):
    """The stored configuration cannot be decoded."""


class _Split(msgspec.Struct):
    service: str
    weight: bounds.Number


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: bounds.Number
    target_latency_ms: bounds.Number
    # 0 is the most urgent.
    priority: bounds.Integer = 5
    service: str | None = None
    traffic_split: list[_Split] = []
    # Limits the number of endpoints tried, not the attempts at each.
    max_attempts: bounds.Integer = 1
    public: bool = False
    stream_resume: bool = False
    gap_target_ms: bounds.Number = 0.0


class _Engine(msgspec.Struct):
    # Whether an endpoint stores backups of the KV cache of requests that
    # run at other endpoints.
    backups: bool = False
    # Only bound the streams that are sent; odd ones must not cost the rest.
    slots: Any = None
    kv_capacity_tokens: Any = None
    stride: Any = None


class _Service(msgspec.Struct):
    name: str
    health_path: str = '/'
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_body_bytes: bounds.Integer = 4194304
    # Only prolongs the life of connections; an odd one must not cost the rest.
    idle_timeout_ms: Any = 0.0


class _Tenant(msgspec.Struct):
    name: str
    # None as well as an empty list: the account holds no key.
    api_keys: list[str] | None = None
    priority: bounds.Integer | None = None


class _Configuration(msgspec.Struct):
    version: bounds.Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # None if the configuration states no client accounts at all.
    tenants: list[_Tenant] | None = None


_DECODER = msgspec.json.Decoder(_Configuration)
# No control characters, and no blanks at its ends.
_HEADER_VALUE = re.compile(
    r'(?:[^\x00-\x20\x7f](?:[^\x00-\x08\x0a-\x1f\x7f]*[^\x00-\x20\x7f])?)?'
)
MAX_LOGGED_CHARS = 80

_LOG = logs.get('configuration')


def _route(raw: _Route) -> routes.Route:
    services = tuple(
        routes.WeightedService(split.service, split.weight)
        for split in raw.traffic_split
        if split.weight > 0
    )
    if not services and raw.service is not None:
        services = (routes.WeightedService(raw.service, 1.0),)
    return routes.Route(
        raw.name,
        raw.host,
        raw.prefix,
        _KINDS.get(raw.kind, routes.RequestKind.ONCE),
        raw.timeout_ms,
        raw.target_latency_ms,
        raw.priority,
        services,
        raw.max_attempts,
        raw.public,
        raw.stream_resume,
        raw.gap_target_ms,
    )


def _service(raw: _Service) -> routes.ServiceConfig:
    engine = None
    if raw.engine is not None:
        engine = routes.EngineConfig(
            raw.engine.backups,
            _engine_count('slots', raw.engine.slots, bounds.Slots),
            _engine_count(
                'kv_capacity_tokens',
                raw.engine.kv_capacity_tokens,
                bounds.Tokens,
            ),
            _engine_count('stride', raw.engine.stride, bounds.Slots),
        )
    return routes.ServiceConfig(raw.name, raw.health_path, engine)


def _engine_count(name: str, value: object, kind: Any) -> int | None:
    """Return a count of the engines; None if it is absent or invalid."""
    if value is None:
        return None
    try:
        return int(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        _LOG.warning(
            'Capacity of engines is not used.',
            extra={'field': name, 'reason': str(error)},
        )
        return None


def _idle_s(limit_ms: object) -> float:
    try:
        return msgspec.convert(limit_ms, bounds.Amount) / 1000
    except msgspec.ValidationError as error:
        _LOG.warning(
            'Limit of idle connections is not used.',
            extra={'reason': str(error)},
        )
        return 0.0


def _sendable_name(name: str) -> str:
    """Return the name of a client account as endpoints are told it.

    A name that no header can hold is percent-encoded.
    """
    if _HEADER_VALUE.fullmatch(name):
        return name
    sendable = parse.quote(name)
    _LOG.warning(
        'Name of a client account is sent percent-encoded.',
        extra={'account': sendable[:MAX_LOGGED_CHARS]},
    )
    return sendable


def _accounts(
    tenants: list[_Tenant] | None,
) -> dict[str, routes.AccountConfig] | None:
    if tenants is None:
        return None
    return {
        key: routes.AccountConfig(_sendable_name(tenant.name), tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys or ()
    }


def decode(content: bytes) -> routes.Configuration:
    """Decode a configuration.

    :raises InvalidConfiguration: if the content is not JSON, or if fields
        are missing, of another type or out of range.
    """
    try:
        raw = contents.decode(_DECODER, content)
    except contents.InvalidContent as error:
        raise InvalidConfiguration(str(error)) from error
    return routes.Configuration(
        raw.version,
        [_route(route) for route in raw.routes],
        [_service(service) for service in raw.services],
        _accounts(raw.tenants),
        routes.CallerLimits(
            raw.limits.max_body_bytes,
            _idle_s(raw.limits.idle_timeout_ms),
        ),
        content,
    )
