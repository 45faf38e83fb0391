"""Command ``godwitvalve-call``."""

from __future__ import annotations

import typer

from godwitvalve.caller import command_addresses
from godwitvalve.caller import command_complete
from godwitvalve.caller import command_service

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.command()(command_complete.complete)
app.command()(command_service.service)
app.command()(command_addresses.addresses)


def main() -> None:
    """Run a command of the reference caller."""
    app()


if __name__ == '__main__':
    main()
