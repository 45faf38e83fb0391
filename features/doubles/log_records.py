"""Log handler that keeps what is logged."""

from __future__ import annotations

import logging


class LogRecords(logging.Handler):
    """Keeps the records of a logger, in their order."""

    def __init__(self, level=logging.NOTSET):
        super().__init__(level)
        self.records = []

    def emit(self, record):
        self.records.append(record)
