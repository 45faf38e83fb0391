"""The head row: the accepted revision and the hashes of its parts."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
from typing import Any, NamedTuple

import msgpack

from godwitvalve.text import model
from godwitvalve.text import parts
from godwitvalve.text import versions

TABLE = 'config'
KEY = 'head'
MAX_HEAD_BYTES = 256 * 1024
# An apply whose answer was lost recognises its write by its nonce, as long as
# fewer texts than this have been accepted after it.
MAX_NONCES = 16


class HeadError(Exception):
    """The value is not a valid head row."""


class VersionStart(NamedTuple):
    """Start time of the move to a version, identified by its digest."""

    digest: str
    started_wall_s: float


@dataclasses.dataclass(frozen=True)
class Head:
    """Revision of the accepted text and references to its parts.

    :param revision: number of the text, equal to the row's version.
    :param accepted_wall_s: Unix seconds at which the text was submitted.
    :param nonces: nonces of this apply and of earlier ones, newest first.
    :param parts: content hash of each part by name.
    :param version_starts: start of each move by ``service/version``.
    """

    revision: int
    accepted_wall_s: float
    nonces: tuple[str, ...]
    parts: Mapping[str, str]
    version_starts: Mapping[str, VersionStart]


def _starts(
    text: model.Text, base: Head | None, now_wall_s: float
) -> dict[str, VersionStart]:
    base_starts = base.version_starts if base else {}
    starts = {}
    for service_name, service in text.services.items():
        for name, version in service.versions.items():
            key = f'{service_name}/{name}'
            digest = versions.digest(version)
            start = base_starts.get(key)
            if start is None or start.digest != digest:
                start = VersionStart(digest, now_wall_s)
            starts[key] = start
    return starts


def next_head(
    base: Head | None,
    text: model.Text,
    split: Mapping[str, parts.Part],
    nonce: str,
    now_wall_s: float,
) -> Head:
    """Return the head of a text that replaces the text of a base.

    :param base: head that the text was written against, if any.
    :param split: parts of the text by name.
    :param nonce: random string by which this apply recognises its write.
    :param now_wall_s: Unix seconds.
    """
    earlier = base.nonces if base else ()
    return Head(
        revision=(base.revision if base else 0) + 1,
        accepted_wall_s=now_wall_s,
        nonces=(nonce, *earlier)[:MAX_NONCES],
        parts={name: part.content_hash for name, part in split.items()},
        version_starts=_starts(text, base, now_wall_s),
    )


def encode(head: Head) -> bytes:
    """Return the value of the head row; equal heads encode equally."""
    packed: bytes = msgpack.packb(
        {
            'revision': head.revision,
            'accepted_wall_s': head.accepted_wall_s,
            'nonces': list(head.nonces),
            'parts': {
                name: bytes.fromhex(part_hash)
                for name, part_hash in sorted(head.parts.items())
            },
            'version_starts': {
                name: [bytes.fromhex(start.digest), start.started_wall_s]
                for name, start in sorted(head.version_starts.items())
            },
        }
    )
    return packed


def _start(raw: list[Any]) -> VersionStart:
    digest, started_wall_s = raw
    return VersionStart(bytes(digest).hex(), float(started_wall_s))


def _part_hash(raw: bytes) -> str:
    if len(raw) != parts.HASH_BYTES:
        raise ValueError('content hash has the wrong length')
    return raw.hex()


def decode(value: bytes) -> Head:
    """Parse the value of the head row.

    :raises HeadError: if it is malformed.
    """
    if len(value) > MAX_HEAD_BYTES:
        raise HeadError(f'larger than {MAX_HEAD_BYTES} bytes')
    try:
        raw = msgpack.unpackb(value)
        return Head(
            revision=int(raw['revision']),
            accepted_wall_s=float(raw['accepted_wall_s']),
            nonces=tuple(map(str, raw['nonces'])),
            parts={
                str(name): _part_hash(part_hash)
                for name, part_hash in raw['parts'].items()
            },
            version_starts={
                str(name): _start(start)
                for name, start in raw['version_starts'].items()
            },
        )
    except (
        msgpack.UnpackException,
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
    ) as error:
        raise HeadError(f'malformed: {type(error).__name__}') from error
