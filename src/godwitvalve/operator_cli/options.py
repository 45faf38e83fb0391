"""Options, exit codes and output helpers shared by the commands."""

from __future__ import annotations

import enum
import pathlib
from typing import Annotated, Any, NoReturn, TypeAlias

import orjson
import typer

from godwitvalve.text import check
from godwitvalve.text import model

# Timeout of one request to the platform.
PLATFORM_TIMEOUT_S = 2.0


class ExitCode(enum.IntEnum):
    """Exit codes of all commands; Typer exits with 2 on a usage error."""

    OK = 0
    REJECTED = 1
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    UNKNOWN = 5
    UNKNOWN_HOST = 6
    UNKNOWN_ROUTE = 7
    UNKNOWN_ACCOUNT = 8
    ENTRY_UNAVAILABLE = 9


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
    """Print a message to standard error and exit."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def check_file(path: pathlib.Path) -> check.CheckOutcome:
    """Read and check a text file; exit if it cannot be read."""
    try:
        return check.check(path.read_bytes())
    except OSError as error:
        fail(ExitCode.REJECTED, f'Cannot read {path}: {error.strerror}.')


def load_file(path: pathlib.Path) -> model.Text:
    """Read a valid text; if it has errors, print all of them and exit."""
    match check_file(path):
        case check.Valid(text):
            return text
        case check.Invalid(errors):
            lines = [f'{path} has {len(errors)} errors:', *map(str, errors)]
            fail(ExitCode.REJECTED, '\n'.join(lines))
