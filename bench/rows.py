"""Result rows of the measurements."""

from __future__ import annotations

from collections import abc
import json
from typing import NamedTuple


class Row(NamedTuple):
    """One measured value of one case.

    :param baseline: value of the baseline, or the name of the baseline if it
        has its own rows.
    :param seed: seed or range of seeds, or None if nothing is random.
    :param target: required value, or None.
    :param met: whether the target is met, or None without a target.
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
