"""Types and bounds of the settings of an entry instance."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import pydantic

_Address = Annotated[
    str, pydantic.Field(pattern=r'^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$')
]
_Name = Annotated[str, pydantic.Field(pattern=r'^[A-Za-z0-9][\w.-]{0,62}$')]

STRICT = pydantic.ConfigDict(extra='forbid', strict=True)


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of one entry instance.

    :param instance_id: id of this instance in the platform's list.
    :param failure_domain: failure domain of this instance.
    :param listen_address: ``host:port`` for callers.
    :param peer_address: ``host:port`` for other entry instances.
    :param platform_url: base URL of the platform's services.
    :param peer_key_file: file with the key that entry instances share.
    :param resume_key_file: file with the key that authenticates resume ids
        and issued idempotency keys.
    :param log_level: level name of the standard logging module.
    :param address_validity_s: seconds for which an address answer is valid.
    :param drain_limit_s: seconds after which a drain is reported as late.
    :param table_timeout_s: seconds to wait for the table service.
    :param max_in_flight: limit on concurrent requests at this instance.
    :param resume_validity_s: seconds for which a resume id is accepted.
    """

    instance_id: _Name
    failure_domain: _Name
    listen_address: _Address
    peer_address: _Address
    platform_url: Annotated[str, pydantic.Field(pattern=r'^http://')]
    peer_key_file: str
    resume_key_file: str
    log_level: Annotated[
        str, pydantic.Field(pattern=r'^(DEBUG|INFO|WARNING|ERROR)$')
    ] = 'INFO'
    address_validity_s: Annotated[
        float, pydantic.Field(ge=0.5, le=300, strict=False)
    ] = 10.0
    drain_limit_s: Annotated[
        float, pydantic.Field(ge=1, le=3600, strict=False)
    ] = 600.0
    table_timeout_s: Annotated[
        float, pydantic.Field(ge=0.05, le=30, strict=False)
    ] = 1.0
    max_in_flight: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 512
    resume_validity_s: Annotated[
        float, pydantic.Field(ge=10, le=86400, strict=False)
    ] = 3600.0

    __pydantic_config__ = STRICT
