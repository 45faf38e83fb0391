"""Command ``complete``."""

from __future__ import annotations

import sys
from typing import Annotated

import typer

from godwitvalve.caller import answer
from godwitvalve.caller import client
from godwitvalve.caller import options


def complete(
    model: str,
    prompt: Annotated[str, typer.Argument(help='Text, or - for stdin.')],
    address: options.Address,
    max_tokens: int = 256,
    seed: int | None = None,
    priority: int = 5,
    credential_file: options.CredentialFile = '',
    as_json: options.AsJson = False,
) -> None:
    """Generate one answer and check that it is whole."""
    text = sys.stdin.read() if prompt == '-' else prompt
    wanted = client.Completion(model, text, max_tokens, seed, priority)

    async def work(caller: client.Client) -> answer.Answer | None:
        if as_json:
            return await caller.complete(wanted)
        async for chunk in caller.stream(wanted):
            typer.echo(chunk.text, nl=False)
        typer.echo('')
        return None

    result = options.run(work, address, credential_file, as_json)
    if result is not None:
        options.print_json(result._asdict())
