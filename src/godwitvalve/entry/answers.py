"""HTTP answers that the entry builds itself: JSON and problem details."""

from __future__ import annotations

import math

from aiohttp import web
import orjson

from godwitvalve.entry import context as contexts
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcomes
from godwitvalve.outcomes import problem


def json_answer(body: object, status: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(body), status=status, content_type='application/json'
    )


def problem_answer(
    context: contexts.EntryContext,
    failure: outcomes.NotRun | outcomes.Unknown,
) -> web.Response:
    """Return a refusal as problem details and count it."""
    context.counters.count_refusal(failure.code)
    details = problem.describe_failure(failure)
    headers = {}
    if failure.code is codes.ResultCode.DRAINING:
        details['addresses'] = other_addresses(context)
    retry_at_wall_s = details.get('retry_at_wall_s')
    if retry_at_wall_s is not None:
        wait_s = max(0.0, retry_at_wall_s - context.clock.wall_s())
        headers['Retry-After'] = str(math.ceil(wait_s))
    return web.Response(
        body=orjson.dumps(details),
        status=details['status'],
        content_type=problem.CONTENT_TYPE,
        headers=headers,
    )


def code_answer(
    context: contexts.EntryContext, code: codes.ResultCode, detail: str = ''
) -> web.Response:
    """Return a refusal with the given result code as problem details."""
    if codes.CODE_TABLE[code].not_run:
        return problem_answer(context, outcomes.NotRun(code, detail))
    return problem_answer(context, outcomes.Unknown(code, detail))


def other_addresses(context: contexts.EntryContext) -> list[str]:
    """Return caller addresses of the other live entry instances."""
    return [
        member.address
        for member in context.node.members()
        if member.instance_id != context.instance_id
        and member.state == 'live'
        and member.address
    ]
