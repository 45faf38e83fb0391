"""Options and exit codes that commands share."""

from __future__ import annotations

import enum
import pathlib
from typing import Annotated, Any, NoReturn, TypeAlias

import orjson
import typer

from godwitvalve.text import check
from godwitvalve.text import model

# Seconds to wait for one answer of the platform.
PLATFORM_TIMEOUT_S = 2.0


class ExitCode(enum.IntEnum):
    """Exit codes of every command; 2 is a wrong command line."""

    OK = 0
    REJECTED = 1
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    UNKNOWN = 5


PlatformUrl: TypeAlias = Annotated[
    str,
    typer.Option(
        '--platform',
        envvar='GODWITVALVE_PLATFORM',
        help='Base URL of the platform.',
    ),
]
AsJson: TypeAlias = Annotated[bool, typer.Option('--json', help='Print JSON.')]
TextFile: TypeAlias = Annotated[
    pathlib.Path, typer.Argument(help='Text in JSON with comments.')
]


def print_json(raw: Any) -> None:
    """Print a value as indented JSON."""
    typer.echo(orjson.dumps(raw, option=orjson.OPT_INDENT_2).decode())


def fail(code: ExitCode, message: str) -> NoReturn:
    """Print a message on standard error and exit."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def check_file(path: pathlib.Path) -> check.CheckOutcome:
    """Read and check a text; exit if the file cannot be read."""
    try:
        return check.check(path.read_bytes())
    except OSError as error:
        fail(ExitCode.REJECTED, f'Cannot read {path}: {error.strerror}.')


def load_file(path: pathlib.Path) -> model.Text:
    """Read a text; print every error and exit if it has any."""
    match check_file(path):
        case check.Valid(text):
            return text
        case check.Invalid(errors):
            lines = [f'{path} has {len(errors)} errors:', *map(str, errors)]
            fail(ExitCode.REJECTED, '\n'.join(lines))
