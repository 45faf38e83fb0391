"""Reads which host and path a request is addressed to."""

from __future__ import annotations

import re
from typing import NamedTuple

from godwitvalve.platform import headers as wire

_ABSOLUTE_FORM = re.compile('https?://([^/?#]*)(.*)', re.IGNORECASE)


class Target(NamedTuple):
    """Host and path of a request.

    :param host: name of the host, without its port.
    :param path: path and query.
    :param headers: headers, of which Host names the same host.
    """

    host: str
    path: str
    headers: wire.RawHeaders


def read(
    raw_target: str, host_header: str, headers: wire.RawHeaders
) -> Target:
    """Return the host and path of a request.

    The host of a target in absolute form, as a proxy gets it, takes the
    place of the Host header (RFC 9112, section 3.2.2).

    :param raw_target: target of the request line.
    :param host_header: value of the Host header; empty if there is none.
    """
    found = _ABSOLUTE_FORM.fullmatch(raw_target)
    if found is None:
        return Target(host_header.partition(':')[0], raw_target, headers)
    authority, path = found.groups()
    # The server decodes targets in the same way.
    host = authority.encode('utf-8', 'surrogateescape')
    named = tuple(
        (name, host if name.lower() == b'host' else value)
        for name, value in headers
    )
    return Target(
        authority.partition(':')[0],
        path if path.startswith('/') else f'/{path}',
        named,
    )
