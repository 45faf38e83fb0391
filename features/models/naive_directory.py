"""Lists entries without regard to their load, as before pressure."""

from __future__ import annotations

from godwitvalve.gossip import members


def choose_addresses(others, rng):
    """Return the addresses of all serving entries, shuffled."""
    addresses = [
        each.caller_address for each in others if each.state == members.SERVING
    ]
    rng.shuffle(addresses)
    return addresses
