"""Sets up JSON logs on standard output with a prefix for each component."""

from __future__ import annotations

import logging
import sys

from godwitvalve.logs import bounded
from pythonjsonlogger import json as json_logger

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


class PrefixLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that starts each message with the prefix of its component."""

    def process(self, msg, kwargs):  # type: ignore[no-untyped-def]
        """Add the prefix to a message."""
        prefix = (self.extra or {})['prefix']
        return f'{prefix}: {msg}', kwargs


def get(prefix: str) -> PrefixLogger:
    """Return the logger of a component.

    :param prefix: fixed prefix of the component, such as ``peers``.
    """
    logger = logging.getLogger(f'godwitvalve.{prefix}')
    return PrefixLogger(logger, {'prefix': prefix})


def configure(level: str, instance_id: str) -> None:
    """Configure logging as JSON lines on standard output.

    :param level: level name of the standard logging module.
    :param instance_id: id of this instance, added to each line.
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
