"""Checks rules that concern several keys of a text."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator
import re

from godwitvalve.text import dependencies
from godwitvalve.text import errors
from godwitvalve.text import model
from godwitvalve.text import versions

_MAX_PORT = 65535
_HAS_BRACE = re.compile(r'[{}]')
_VARIABLE = re.compile(r'\{[A-Za-z0-9_]+\}')


def _duplicate_errors(
    values: Iterable[tuple[str, str]], what: str
) -> Iterator[errors.TextError]:
    """Yield an error for each value that occurred before.

    :param values: pairs of value and key path.
    """
    first: dict[str, str] = {}
    for value, path in values:
        if value in first:
            message = f'{what} {value} is used at {first[value]} too'
            yield errors.TextError(path, message)
        first.setdefault(value, path)


def _versions(
    text: model.Text,
) -> Iterator[tuple[str, model.ServiceText, model.VersionText]]:
    for service_name, service in text.services.items():
        for name, version in service.versions.items():
            path = f'services.{service_name}.versions.{name}'
            yield path, service, version


def _deadline_errors(text: model.Text) -> Iterator[errors.TextError]:
    for path, _, version in _versions(text):
        if version.done_by is None:
            continue
        try:
            versions.parse_done_by(version.done_by)
        except ValueError as error:
            message = f'not a time in RFC 3339 with an offset: {error}'
            yield errors.TextError(f'{path}.done_by', message)


def _order_errors(
    service_name: str, service: model.ServiceText
) -> Iterator[errors.TextError]:
    """Yield errors for versions whose order of moves is not determined."""
    by_deadline = collections.defaultdict(list)
    for name, version in service.versions.items():
        if not version.retire:
            by_deadline[versions.done_by_wall_s(version)].append(name)
    for deadline_s, names in by_deadline.items():
        message = (
            'several versions have no done_by, so their order is open'
            if deadline_s is None
            else 'another version has the same done_by'
        )
        for name in sorted(names)[1:]:
            path = f'services.{service_name}.versions.{name}.done_by'
            yield errors.TextError(path, message)


def _route_errors(
    path: str, listed: tuple[model.RouteText, ...]
) -> Iterator[errors.TextError]:
    """Yield errors for routes that are malformed or hidden by another one.

    Routes that differ only in the names of their variables are equal: the
    second one and its ``repeatable`` would never be used.
    """
    for index, route in enumerate(listed):
        segments = route.path.split('/')
        if any(map(_HAS_BRACE.search, filter(_is_fixed, segments))):
            message = 'a variable must be a whole segment, such as {id}'
            yield errors.TextError(f'{path}.{index}.path', message)
    yield from _duplicate_errors(
        (
            (
                f'{route.method} {_VARIABLE.sub("{}", route.path)}',
                f'{path}.{index}',
            )
            for index, route in enumerate(listed)
        ),
        'route',
    )


def _is_fixed(segment: str) -> bool:
    return not _VARIABLE.fullmatch(segment)


def _service_errors(text: model.Text) -> Iterator[errors.TextError]:
    for name, service in text.services.items():
        path = f'services.{name}'
        if all(version.retire for version in service.versions.values()):
            message = 'at least one version must not be retired'
            yield errors.TextError(f'{path}.versions', message)
        yield from _route_errors(f'{path}.routes', service.routes)


def _version_errors(text: model.Text) -> Iterator[errors.TextError]:
    for path, service, version in _versions(text):
        if service.kind == 'model' and not version.weights:
            message = 'a version of a model needs weights'
            yield errors.TextError(f'{path}.weights', message)
        if service.kind == 'plain' and (version.weights or version.adapter):
            message = 'a plain service has neither weights nor adapter'
            yield errors.TextError(f'{path}.weights', message)
        if version.discover and version.endpoints:
            message = 'endpoints are discovered, so none may be named'
            yield errors.TextError(f'{path}.endpoints', message)
        if not (version.discover or version.endpoints or version.retire):
            message = 'names no endpoint and does not discover any'
            yield errors.TextError(f'{path}.endpoints', message)


def _endpoint_errors(text: model.Text) -> Iterator[errors.TextError]:
    ids = []
    for path, _, version in _versions(text):
        addresses = []
        for index, endpoint in enumerate(version.endpoints):
            endpoint_path = f'{path}.endpoints.{index}'
            ids.append((endpoint.endpoint_id, f'{endpoint_path}.endpoint_id'))
            addresses.append((endpoint.address, f'{endpoint_path}.address'))
            if not 0 < int(endpoint.address.rpartition(':')[2]) <= _MAX_PORT:
                yield errors.TextError(
                    f'{endpoint_path}.address', 'port out of range'
                )
        yield from _duplicate_errors(addresses, 'address')
    yield from _duplicate_errors(ids, 'endpoint id')


def _key_errors(text: model.Text) -> Iterator[errors.TextError]:
    yield from _duplicate_errors(
        (
            (key_hash, f'client_accounts.{name}.key_hashes.{index}')
            for name, account in text.client_accounts.items()
            for index, key_hash in enumerate(account.key_hashes)
        ),
        'key hash',
    )


def find_errors(text: model.Text) -> list[errors.TextError]:
    """Return the errors that the schema of the text does not detect."""
    found = list(_deadline_errors(text))
    if not found:
        for name, service in text.services.items():
            found += _order_errors(name, service)
    found += _service_errors(text)
    found += _version_errors(text)
    found += _endpoint_errors(text)
    found += _key_errors(text)
    found += dependencies.find_errors(text)
    return found
