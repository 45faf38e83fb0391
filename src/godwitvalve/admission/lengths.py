"""Expected output of streams, from the estimates of their callers.

Load pattern: callers state how many tokens they expect, accurate at the
median and often far off; all of a service may err alike. Performs no input
or output.
"""

from __future__ import annotations

# Step towards the median. After a change, 40 streams double the scale.
STEP = 1.02
MIN_SCALE = 0.1
MAX_SCALE = 10.0


class OutputLengths:
    """Median of the actual output over the stated one, by service."""

    def __init__(self) -> None:
        self._scales: dict[str, float] = {}

    def observe(self, service: str, stated_tokens: int, tokens: int) -> None:
        """Record the output of a complete stream.

        :param stated_tokens: hint of the caller, or its maximum without one.
        """
        if not stated_tokens:
            return
        scale = self._scales.get(service, 1.0)
        scale *= STEP if tokens > scale * stated_tokens else 1 / STEP
        self._scales[service] = min(max(scale, MIN_SCALE), MAX_SCALE)

    def expected(self, service: str, hint_tokens: int, most: int) -> int:
        """Return the expected output tokens, at most the stated maximum.

        :param hint_tokens: estimate of the caller; 0 if it states none.
        :param most: maximum of the caller; 0 if it states none.
        """
        scale = self._scales.get(service, 1.0)
        expected = int((hint_tokens or most) * scale)
        return min(expected, most) if most else expected
