"""Error responses that an entry generates itself."""

from __future__ import annotations

import random

from aiohttp import web
import orjson

from godwitvalve.outcomes import codes
from godwitvalve.outcomes import problem

# Jitter, as a share of the wait, so that callers refused at the same time
# do not retry at the same time.
RETRY_SPREAD = 0.5


def problem_response(
    code: codes.ResultCode,
    status: int,
    retry_after_s: float | None = None,
    is_scheduled: bool = False,
) -> web.Response:
    """Build a response with problem details.

    :param retry_after_s: seconds until the caller may retry, before jitter.
    :param is_scheduled: whether no jitter is added.
    """
    headers = {}
    if retry_after_s is not None:
        spread = 0.0 if is_scheduled else RETRY_SPREAD
        spread_s = retry_after_s * random.uniform(1.0, 1.0 + spread)
        headers['Retry-After'] = f'{spread_s:.2f}'
    return web.Response(
        status=status,
        body=orjson.dumps({**problem.describe(code), 'status': status}),
        headers=headers,
        content_type=problem.CONTENT_TYPE,
    )
