"""Variant of a peer link that ignores the transit time of messages.

A test uses it to show that a delayed message then counts as fresh.
"""

from __future__ import annotations

from godwitvalve.peers import link


class AgelessLink(link.PeerLink):
    """Link that assumes a transit time of zero."""

    def age_bound_s(self):
        return 0.0
