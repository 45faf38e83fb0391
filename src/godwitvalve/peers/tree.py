"""Broadcast trees for periodic reports, one for each origin.

A flooded message arrives over most links, once each. For periodic reports, a
receiver prunes the links that only delivered duplicates: it asks their peers
to stop forwarding the reports of that origin, so that each report arrives
about once. Reports may be missed while the paths change. Every
``REFRESH_EVERY`` th report is therefore flooded over all links and rebuilds
the tree.
"""

from __future__ import annotations

from typing import Generic, TypeVar

REFRESH_EVERY = 16
MAX_ORIGINS = 2048

Link = TypeVar('Link')


class ReportTree(Generic[Link]):
    """Links over which one node receives and forwards periodic reports.

    :param own_id: instance id of the node.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._parents: dict[str, Link] = {}
        self._prune_requested: dict[str, set[Link]] = {}
        self._pruned_by_peer: dict[Link, set[str]] = {}

    def is_wanted(self, link: Link, origin: str) -> bool:
        """Return whether to forward the reports of an origin over a link."""
        return origin not in self._pruned_by_peer.get(link, ())

    def handle_prune(self, link: Link, origin: str) -> None:
        """Stop forwarding the reports of an origin, as a peer requested."""
        pruned = self._pruned_by_peer.setdefault(link, set())
        if len(pruned) < MAX_ORIGINS:
            pruned.add(origin)

    def handle_restore(self, link: Link) -> None:
        """Forward the reports of all origins again, as a peer requested."""
        self._pruned_by_peer.pop(link, None)

    def record_first_copy(
        self, link: Link, origin: str, is_refresh: bool
    ) -> None:
        """Make the link that first delivered a report the parent.

        :param is_refresh: whether the report resets the pruned links.
        """
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
        """Decide whether to prune a link that delivered a duplicate.

        The parent link is never pruned. No other link is pruned either if
        the parent had been pruned before. The node's own reports have no
        parent, so each link that returns one is pruned. A link for which
        this returns True counts as pruned from then on.
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
        """Reset the parents and the prune requests after a link closed.

        The paths of any origin may have used the link.
        """
        self._pruned_by_peer.pop(link, None)
        self._parents.clear()
        self._prune_requested.clear()
