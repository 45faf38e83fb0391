"""Member lists that give the order of ages sent without names."""

from __future__ import annotations

from collections import abc
import hashlib

# Lists differ between entries while a change propagates; a peer that polls
# the platform's list less often is a few changes behind.
MAX_LISTS = 8
DIGEST_BYTES = 8


def digest(names: abc.Sequence[str]) -> bytes:
    """Return a short digest of a sorted list of entries."""
    text = '\0'.join(names).encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


class MemberLists:
    """The newest ``MAX_LISTS`` lists of this entry, by digest."""

    def __init__(self) -> None:
        self._lists: dict[bytes, tuple[str, ...]] = {}
        self.digest = b''
        self.update(())

    def update(self, instance_ids: abc.Iterable[str]) -> None:
        """Replace the current list and keep the previous ones."""
        names = tuple(sorted(instance_ids))
        self.digest = digest(names)
        self._lists.pop(self.digest, None)
        self._lists[self.digest] = names
        while len(self._lists) > MAX_LISTS:
            del self._lists[next(iter(self._lists))]

    def find(self, list_digest: bytes) -> tuple[str, ...] | None:
        """Return the list with a digest, or None if it is unknown."""
        return self._lists.get(list_digest)

    @property
    def names(self) -> tuple[str, ...]:
        """The current list, sorted."""
        return self._lists[self.digest]
