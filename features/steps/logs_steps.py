"""Steps for the log handler with a limited rate."""

from __future__ import annotations

import logging

import behave
from godwitvalve.logs import bounded


@behave.given('a log whose reader accepts {what}')
def log_with_reader(context, what):
    context.lines = []
    context.reported_drops = 0
    context.now_s = 0.0

    def write(content):
        if what == 'nothing':
            raise BlockingIOError
        context.lines += content.decode().splitlines()
        return len(content)

    context.handler = bounded.BoundedHandler(write, lambda: context.now_s)
    context.handler.setFormatter(logging.Formatter('%(levelname)s'))


def _log(context, level=logging.INFO):
    record = logging.LogRecord('t', level, 'f', 1, 'text', (), None)
    context.handler.handle(record)
    context.reported_drops += getattr(record, 'dropped_lines', 0)


@behave.when('{count:d} lines are logged within a second')
def log_at_once(context, count):
    for number in range(count):
        context.now_s = number / count
        _log(context)


@behave.when('{count:d} lines are logged over {span_s:d} s')
def log_over(context, count, span_s):
    for number in range(count):
        context.now_s = number * span_s / count
        _log(context, logging.WARNING)


@behave.then('at most {limit:d} lines were written')
def written_at_most(context, limit):
    assert 0 < len(context.lines) <= limit, len(context.lines)


@behave.then('a later line reports how many were dropped')
def drops_reported(context):
    context.now_s += 1
    _log(context)
    assert context.reported_drops == 5001 - len(context.lines), (
        context.reported_drops
    )


@behave.then('at most {limit:d} KB are buffered')
def buffered_at_most(context, limit):
    assert len(context.handler._unwritten) <= limit * 1024


@behave.then('a warning is still written')
def warning_written(context):
    _log(context, logging.WARNING)
    assert context.lines[-1] == 'WARNING'
