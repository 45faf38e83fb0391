"""The operator takes away the last key; callers without one are served."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import standins  # noqa: E402

KEY = 'n2ctnfzs989anu6wsjnb'
NEVER_HELD = 'zzzzzzzzzzzzzzzzzzzz'
ROUTES = [
    standins.route('r-c', '/reserve/', 'non_idempotent', 'desk'),
]
SERVICES = [{'name': 'desk', 'health_path': '/healthz'}]


def _configuration(version: int, keys: list[str]) -> dict[str, object]:
    return standins.configuration(
        version,
        ROUTES,
        SERVICES,
        [{'name': 'hule930', 'api_keys': keys, 'priority': 2}],
    )


async def case(site: standins.Site) -> list[str]:
    """Revoke the key, wait for twice the bound, then call."""
    await site.configure(_configuration(10, [KEY]))
    await site.add_replica('i-desk-1', 'desk')
    await site.add_replica('i-desk-2', 'desk')
    entry = await site.add_entry('front-a-1')
    await entry.wait_ready()
    request_id, answer = await entry.call('POST', '/reserve/1', KEY)
    if answer.status != 200 or len(site.runs(request_id)) != 1:
        raise standins.CannotRun('the first request was not served')
    if site.has_trouble:
        confirmed_s = await site.configure(_configuration(13, []))
    else:
        confirmed_s = time.monotonic()
    await asyncio.sleep(2 * standins.CONFIG_APPLY_S)
    breaches = []
    calls = [('a key that no configuration ever held', NEVER_HELD)]
    if site.has_trouble:
        calls.append(('the key that was taken away', KEY))
    for what, key in calls:
        for _ in range(3):
            request_id, answer = await entry.call('POST', '/reserve/2', key)
            if site.runs(request_id):
                after_s = time.monotonic() - confirmed_s
                breaches.append(
                    f'request {request_id} with {what} ran at '
                    f'{site.runs(request_id)} and got {answer.status}, '
                    f'{after_s:.1f} s after the confirmation'
                )
    return breaches


standins.play(case, str(FOLDER))
