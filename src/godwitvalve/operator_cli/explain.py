"""``godwitvalve explain``: what a result code means."""

from __future__ import annotations

from typing import Annotated

import typer

from godwitvalve.operator_cli import options
from godwitvalve.outcomes import codes


def _find(name: str) -> codes.ResultCode | None:
    return next(
        (
            code
            for code in codes.ResultCode
            if name.upper() in (str(code.value), code.name)
        ),
        None,
    )


def explain(
    code: Annotated[str, typer.Argument(help='Number or name of a code.')],
    as_json: options.AsJson = False,
) -> None:
    """Explain a result code and what to do about it."""
    found = _find(code)
    if found is None:
        options.fail(
            options.ExitCode.REJECTED, f'There is no result code {code}.'
        )
    info = codes.CODE_TABLE[found]
    if as_json:
        options.print_json(
            {'code': found.value, 'name': found.name, **info._asdict()}
        )
        return
    print(f'{found.value} {info.title} (HTTP {info.http_status})')
    print(info.meaning)
    if info.not_run:
        print('The request did not run.')
    print(f'What to do: {info.action}')
