"""Which links carry the periodic reports of which origin.

A flooded message arrives over most links, once each. For reports that are
sent again and again, a receiver asks the links that only brought duplicates
to leave an origin out, so that each report arrives about once. Reports may
be missed while the paths change; every ``REFRESH_EVERY`` th one is flooded
over all links and chooses the paths anew.
"""

from __future__ import annotations

from typing import Generic, TypeVar

REFRESH_EVERY = 16
MAX_ORIGINS = 2048

Link = TypeVar('Link')


class ReportTree(Generic[Link]):
    """Paths of periodic reports, as one node sees them."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._feeders: dict[str, Link] = {}
        self._refused: dict[str, set[Link]] = {}
        self._unwanted: dict[Link, set[str]] = {}

    def is_wanted(self, link: Link, origin: str) -> bool:
        """Tell whether a link's peer wants the reports of an origin."""
        return origin not in self._unwanted.get(link, ())

    def refused_by_peer(self, link: Link, origin: str) -> None:
        """Take a peer's request to leave an origin out."""
        unwanted = self._unwanted.setdefault(link, set())
        if len(unwanted) < MAX_ORIGINS:
            unwanted.add(origin)

    def wanted_by_peer(self, link: Link) -> None:
        """Take a peer's request for the reports of all origins."""
        self._unwanted.pop(link, None)

    def first_copy(self, link: Link, origin: str, is_refresh: bool) -> None:
        """Record which link brought a report first."""
        if origin not in self._feeders and len(self._feeders) >= MAX_ORIGINS:
            dropped = next(iter(self._feeders))
            del self._feeders[dropped]
            self._refused.pop(dropped, None)
        self._feeders[origin] = link
        if is_refresh:
            self._refused.pop(origin, None)
            for unwanted in self._unwanted.values():
                unwanted.discard(origin)

    def refuses(self, link: Link, origin: str) -> bool:
        """Decide whether to ask the bringer of a duplicate to stop.

        The link that brought the first copy is never asked, nor is any
        other one if that link had been asked before.
        """
        refused = self._refused.setdefault(origin, set())
        if link in refused:
            return False
        if origin != self._own_id:
            feeder = self._feeders.get(origin)
            if feeder is None or feeder is link or feeder in refused:
                return False
        refused.add(link)
        return True

    def link_closed(self, link: Link) -> None:
        """Forget all paths, because some may have used a closed link."""
        self._unwanted.pop(link, None)
        self._feeders.clear()
        self._refused.clear()
