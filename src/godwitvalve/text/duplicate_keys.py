"""Finds keys that occur twice in one object of a JSON5 text.

The JSON5 parser keeps only the last of two equal keys, so a version that is
pasted twice would silently lose its first definition.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import re

import pyjson5

from godwitvalve.text import errors

_TOKEN = re.compile(
    r'//[^\n\r\u2028\u2029]*'
    r'|/\*.*?\*/'
    r'|"(?:\\.|[^"\\])*"'
    r"|'(?:\\.|[^'\\])*'"
    r'|[{}\[\]:,]'
    r'|[^\s{}\[\]:,"\'/]+',
    re.DOTALL,
)


@dataclasses.dataclass
class _Scope:
    """An open object or list; ``index`` counts the items of a list."""

    is_object: bool
    seen: set[str] = dataclasses.field(default_factory=set)
    key: str = ''
    index: int = 0

    def path_key(self) -> int | str:
        return self.key if self.is_object else self.index


def _tokens(text: str) -> Iterator[str]:
    for match in _TOKEN.finditer(text):
        token = match.group()
        if not token.startswith(('//', '/*')):
            yield token


def _key(token: str) -> str:
    if token[0] in '"\'':
        return str(pyjson5.decode(token))
    return token


def find(text: str) -> list[errors.TextError]:
    """Return an error for each repeated key of an object.

    :param text: text that the JSON5 parser has accepted.
    """
    found = []
    scopes: list[_Scope] = []
    last = ''
    for token in _tokens(text):
        if token in '{[':
            scopes.append(_Scope(token == '{'))
        elif token in '}]':
            scopes.pop()
        elif token == ',' and scopes:
            scopes[-1].index += 1
        elif token == ':' and scopes:
            scope = scopes[-1]
            scope.key = _key(last)
            if scope.key in scope.seen:
                path = errors.join_path(item.path_key() for item in scopes)
                found.append(errors.TextError(path, 'key is given twice'))
            scope.seen.add(scope.key)
        last = token
    return found
