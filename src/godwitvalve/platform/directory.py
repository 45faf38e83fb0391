"""Wire format of the directory that gives callers entry addresses."""

from __future__ import annotations

from collections import abc

import msgspec

RESOLVE_PATH = '/resolve'
READY_PATH = '/readyz'
MAX_ADDRESSES = 64


def encode_addresses(addresses: abc.Sequence[str], validity_s: float) -> bytes:
    """Encode an address answer.

    :param validity_s: seconds for which callers may use the answer.
    """
    return msgspec.json.encode(
        {'addresses': list(addresses[:MAX_ADDRESSES]), 'ttl_s': validity_s}
    )
