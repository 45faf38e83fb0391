"""Limits of the candidates of one request."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

NO_IDS: frozenset[str] = frozenset()


class LimitView(NamedTuple):
    """Ids of the candidates with a limit.

    :param limited: endpoints that need a permit for each request.
    :param exhausted: those of them that no permit can be had for now.
    :param unconfirmed: those whose limit this request should confirm.
    """

    limited: abc.Set[str] = NO_IDS
    exhausted: abc.Set[str] = NO_IDS
    unconfirmed: abc.Set[str] = NO_IDS
