"""Rows that every measurement prints."""

from __future__ import annotations

from collections import abc
import json
from typing import NamedTuple


class Row(NamedTuple):
    """One figure of one case.

    :param baseline: the same figure of what it is compared with, or that
        one's name if it has rows of its own.
    :param seed: seed or range of seeds; None where nothing is random.
    :param target: value to reach, if there is one.
    :param met: whether it was reached, if there is a target.
    """

    measure: str
    value: float
    unit: str
    baseline: float | str | None
    seed: int | str | None
    case: str
    target: float | None = None
    met: bool | None = None


def print_rows(rows: abc.Iterable[Row]) -> None:
    """Print rows as JSON lines."""
    for row in rows:
        rounded = row._replace(value=round(row.value, 4))
        print(json.dumps(rounded._asdict()), flush=True)
