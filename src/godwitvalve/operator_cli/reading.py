"""Runs a read-only command against the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from godwitvalve.operator_cli import options
from godwitvalve.operator_cli import stored
from godwitvalve.store import http_adapter
from godwitvalve.store import port

_Result = TypeVar('_Result')


def run(
    url: str,
    read: Callable[[http_adapter.HttpPlatform], Awaitable[_Result]],
) -> _Result:
    """Return the result of ``read``; exit if the platform is unavailable."""

    async def within_session() -> _Result:
        async with http_adapter.HttpPlatform(
            url, options.PLATFORM_TIMEOUT_S
        ) as platform:
            return await read(platform)

    try:
        return asyncio.run(within_session())
    except port.PlatformUnavailable as error:
        message = f'The platform is unavailable: {error}.'
        options.fail(options.ExitCode.STORE_UNAVAILABLE, message)
    except stored.DamagedText as error:
        message = f'The stored text is damaged: {error}.'
        options.fail(options.ExitCode.REJECTED, message)
