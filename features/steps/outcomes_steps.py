"""Steps for result codes and outcomes."""

from __future__ import annotations

import pathlib

import behave
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome
from scripts import write_result_codes

ROOT = pathlib.Path(__file__).resolve().parents[2]


@behave.then('each result code is in the code table')
def each_code_in_table(context):
    assert set(codes.CODE_TABLE) == set(codes.ResultCode)


@behave.given('a send attempt that is marked as sent')
def sent_attempt(context):
    context.attempt = outcome.SendAttempt()
    context.attempt.mark_sent()


@behave.when('the attempt fails')
def attempt_fails(context):
    context.result = context.attempt.fail(
        codes.ResultCode.CONNECT_FAILED, 'connection reset'
    )


@behave.then('its outcome is unknown')
def outcome_unknown(context):
    assert isinstance(context.result, outcome.Unknown)


def _builds(kind, code):
    try:
        kind(code)
    except ValueError:
        return False
    return True


@behave.then('each code builds either a "not run" or an "unknown" outcome')
def outcome_types_disjoint(context):
    for code in codes.ResultCode:
        not_run = _builds(outcome.NotRun, code)
        unknown = _builds(outcome.Unknown, code)
        assert not_run != unknown, code


@behave.then('docs/result-codes.md lists exactly the code table')
def docs_match_table(context):
    page = (ROOT / 'docs' / 'result-codes.md').read_text()
    assert page == write_result_codes.render()
