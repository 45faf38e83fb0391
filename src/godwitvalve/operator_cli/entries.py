"""Asks entry instances for their status."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses

import aiohttp
import pydantic

from godwitvalve.store import port

# Seconds to wait for one entry instance.
ENTRY_TIMEOUT_S = 2.0
# Entry instances that are asked at once.
MAX_OPEN = 64


@dataclasses.dataclass(frozen=True)
class MoveStatus:
    """A move as an entry instance sees it.

    :param share: fraction of the service's traffic on the version.
    """

    service: str
    version: str
    state: str
    share: float
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class EntryStatus:
    """Answer of ``GET /v1/status``."""

    instance_id: str
    revision: int
    state: str
    moves: tuple[MoveStatus, ...] = ()


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """An entry instance that gave no valid answer."""

    instance_id: str
    reason: str


_ADAPTER = pydantic.TypeAdapter(EntryStatus)


async def _ask(
    session: aiohttp.ClientSession, instance: port.ListedInstance
) -> EntryStatus | Unreachable:
    url = f'http://{instance.address}/v1/status'
    try:
        async with session.get(url) as answer:
            body = await answer.read()
        status = _ADAPTER.validate_json(body)
    except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
        return Unreachable(instance.instance_id, type(error).__name__)
    except pydantic.ValidationError:
        return Unreachable(instance.instance_id, 'malformed answer')
    if status.instance_id != instance.instance_id:
        reason = f'{instance.address} answers as {status.instance_id}'
        return Unreachable(instance.instance_id, reason)
    return status


async def ask_all(
    instances: Iterable[port.ListedInstance],
) -> list[EntryStatus | Unreachable]:
    """Ask each instance once."""
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=ENTRY_TIMEOUT_S),
        connector=aiohttp.TCPConnector(limit=MAX_OPEN),
    ) as session:
        return await asyncio.gather(
            *(_ask(session, instance) for instance in instances)
        )
