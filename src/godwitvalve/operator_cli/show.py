"""``godwitvalve show``: print the accepted text."""

from __future__ import annotations

import datetime

import orjson

from godwitvalve.operator_cli import options
from godwitvalve.operator_cli import reading
from godwitvalve.operator_cli import stored


def _utc(wall_s: float) -> str:
    time = datetime.datetime.fromtimestamp(wall_s, datetime.timezone.utc)
    return time.isoformat(timespec='seconds')


def show(
    platform: options.PlatformUrl, as_json: options.AsJson = False
) -> None:
    """Print the accepted text and its revision."""
    current = reading.run(platform, stored.read_current)
    if current is None:
        options.fail(options.ExitCode.REJECTED, 'No text is accepted yet.')
    head, text = current
    if as_json:
        options.print_json(
            {
                'revision': head.revision,
                'accepted_wall_s': head.accepted_wall_s,
                'text': text,
            }
        )
        return
    print(f'// revision {head.revision}')
    print(f'// accepted {_utc(head.accepted_wall_s)}')
    print(orjson.dumps(text, option=orjson.OPT_INDENT_2).decode())
