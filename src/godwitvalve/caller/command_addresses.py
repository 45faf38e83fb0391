"""Command ``addresses``."""

from __future__ import annotations

import typer

from godwitvalve.caller import addresses as address_model
from godwitvalve.caller import client
from godwitvalve.caller import options


def addresses(
    address: options.Address,
    credential_file: options.CredentialFile = '',
    as_json: options.AsJson = False,
) -> None:
    """Show which addresses to call, and until when."""

    async def work(caller: client.Client) -> address_model.AddressAnswer:
        return await caller.addresses()

    found = options.run(work, address, credential_file, as_json)
    if as_json:
        options.print_json(
            {
                'addresses': [entry._asdict() for entry in found.addresses],
                'valid_until_wall_s': found.valid_until_wall_s,
            }
        )
        return
    for entry in found.addresses:
        typer.echo(
            f'{entry.instance_id} {entry.address} {entry.failure_domain}'
        )
