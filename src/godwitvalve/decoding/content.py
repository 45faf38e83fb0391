"""Decodes content with one error for everything that is wrong with it."""

from __future__ import annotations

import re
from typing import Protocol, TypeVar

import msgspec

# Bounds what a log line repeats of invalid content.
MAX_REASON_CHARS = 200
_PATTERN_REASON = re.compile(r"matching regex '.*'")

_T_co = TypeVar('_T_co', covariant=True)


class InvalidContent(Exception):
    """The content cannot be decoded or has values out of range."""


class ContentDecoder(Protocol[_T_co]):
    """Decoder of ``msgspec`` for one type."""

    def decode(self, content: bytes, /) -> _T_co:
        """Decode content."""


def describe(error: Exception) -> str:
    """Return a reason of bounded length that names the field."""
    text = _PATTERN_REASON.sub('in the expected form', str(error))
    return text[:MAX_REASON_CHARS]


def decode(decoder: ContentDecoder[_T_co], content: bytes) -> _T_co:
    """Decode content that may hold anything.

    Content that is nested more deeply than Python's recursion limit raises
    ``RecursionError`` in ``msgspec``, also in fields that are ignored.

    :raises InvalidContent: with a reason of bounded length.
    """
    try:
        return decoder.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidContent(describe(error)) from error
    except RecursionError as error:
        raise InvalidContent('nested too deeply') from error
