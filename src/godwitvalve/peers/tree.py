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
        self._parents: dict[str, Link] = {}
        self._prune_requested: dict[str, set[Link]] = {}
        self._pruned_by_peer: dict[Link, set[str]] = {}

    def is_wanted(self, link: Link, origin: str) -> bool:
        """Tell whether a link's peer wants the reports of an origin."""
        return origin not in self._pruned_by_peer.get(link, ())

    def handle_prune(self, link: Link, origin: str) -> None:
        """Take a peer's request to leave an origin out."""
        pruned = self._pruned_by_peer.setdefault(link, set())
        if len(pruned) < MAX_ORIGINS:
            pruned.add(origin)

    def handle_restore(self, link: Link) -> None:
        """Take a peer's request for the reports of all origins."""
        self._pruned_by_peer.pop(link, None)

    def record_first_copy(
        self, link: Link, origin: str, is_refresh: bool
    ) -> None:
        """Record which link brought a report first."""
        if origin not in self._parents and len(self._parents) >= MAX_ORIGINS:
            dropped = next(iter(self._parents))
            del self._parents[dropped]
            self._prune_requested.pop(dropped, None)
        self._parents[origin] = link
        if is_refresh:
            self._prune_requested.pop(origin, None)
            for pruned in self._pruned_by_peer.values():
                pruned.discard(origin)

    def should_prune(self, link: Link, origin: str) -> bool:
        """Decide whether to ask the bringer of a duplicate to stop.

        The link that brought the first copy is never asked, nor is any
        other one if that link had been asked before.
        """
        requested = self._prune_requested.setdefault(origin, set())
        if link in requested:
            return False
        if origin != self._own_id:
            parent = self._parents.get(origin)
            if parent is None or parent is link or parent in requested:
                return False
        requested.add(link)
        return True

    def link_closed(self, link: Link) -> None:
        """Forget all paths, because some may have used a closed link."""
        self._pruned_by_peer.pop(link, None)
        self._parents.clear()
        self._prune_requested.clear()
