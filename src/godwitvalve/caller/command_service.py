"""Command ``service``."""

from __future__ import annotations

from typing import Annotated

import typer

from godwitvalve.caller import client
from godwitvalve.caller import options
from godwitvalve.caller import services


def service(
    name: str,
    method: str,
    path: str,
    address: options.Address,
    body: str = '',
    key: Annotated[str, typer.Option(help='Idempotency key.')] = '',
    issue_key: Annotated[
        bool, typer.Option(help='Have a key issued for this call.')
    ] = False,
    credential_file: options.CredentialFile = '',
    as_json: options.AsJson = False,
) -> None:
    """Call a plain service."""
    if key and issue_key:
        raise typer.BadParameter('--key and --issue-key exclude each other')

    async def work(caller: client.Client) -> services.ServiceAnswer:
        chosen = await caller.issue_key() if issue_key else key or None
        return await caller.call_service(
            name, method, path, body.encode(), chosen
        )

    found = options.run(work, address, credential_file, as_json)
    if not as_json:
        typer.echo(found.body.decode(errors='replace'))
        return
    options.print_json(
        {
            'status': found.status,
            'headers': found.headers,
            'body': found.body.decode(errors='replace'),
        }
    )
