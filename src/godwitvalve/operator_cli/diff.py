"""``godwitvalve diff``: compare a text with the accepted one."""

from __future__ import annotations

from godwitvalve.operator_cli import options
from godwitvalve.operator_cli import reading
from godwitvalve.operator_cli import stored
from godwitvalve.text import diff as text_diff
from godwitvalve.text import model


def diff(
    path: options.TextFile,
    platform: options.PlatformUrl,
    as_json: options.AsJson = False,
) -> None:
    """Print what TEXT would change."""
    text = options.load_file(path)
    current = reading.run(platform, stored.read_current)
    revision = current.head.revision if current else 0
    before = current.text if current else model.Text({})
    changes = text_diff.diff(before, text)
    if as_json:
        options.print_json(
            {
                'base': revision,
                'changes': [change._asdict() for change in changes],
            }
        )
        return
    print(f'Base: revision {revision}.')
    for change in changes:
        print(f'{change.path}: {change.sentence}')
    if not changes:
        print('No changes.')
