"""Table of the open links of a node."""

from __future__ import annotations

from godwitvalve.peers import calls as calls_model
from godwitvalve.peers import link as link_model
from godwitvalve.peers import overlay

# After a change, instances see different members for a while, so more peers
# than those chosen here may open an overlay link.
MAX_OVERLAY_LINKS = 2 * overlay.MAX_PEERS
MAX_DIRECT_LINKS = 512
DIRECT_IDLE_TIMEOUT_S = 30.0
# Gives both ends time to agree on a change of the membership.
UNWANTED_CLOSE_DELAY_S = 5.0


class LinkTable:
    """Holds at most one overlay and one direct link for each peer."""

    def __init__(self) -> None:
        self._overlay: dict[str, link_model.PeerLink] = {}
        self._direct: dict[str, link_model.PeerLink] = {}
        self._unwanted_since_s: dict[str, float] = {}

    def all(self) -> list[link_model.PeerLink]:
        """Return all links."""
        return [*self._overlay.values(), *self._direct.values()]

    def overlay(self) -> list[link_model.PeerLink]:
        """Return the links that carry flooded messages."""
        return list(self._overlay.values())

    def overlay_ids(self) -> list[str]:
        """Return the ids of the instances with an overlay link, sorted."""
        return sorted(self._overlay)

    def find_overlay(self, instance_id: str) -> link_model.PeerLink | None:
        """Return the overlay link to an instance, or None."""
        return self._overlay.get(instance_id)

    def find(self, instance_id: str) -> link_model.PeerLink | None:
        """Return a link to an instance, preferably an overlay link."""
        return self._overlay.get(instance_id) or self._direct.get(instance_id)

    def add(self, link: link_model.PeerLink) -> bool:
        """Add a link, which replaces an existing one to the same peer.

        A link to an older incarnation does not replace a newer one.

        :returns: whether the link was added.
        """
        table = self._overlay if link.peer.is_overlay else self._direct
        limit = MAX_DIRECT_LINKS
        if link.peer.is_overlay:
            limit = MAX_OVERLAY_LINKS
        present = table.get(link.peer.instance_id)
        if present is None and len(table) >= limit:
            return False
        if present is not None:
            if present.peer.incarnation > link.peer.incarnation:
                return False
            present.close()
        table[link.peer.instance_id] = link
        return True

    def remove(self, link: link_model.PeerLink) -> None:
        """Remove a closed link."""
        for table in (self._overlay, self._direct):
            if table.get(link.peer.instance_id) is link:
                del table[link.peer.instance_id]

    def close_unwanted(
        self,
        wanted: frozenset[str],
        calls: calls_model.Calls,
        now_s: float,
    ) -> None:
        """Close dialled links that are no longer needed.

        These are overlay links to instances that have not been wanted for
        ``UNWANTED_CLOSE_DELAY_S``, and direct links that have been unused
        for ``DIRECT_IDLE_TIMEOUT_S``. Links with a pending request stay.

        :param wanted: instances that should have an overlay link.
        :param now_s: monotonic seconds.
        """
        unwanted = set(self._overlay) - wanted
        self._unwanted_since_s = {
            each: self._unwanted_since_s.get(each, now_s) for each in unwanted
        }
        for each, since_s in self._unwanted_since_s.items():
            link = self._overlay[each]
            is_old = now_s - since_s >= UNWANTED_CLOSE_DELAY_S
            if link.is_dialled and is_old and not calls.has_pending(link):
                link.close()
        for link in self._direct.values():
            is_idle = now_s - link.last_used_s >= DIRECT_IDLE_TIMEOUT_S
            if link.is_dialled and is_idle and not calls.has_pending(link):
                link.close()
