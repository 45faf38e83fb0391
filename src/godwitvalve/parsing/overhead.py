"""Compares what one message costs to parse with what it brings.

Performs no input or output.
"""

from __future__ import annotations

# Parts that a message may have for nothing. A head counts as one part, and
# sound answers have at most a few dozen chunks.
FREE_PARTS = 64
# A part costs about as much to parse as this many bytes of content cost to
# forward.
BYTES_PER_PART = 256
# Parts after which a message is given up, beyond those that its content
# allows. An answer of 4 KiB in chunks of one byte stays below it.
MAX_EXCESS_PARTS = 4096
# Content that allows one part. A long message in chunks of 40 bytes is
# throttled, but whole.
BYTES_PER_ALLOWED_PART = 32
# Parts that a new event of a stream pays for. An event of 50 bytes may come in
# chunks of one byte, with comments before it.
PARTS_PER_EVENT = 64


class ParsingOverhead:
    """Counts the parts of a message that its content does not pay for.

    Load pattern: an endpoint or a caller sends chunks of one byte without
    end. Each part (a chunk, a line of a head) costs the same to parse,
    however short it is.
    """

    def __init__(self) -> None:
        self._unpaid_parts = -float(FREE_PARTS)
        self._excess_parts = -float(FREE_PARTS)

    def add(self, parts: float, content_bytes: int) -> None:
        """Count parts that were parsed and the content that they brought."""
        self._unpaid_parts = _reduced(
            self._unpaid_parts + parts, content_bytes / BYTES_PER_PART
        )
        self._excess_parts = _reduced(
            self._excess_parts + parts, content_bytes / BYTES_PER_ALLOWED_PART
        )

    def pay(self, parts: float) -> None:
        """Pay for parts. What was brought earlier pays for few later ones."""
        self._unpaid_parts = _reduced(self._unpaid_parts, parts)
        self._excess_parts = _reduced(self._excess_parts, parts)

    @property
    def is_throttled(self) -> bool:
        """Tell whether parsing goes on in turn with other such messages."""
        return self._unpaid_parts > 0

    @property
    def is_excessive(self) -> bool:
        """Tell whether the message is to be given up."""
        return self._excess_parts > MAX_EXCESS_PARTS


def _reduced(count: float, by: float) -> float:
    return max(count - by, -float(FREE_PARTS))
