"""Filters forwarded headers and reads what they state about a body."""

from __future__ import annotations

from collections import abc
import http
import re

# RFC 9110, section 7.6.1, and the older Keep-Alive and Proxy-* headers.
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Derived from the body and the address for each connection.
_REWRITTEN = frozenset({'content-length', 'host', 'expect'})
# The caller's credential is for this system and not for the endpoint.
_CALLER_ONLY = frozenset({'authorization'})

# Control characters other than a tab, and undecoded bytes.
_UNSENDABLE = re.compile('[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]')

Headers = tuple[tuple[str, str], ...]


def is_defined_status(status: int) -> bool:
    """Tell whether HTTP defines a status.

    Parsers accept numbers of three digits that it does not define.
    """
    return 100 <= status < 600


def may_be_cut(method: str, status: int, is_framed: bool) -> bool:
    """Tell whether an answer without a body may have been cut.

    A success that states neither a length nor chunks ends with its
    connection, which a service that is killed closes as well.

    :param method: method of the request.
    :param is_framed: whether the head tells where the body ends.
    """
    return (
        200 <= status < 300
        and status != http.HTTPStatus.NO_CONTENT
        and method != 'HEAD'
        and not is_framed
    )


def may_be_sent(value: str) -> bool:
    """Tell whether a received header value may be sent on.

    Parsers accept control characters and bytes that are not text, which
    writers refuse; the connection of the caller would end without an answer.
    """
    return _UNSENDABLE.search(value) is None


def named_by_connection(headers: abc.Iterable[tuple[str, str]]) -> set[str]:
    """Return the lower-case header names listed in ``Connection``."""
    return {
        name.strip().lower()
        for key, value in headers
        if key.lower() == 'connection'
        for name in value.split(',')
    }


def _without(headers: Headers, dropped: frozenset[str]) -> Headers:
    named = named_by_connection(headers)
    return tuple(
        (key, value)
        for key, value in headers
        if key.lower() not in dropped and key.lower() not in named
    )


def to_endpoint(headers: Headers) -> Headers:
    """Return the request headers that are forwarded to the endpoint."""
    return _without(headers, HOP_BY_HOP | _REWRITTEN | _CALLER_ONLY)


def to_caller(headers: Headers) -> Headers:
    """Return the answer headers that are forwarded to the caller."""
    return _without(headers, HOP_BY_HOP | _REWRITTEN)
