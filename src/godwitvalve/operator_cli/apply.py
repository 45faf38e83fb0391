"""``godwitvalve apply``: make a text the accepted one."""

from __future__ import annotations

import asyncio
import pathlib
import secrets
from typing import Annotated

import typer

from godwitvalve import clock
from godwitvalve.operator_cli import options
from godwitvalve.operator_cli import publish
from godwitvalve.operator_cli import stored
from godwitvalve.store import http_adapter
from godwitvalve.store import port
from godwitvalve.text import diff
from godwitvalve.text import head as text_head
from godwitvalve.text import model

_NONCE_BYTES = 12


async def _describe_changes(
    platform: stored.Platform, base: int, current: text_head.Head
) -> list[str]:
    """Return one line per change between the base and the accepted text."""
    try:
        new = await stored.read_text(platform, current)
        old = await stored.read_archived(platform, base)
    except (port.PlatformUnavailable, stored.DamagedText) as error:
        return [f'What changed since cannot be read: {error}.']
    if old is None and base:
        return [f'Revision {base} is not stored, so changes are not shown.']
    before = old.text if old else model.Text({})
    changes = diff.diff(before, new.text)
    return [f'  {change.sentence}' for change in changes]


async def _describe_conflict(
    platform: stored.Platform, base: int, current: text_head.Head | None
) -> str:
    if current is None:
        return (
            f'Not applied: the base {base} is not the accepted revision. '
            'Run `godwitvalve show` to see the accepted one.'
        )
    changes = await _describe_changes(platform, base, current)
    summary = (
        f'Not applied: revision {current.revision} is the accepted one, '
        f'the text was written against {base}.'
    )
    return '\n'.join([summary, f'Changed since {base}:', *changes])


async def _apply(url: str, text: model.Text, base: int) -> None:
    async with http_adapter.HttpPlatform(
        url, options.PLATFORM_TIMEOUT_S
    ) as platform:
        nonce = secrets.token_hex(_NONCE_BYTES)
        outcome = await publish.publish(
            platform, text, base, nonce, clock.SystemClock()
        )
        match outcome:
            case publish.Accepted(revision):
                print(f'Accepted: revision {revision}.')
                print('`godwitvalve status` shows where it is in force.')
            case publish.Rejected(reasons):
                lines = ['Not applied:', *reasons]
                options.fail(options.ExitCode.REJECTED, '\n'.join(lines))
            case publish.Outdated(current):
                message = await _describe_conflict(platform, base, current)
                options.fail(options.ExitCode.CONFLICT, message)
            case publish.StoreUnavailable(reason):
                message = f'Not applied: the store is unavailable: {reason}.'
                options.fail(options.ExitCode.STORE_UNAVAILABLE, message)
            case publish.Unknown(revision, reason):
                message = (
                    f'Unknown: the text may have become revision {revision}: '
                    f'{reason}. Run `godwitvalve diff` with it when the store '
                    'answers again: no changes mean that it was accepted.'
                )
                options.fail(options.ExitCode.UNKNOWN, message)


def apply(
    path: options.TextFile,
    base: Annotated[
        int,
        typer.Option(
            min=0, help='Revision that TEXT was written against; 0 if none.'
        ),
    ],
    platform: options.PlatformUrl,
) -> None:
    """Check TEXT and make it the accepted text if BASE still is."""
    text = options.load_file(pathlib.Path(path))
    try:
        asyncio.run(_apply(platform, text, base))
    except stored.DamagedText as error:
        options.fail(options.ExitCode.REJECTED, f'Not applied: {error}.')
