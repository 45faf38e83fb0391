"""Types of fields with the range in which their values are accepted.

Integers in JSON may have hundreds of digits. Beyond 64 bits they can neither
be sent on to other entries nor be used in floating-point arithmetic.
"""

from __future__ import annotations

import re
from typing import Annotated, TypeAlias

import msgspec

# An endpoint processes some hundred requests at once. One that states far
# more would get all requests of its service.
MAX_SLOTS = 100_000
# The memory of an endpoint holds a few hundred thousand tokens.
MAX_TOKENS = 10**9
MAX_ERA = 999_999_999
# The year 5138.
MAX_UNIX_MS = 10**14
MAX_MILLISECONDS = 10**12
# Limit of the store for keys.
MAX_NAME_CHARS = 200

# Addresses at which a process can listen: no broadcast, multicast or
# unspecified ones.
_HOST = (
    r'(?:22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9][0-9]?)'
    r'(?:\.(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])){3}'
)
_PORT = (
    r'(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    r'|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)

IDENTIFIER = re.compile(rf'\A[!-~]{{1,{MAX_NAME_CHARS}}}\Z')

Integer: TypeAlias = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# Counts the restores of the platform's store.
Era: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]
Slots: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Tokens: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]
UnixMilliseconds: TypeAlias = Annotated[
    int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)
]
# A clock that did not start in 1970, such as that of the store.
ClockMilliseconds: TypeAlias = Annotated[
    int, msgspec.Meta(ge=-MAX_UNIX_MS, le=MAX_UNIX_MS)
]
Port: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Milliseconds: TypeAlias = Annotated[
    int, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)
]
# These exclude NaN and infinity.
Number: TypeAlias = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
Amount: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
Positive: TypeAlias = Annotated[float, msgspec.Meta(gt=0.0, le=1e12)]
Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
# A name that is no empty text.
StatedName: TypeAlias = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)
]
# Sent in a header.
Identifier: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=IDENTIFIER.pattern)
]
IpPort: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=rf'\A{_HOST}:{_PORT}\Z')
]
