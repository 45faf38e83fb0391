"""Small prefix cache with least-recently-used eviction."""

from __future__ import annotations

import collections


class PrefixCache:
    """Token sequences by prompt, limited in number.

    :param capacity: prompts that are remembered.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._entries: collections.OrderedDict[
            tuple[str, bytes], list[int]
        ] = collections.OrderedDict()

    def cached_tokens(self, key: tuple[str, bytes], prefix: list[int]) -> int:
        """Return how many tokens of a prefix are cached.

        :returns: -1 if not even the prompt is cached.
        """
        known = self._entries.get(key)
        if known is None:
            return -1
        self._entries.move_to_end(key)
        pairs = zip(known, prefix)
        return next(
            (index for index, (a, b) in enumerate(pairs) if a != b),
            min(len(known), len(prefix)),
        )

    def store(self, key: tuple[str, bytes], token_ids: list[int]) -> None:
        """Remember the tokens of a prompt; the list may grow later."""
        self._entries[key] = token_ids
        self._entries.move_to_end(key)
        while len(self._entries) > self._capacity:
            self._entries.popitem(last=False)
