"""Options, exit codes and output helpers shared by the commands."""

from __future__ import annotations

import asyncio
from collections import abc
import os
import pathlib
from typing import Annotated, Any, NoReturn, TypeAlias, TypeVar

import orjson
import typer

from godwitvalve.caller import client
from godwitvalve.caller import errors

CREDENTIAL_VARIABLE = 'GODWITVALVE_CREDENTIAL'
EXIT_REFUSED = 2
EXIT_UNKNOWN = 3
EXIT_INCOMPLETE = 4
EXIT_NO_ADDRESS = 5

Address: TypeAlias = Annotated[
    list[str], typer.Option(help='HOST:PORT of an entry; repeatable.')
]
CredentialFile: TypeAlias = Annotated[
    str,
    typer.Option(
        help=f'File with the account key; else ${CREDENTIAL_VARIABLE}.'
    ),
]
AsJson: TypeAlias = Annotated[
    bool, typer.Option('--json', help='Print one JSON document.')
]

_Result = TypeVar('_Result')


def _credential(file_name: str) -> str:
    if not file_name:
        return os.environ.get(CREDENTIAL_VARIABLE, '')
    try:
        return pathlib.Path(file_name).read_text().strip()
    except OSError as error:
        raise typer.BadParameter(
            f'cannot read {file_name}: {error.strerror}'
        ) from error


def print_json(body: Any) -> None:
    """Print one JSON document."""
    typer.echo(orjson.dumps(body, option=orjson.OPT_NON_STR_KEYS).decode())


def _fail(error: errors.CallerError, as_json: bool) -> NoReturn:
    status = EXIT_INCOMPLETE
    body: dict[str, Any] = {
        'error': type(error).__name__,
        'detail': str(error),
    }
    match error:
        case errors.Refused():
            status = EXIT_REFUSED
            body['problem'] = error.problem
        case errors.OutcomeUnknown():
            status = EXIT_UNKNOWN
            body['error'] = errors.OutcomeUnknown.__name__
            body['key'] = error.key
        case errors.PartialAnswer():
            body['resume_id'] = error.resume_id
            body['token_ids'] = error.token_ids
        case errors.NoAddress():
            status = EXIT_NO_ADDRESS
    if as_json:
        print_json(body)
    else:
        typer.echo(f'{body["error"]}: {body["detail"]}', err=True)
    raise typer.Exit(status)


def run(
    work: abc.Callable[[client.Client], abc.Awaitable[_Result]],
    initial_addresses: list[str],
    credential_file: str,
    as_json: bool,
) -> _Result:
    """Run ``work`` with a client; print an error and exit if it fails."""
    credential = _credential(credential_file)

    async def with_client() -> _Result:
        async with client.new_session() as session:
            return await work(
                client.Client(session, initial_addresses, credential)
            )

    try:
        return asyncio.run(with_client())
    except errors.CallerError as error:
        _fail(error, as_json)
