"""``godwitvalve-entry``: runs one entry instance."""

from __future__ import annotations

import asyncio
import signal
from typing import Annotated

import typer

from godwitvalve.entry import process
from godwitvalve.logs import setup as logs
from godwitvalve.settings import load as settings_load

EXIT_BAD_SETTINGS = 2


def run(
    settings: Annotated[
        str, typer.Option(help='Settings file, JSON with comments.')
    ],
) -> None:
    """Serve callers until SIGTERM, then drain and stop."""
    try:
        loaded = settings_load.load(settings)
    except settings_load.SettingsError as error:
        for line in error.errors:
            typer.echo(line, err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error
    logs.configure(loaded.settings.log_level, loaded.settings.instance_id)
    asyncio.run(process.serve(loaded))


def main() -> None:
    """Run the command."""
    # SIGHUP ends a process that does not handle it yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    typer.run(run)


if __name__ == '__main__':
    main()
