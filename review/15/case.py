"""A replica turns a machine away for longer than a minute."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib3'))
import standins  # noqa: E402

RETRY_AFTER_S = 80
GRACE_S = 0.5


async def play(site, has_trouble):
    replicas = [
        standins.Replica(f'i-desk-{number}', 'desk', site.record)
        for number in (1, 2, 3)
    ]
    for replica in replicas:
        await replica.start()
    await site.store.put(
        'op',
        'config',
        standins.configuration(
            3,
            [standins.route('look', '/look/', 'idempotent', 'desk')],
            [{'name': 'desk', 'health_path': '/healthz'}],
        ),
    )
    for replica in replicas:
        await site.register(replica)
    site.add_entries(1)
    await site.start_entries()
    await asyncio.sleep(1.0)
    tasks = set()

    async def look(number):
        reply = await standins.call(
            site.entries[0].address, 'GET', f'/look/{number}',
            f'{number:08x}', limit_s=2.5,
        )
        site.record('client got', f'{number:08x}', reply.status)

    async def clients():
        number = 0
        while True:
            number += 1
            tasks.add(asyncio.create_task(look(number)))
            await asyncio.sleep(0.1)

    running = asyncio.create_task(clients())
    await asyncio.sleep(2.0)
    turned_away = []
    full = replicas[0]

    def turn_away(request):
        if turned_away:
            return None
        turned_away.append(time.monotonic())
        headers = {'Not-Executed': '1', 'Retry-After': str(RETRY_AFTER_S)}
        site.record(full.replica_id, '503, Retry-After', RETRY_AFTER_S)
        return standins.answer(503, full.headers(request) | headers)

    if has_trouble:
        full.special = turn_away
    await asyncio.sleep(RETRY_AFTER_S + 3.0)
    running.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if not has_trouble:
        return ''
    if not turned_away:
        raise standins.CannotRun('the replica got no request to turn away')
    too_soon = [
        (at_s - turned_away[0], request_id)
        for at_s, request_id in full.arrivals
        if GRACE_S < at_s - turned_away[0] < RETRY_AFTER_S
    ]
    for after_s, request_id in too_soon:
        site.record(f'{request_id} reached it {after_s:.2f} s after the 503')
    if len(too_soon) > 2:
        return (
            f'{len(too_soon)} requests reached the replica before the end of '
            'its Retry-After'
        )
    return ''


if __name__ == '__main__':
    sys.exit(standins.run(FOLDER, play))
