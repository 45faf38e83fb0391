"""``godwitvalve``: commands for operators."""

from __future__ import annotations

import typer

from godwitvalve.operator_cli import apply
from godwitvalve.operator_cli import check
from godwitvalve.operator_cli import diff
from godwitvalve.operator_cli import explain
from godwitvalve.operator_cli import fleet
from godwitvalve.operator_cli import show
from godwitvalve.operator_cli import status

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.command()(check.check)
app.command()(diff.diff)
app.command()(apply.apply)
app.command()(show.show)
app.command()(status.status)
app.command()(explain.explain)
app.add_typer(fleet.app, name='fleet')


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
