"""Rows that the measurements print."""

from __future__ import annotations

from collections import abc
import json
from typing import NamedTuple


class Row(NamedTuple):
    """One measured figure.

    :param baseline: name of what it is compared with, or empty.
    :param seed: seed of the run, or None where nothing is random.
    """

    measure: str
    value: float
    unit: str
    baseline: str
    seed: int | None
    case: str


def print_rows(rows: abc.Iterable[Row]) -> None:
    """Print rows as JSON lines."""
    for row in rows:
        rounded = row._replace(value=round(row.value, 4))
        print(json.dumps(rounded._asdict()), flush=True)
