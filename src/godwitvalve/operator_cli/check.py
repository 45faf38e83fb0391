"""``godwitvalve check``: check a text without the platform."""

from __future__ import annotations

from godwitvalve.operator_cli import options
from godwitvalve.text import check as text_check


def check(path: options.TextFile, as_json: options.AsJson = False) -> None:
    """Check TEXT and print every error with the path of its key."""
    outcome = options.check_file(path)
    errors = outcome.errors if isinstance(outcome, text_check.Invalid) else ()
    if as_json:
        listed = [error._asdict() for error in errors]
        options.print_json({'valid': not errors, 'errors': listed})
    elif errors:
        for error in errors:
            print(error)
    else:
        print('The text is valid.')
    if errors:
        options.fail(
            options.ExitCode.REJECTED, f'{path} has {len(errors)} errors.'
        )
