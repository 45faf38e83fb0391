"""Splits the text into parts that are stored by content hash."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import dataclasses
import hashlib
from typing import NamedTuple

import orjson
import pydantic

from godwitvalve.text import model

HASH_BYTES = 32
MAX_PART_BYTES = 4 * 1024 * 1024
# 830 client accounts give groups of about 26 accounts, some 5 KB per part.
ACCOUNT_GROUPS = 32

_SERVICE = 'service/'
_ACCOUNTS = 'accounts/'


class PartError(Exception):
    """A part is missing, malformed or does not match its name or hash."""


@dataclasses.dataclass(frozen=True)
class PartBody:
    """Contents of a part: one service or one group of client accounts."""

    services: model.Services = dataclasses.field(default_factory=dict)
    client_accounts: model.ClientAccounts = dataclasses.field(
        default_factory=dict
    )

    __pydantic_config__ = model.STRICT


class Part(NamedTuple):
    """A part in its canonical serialized form."""

    name: str
    content_hash: str
    body: bytes


_ADAPTER = pydantic.TypeAdapter(PartBody)


def content_hash(body: bytes) -> str:
    """Return the BLAKE2b-256 of a part in hex."""
    return hashlib.blake2b(body, digest_size=HASH_BYTES).hexdigest()


def object_key(part_hash: str) -> str:
    """Return the key of a part in the object store."""
    return f'parts-{part_hash}'


def service_part(service: str) -> str:
    """Return the name of the part that holds a service."""
    return _SERVICE + service


def accounts_part(account: str) -> str:
    """Return the name of the part that holds a client account."""
    seed = hashlib.blake2b(account.encode(), digest_size=4).digest()
    group = int.from_bytes(seed, 'big') % ACCOUNT_GROUPS
    return f'{_ACCOUNTS}{group:02}'


def serialize(body: PartBody) -> bytes:
    """Return the canonical form, with sorted keys and without defaults."""
    plain = _ADAPTER.dump_python(body, mode='json', exclude_defaults=True)
    return orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)


def _part(name: str, body: PartBody) -> Part:
    serialized = serialize(body)
    return Part(name, content_hash(serialized), serialized)


def split(text: model.Text) -> dict[str, Part]:
    """Return the parts of a text by name."""
    groups: dict[str, dict[str, model.ClientAccountText]] = {}
    for name, account in text.client_accounts.items():
        groups.setdefault(accounts_part(name), {})[name] = account
    bodies = {
        service_part(name): PartBody(services={name: service})
        for name, service in text.services.items()
    } | {
        name: PartBody(client_accounts=group) for name, group in groups.items()
    }
    return {name: _part(name, body) for name, body in bodies.items()}


def _belongs(name: str, body: PartBody) -> bool:
    names = {service_part(service) for service in body.services}
    names |= {accounts_part(account) for account in body.client_accounts}
    return names == {name}


def parse(name: str, part_hash: str, serialized: bytes) -> PartBody:
    """Check and parse one part.

    :param name: name of the part in the head.
    :param part_hash: content hash that the head gives.
    :raises PartError: if the size, the hash or the contents are invalid.
    """
    if len(serialized) > MAX_PART_BYTES:
        raise PartError(f'{name}: larger than {MAX_PART_BYTES} bytes')
    if content_hash(serialized) != part_hash:
        raise PartError(f'{name}: content hash differs')
    try:
        body = _ADAPTER.validate_json(serialized)
    except pydantic.ValidationError as error:
        raise PartError(f'{name}: {error.error_count()} errors') from error
    if not _belongs(name, body):
        raise PartError(f'{name}: holds something else')
    return body


def join(bodies: Iterable[PartBody]) -> model.Text:
    """Return the text that consists of the given parts."""
    services: dict[str, model.ServiceText] = {}
    accounts: dict[str, model.ClientAccountText] = {}
    for body in bodies:
        services |= body.services
        accounts |= body.client_accounts
    return model.Text(services, accounts)


def join_serialized(
    hashes: Mapping[str, str], bodies: Mapping[str, bytes]
) -> model.Text:
    """Return the text that consists of the given serialized parts.

    :param hashes: content hash of each part by name, from the head.
    :param bodies: serialized parts by content hash.
    :raises PartError: if a part is missing or invalid.
    """
    missing = [name for name, item in hashes.items() if item not in bodies]
    if missing:
        raise PartError(f'missing: {", ".join(missing)}')
    return join(
        parse(name, item, bodies[item]) for name, item in hashes.items()
    )
