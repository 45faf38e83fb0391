"""Small prefix cache with least-recently-used eviction."""

from __future__ import annotations

import collections


class PrefixCache:
    """Token sequences by prompt, limited in number.

    :param capacity: maximum number of cached prompts.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._entries: collections.OrderedDict[
            tuple[str, bytes], list[int]
        ] = collections.OrderedDict()

    def cached_tokens(self, key: tuple[str, bytes], prefix: list[int]) -> int:
        """Return the number of cached tokens of a prefix.

        :returns: -1 if not even the prompt is cached.
        """
        cached = self._entries.get(key)
        if cached is None:
            return -1
        self._entries.move_to_end(key)
        pairs = zip(cached, prefix)
        return next(
            (index for index, (a, b) in enumerate(pairs) if a != b),
            min(len(cached), len(prefix)),
        )

    def store(self, key: tuple[str, bytes], token_ids: list[int]) -> None:
        """Cache the tokens of a prompt; the list may grow later."""
        self._entries[key] = token_ids
        self._entries.move_to_end(key)
        while len(self._entries) > self._capacity:
            self._entries.popitem(last=False)
