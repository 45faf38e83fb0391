"""Decodes content with one error for everything that is wrong with it."""

from __future__ import annotations

import re
from typing import Protocol, TypeVar

import msgspec

# Bounds what a log line repeats of invalid content.
MAX_REASON_CHARS = 200
# A 64-bit integer has at most 19 digits.
MAX_COUNT_DIGITS = 18
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


def parse_count(text: str) -> int | None:
    """Return a number of ASCII digits; None if it is anything else.

    Python's own conversion accepts signs, underscores and digits of other
    scripts, and fails for thousands of digits.
    """
    is_count = text.isascii() and text.isdigit()
    return int(text) if is_count and len(text) <= MAX_COUNT_DIGITS else None
