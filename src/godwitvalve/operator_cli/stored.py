"""Reads and writes texts in the platform's table and object store."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from godwitvalve.store import port
from godwitvalve.text import head as text_head
from godwitvalve.text import model
from godwitvalve.text import parts

# Object store requests that one command has in flight at once.
MAX_CONCURRENT_REQUESTS = 8


class Platform(port.TableService, port.ObjectStore, Protocol):
    """Platform services that the commands use."""


class StoredText(NamedTuple):
    """A text with the head that refers to it."""

    head: text_head.Head
    text: model.Text


class DamagedText(Exception):
    """A head or a part is missing or malformed."""


def archive_key(revision: int) -> str:
    """Return the object key of the head of an earlier revision."""
    return f'heads-{revision}'


async def read_head(platform: Platform) -> text_head.Head | None:
    """Return the accepted head, or None before the first text.

    :raises PlatformUnavailable: if no answer arrives in time.
    :raises DamagedText: if the row is malformed.
    """
    row = await platform.read(text_head.TABLE, text_head.KEY)
    if row is None:
        return None
    try:
        head = text_head.decode(row.value)
    except text_head.HeadError as error:
        raise DamagedText(f'the head is damaged: {error}') from error
    if head.revision != row.version:
        raise DamagedText('the head gives another revision than its row')
    return head


async def _get_parts(
    platform: Platform, hashes: Iterable[str]
) -> dict[str, bytes]:
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def get(part_hash: str) -> tuple[str, bytes | None]:
        async with limit:
            key = parts.object_key(part_hash)
            return part_hash, await platform.get(key)

    found = await asyncio.gather(*map(get, hashes))
    return {item: body for item, body in found if body is not None}


async def read_text(platform: Platform, head: text_head.Head) -> StoredText:
    """Return the text that a head refers to.

    :raises PlatformUnavailable: if no answer arrives in time.
    :raises DamagedText: if a part is missing or malformed.
    """
    bodies = await _get_parts(platform, head.parts.values())
    try:
        text = parts.join_serialized(head.parts, bodies)
    except parts.PartError as error:
        raise DamagedText(str(error)) from error
    return StoredText(head, text)


async def read_current(platform: Platform) -> StoredText | None:
    """Return the accepted text, or None before the first one.

    :raises PlatformUnavailable: if no answer arrives in time.
    :raises DamagedText: if the head or a part is missing or malformed.
    """
    head = await read_head(platform)
    return None if head is None else await read_text(platform, head)


async def read_archived(
    platform: Platform, revision: int
) -> StoredText | None:
    """Return the text of an earlier revision, or None if it is not stored.

    :raises PlatformUnavailable: if no answer arrives in time.
    :raises DamagedText: if the head or a part is missing or malformed.
    """
    value = await platform.get(archive_key(revision))
    if value is None:
        return None
    try:
        head = text_head.decode(value)
    except text_head.HeadError as error:
        raise DamagedText(str(error)) from error
    return await read_text(platform, head)


async def _put(platform: Platform, key: str, body: bytes) -> None:
    """Store an object; if the answer is lost, read the object back.

    :raises PlatformUnavailable: if the object could not be confirmed.
    """
    try:
        await platform.put(key, body)
    except port.PlatformUnavailable:
        if await platform.get(key) != body:
            raise


async def write_parts(
    platform: Platform,
    split: Mapping[str, parts.Part],
    base: text_head.Head | None,
) -> None:
    """Store the parts that the base does not have, and archive its head.

    With the archived head, ``apply`` can list what changed for an operator
    whose text was written against that base.

    :raises PlatformUnavailable: if an object could not be confirmed.
    """
    existing = set(base.parts.values()) if base else set()
    wanted = {
        parts.object_key(part.content_hash): part.body
        for part in split.values()
        if part.content_hash not in existing
    }
    if base is not None:
        wanted[archive_key(base.revision)] = text_head.encode(base)
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def put(key: str, body: bytes) -> None:
        async with limit:
            await _put(platform, key, body)

    await asyncio.gather(*(put(*item) for item in wanted.items()))
