"""Answers of the store are lost for a moment; a leaving replica stays in use."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import standins  # noqa: E402

KEY = 'n2ctnfzs989anu6wsjnb'
ENTRIES = 3
# For so long the store loses its answers.
LOST_S = 1.2
# The store is stable and the machines are in touch so long after that.
IN_TOUCH_S = standins.CONTACT_S + 0.2
# Allows for the way of a request that was sent within the limit.
SLACK_S = 0.3
# A replica goes on serving for `drain_ms` and at times many seconds.
SERVES_ON_S = 6.0


async def _caller(site: standins.Site, rng: random.Random) -> None:
    while True:
        entry = rng.choice(list(site.entries.values()))
        await entry.call('POST', '/reserve/1', KEY)
        await asyncio.sleep(rng.uniform(0.05, 0.15))


async def case(site: standins.Site) -> list[str]:
    """Add two replicas, lose answers meanwhile, then let a replica leave."""
    await site.configure(
        standins.configuration(
            10,
            [standins.route('r-c', '/reserve/', 'non_idempotent', 'desk')],
            [{'name': 'desk', 'health_path': '/healthz'}],
            [{'name': 'hule930', 'api_keys': [KEY], 'priority': 2}],
        )
    )
    for number in range(1, 9):
        await site.add_replica(f'i-desk-{number}', 'desk')
    for number in range(1, ENTRIES + 1):
        await site.add_entry(f'front-a-{number}')
    await asyncio.gather(
        *(entry.wait_ready() for entry in site.entries.values())
    )
    rng = random.Random(1)
    callers = [asyncio.create_task(_caller(site, rng)) for _ in range(6)]
    try:
        await asyncio.sleep(1.0)
        await site.add_replica('i-desk-9', 'desk')
        site.record.add('i-desk-9 started')
        await asyncio.sleep(0.8)
        if site.has_trouble:
            site.store.loses_answers = True
            site.record.add('the store loses its answers')
        await asyncio.sleep(LOST_S / 2)
        await site.add_replica('i-desk-10', 'desk')
        site.record.add('i-desk-10 started')
        await asyncio.sleep(LOST_S / 2)
        site.store.loses_answers = False
        site.record.add(
            f'the store answers again, but not on {site.store.silent_count} '
            f'channels'
        )
        await asyncio.sleep(IN_TOUCH_S)
        leaving = site.replicas[0]
        confirmed_s = await leaving.drain()
        await asyncio.sleep(standins.DRAIN_S + SERVES_ON_S)
        await leaving.leave()
    finally:
        for caller in callers:
            caller.cancel()
    limit_s = confirmed_s + standins.DRAIN_S + SLACK_S
    late = [at_s for at_s, _ in leaving.runs if at_s > limit_s]
    if not late:
        return []
    return [
        f'{len(late)} requests ran at {leaving.replica_id} later than '
        f'{standins.DRAIN_S:.0f} s after the store confirmed that it is '
        f'draining, the last one {late[-1] - confirmed_s:.1f} s after it'
    ]


standins.play(case, str(FOLDER))
