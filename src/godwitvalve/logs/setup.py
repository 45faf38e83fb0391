"""JSON logs on standard output; each part of the system has a prefix."""

from __future__ import annotations

import logging
import sys

from godwitvalve.logs import bounded
from pythonjsonlogger import json as json_logger

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


class PrefixLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that starts each message with the prefix of its part."""

    def process(self, msg, kwargs):  # type: ignore[no-untyped-def]
        """Add the prefix to a message."""
        prefix = (self.extra or {})['prefix']
        return f'{prefix}: {msg}', kwargs


def get(prefix: str) -> PrefixLogger:
    """Return the logger of a part.

    :param prefix: fixed prefix of the part, such as ``peers``.
    """
    logger = logging.getLogger(f'godwitvalve.{prefix}')
    return PrefixLogger(logger, {'prefix': prefix})


def configure(level: str, instance_id: str) -> None:
    """Write JSON lines to standard output.

    :param level: level name of the standard logging module.
    :param instance_id: name of this instance, added to each line.
    """
    handler = bounded.descriptor_handler(sys.stdout.fileno())
    handler.setFormatter(
        json_logger.JsonFormatter(
            _FIELDS, static_fields={'instance_id': instance_id}
        )
    )
    root = logging.getLogger('godwitvalve')
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
