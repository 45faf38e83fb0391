"""Reference model of the flood filter that stores all sequence numbers."""

from __future__ import annotations

from godwitvalve.peers import flood
from hypothesis import strategies

WINDOW = 8
MESSAGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['a', 'b']),
        strategies.integers(1, 2),
        strategies.integers(0, 40),
    ),
    max_size=60,
)


def compare(sent):
    """Check that the filter accepts the same messages as the model."""
    product = flood.FloodFilter(window=WINDOW)
    seen = {}
    for origin, incarnation, sequence in sent:
        past = seen.setdefault((origin, incarnation), set())
        is_too_old = bool(past) and sequence <= max(past) - WINDOW
        expected = sequence not in past and not is_too_old
        found = product.is_new(origin, incarnation, sequence)
        assert found == expected, (origin, incarnation, sequence)
        if expected:
            past.add(sequence)
