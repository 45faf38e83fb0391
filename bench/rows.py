"""Rows that every measurement prints."""

from __future__ import annotations

from typing import NamedTuple


class Row(NamedTuple):
    """One figure of one case.

    :param baseline: the same figure of the policy compared with, if any.
    :param seed: seed, or range of seeds.
    :param target: value to reach, if there is one.
    :param met: whether it was reached, if there is a target.
    """

    measure: str
    value: float
    unit: str
    baseline: float | None
    seed: str
    case: str
    target: float | None = None
    met: bool | None = None
