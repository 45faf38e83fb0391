"""Order of configurations whose store may return from an older copy."""

from __future__ import annotations

from typing import NamedTuple


class EraSpan(NamedTuple):
    """Eras of the store in one of which something was written."""

    first: int
    last: int


UNKNOWN_ERAS = EraSpan(0, 0)


def span(first: int, last: int) -> EraSpan:
    """Return the span of two reported eras, of which one may be missing."""
    return EraSpan(first, max(first, last))


class ConfigurationRevision(NamedTuple):
    """Version of a configuration and the eras in which it may be written.

    Operators raise the version with each configuration. After a return of
    the store some continue from the copy, with a lower version.
    """

    version: int
    eras: EraSpan = UNKNOWN_ERAS

    def supersedes(self, other: ConfigurationRevision) -> bool:
        """Tell whether this one is newer than another one.

        Only eras that do not overlap outweigh the versions: an entry that
        reads a table for the first time does not know when its rows were
        written.
        """
        if self.eras.first > other.eras.last:
            return True
        if self.eras.last < other.eras.first:
            return False
        return self.version > other.version
