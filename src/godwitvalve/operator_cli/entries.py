"""Requests the status of entry instances."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses

import aiohttp
import pydantic

from godwitvalve.store import port

# Timeout of one status request.
ENTRY_TIMEOUT_S = 2.0
# Status requests in flight at once.
MAX_CONCURRENT_REQUESTS = 64


@dataclasses.dataclass(frozen=True)
class MoveStatus:
    """Status of a move as reported by one entry instance.

    :param share: fraction of the service's requests sent to the version.
    """

    service: str
    version: str
    state: str
    share: float
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class EntryStatus:
    """Body of an answer to ``GET /v1/status``."""

    instance_id: str
    revision: int
    state: str
    moves: tuple[MoveStatus, ...] = ()


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """An entry instance that did not give a valid answer."""

    instance_id: str
    reason: str


_ADAPTER = pydantic.TypeAdapter(EntryStatus)


async def _request_status(
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


async def request_all(
    instances: Iterable[port.ListedInstance],
) -> list[EntryStatus | Unreachable]:
    """Request the status of each instance once, without retries."""
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=ENTRY_TIMEOUT_S),
        connector=aiohttp.TCPConnector(limit=MAX_CONCURRENT_REQUESTS),
    ) as session:
        return await asyncio.gather(
            *(_request_status(session, instance) for instance in instances)
        )
