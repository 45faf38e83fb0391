"""An entry is frozen while a replica crashes and its address is reused."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import rig  # noqa: E402

ZONES = ('kv-shah-alam', 'kv-cyberjaya', 'kv-petaling', 'kv-klang')
MODELS = 8
CRASHED = 'i-model-1'
SUCCESSOR = 'i-portal-2'
# An address may be given to another service after address_reuse_s.
REUSED_AFTER_S = rig.BOUNDS['address_reuse_s'] + 0.5
FROZEN_S = 4.0
# From here the store is down, until 4.5 s later.
STORE_DOWN_AFTER_S = 2.0
STORE_DOWN_S = 4.5
LASTS_S = 12.0


async def one_stream(site, entry, request_id):
    client = rig.Client(site.addresses[entry])
    site.record('sent', id=request_id, path='/summaries/x')
    answer = await client.request(
        'POST', '/summaries/x', request_id, rig.stream_headers(), b'diary',
        limit_s=20.0,
    )
    client.close()
    site.record('client', id=request_id, entry=entry,
                events=len(answer.event_ids()), **answer.describe())


async def send_streams(site, until_s):
    """Send a stream to each entry every 0.25 s."""
    tasks = []
    number = 0
    while time.monotonic() < until_s:
        for entry in ('front-1', 'front-2', 'front-3'):
            number += 1
            tasks.append(asyncio.create_task(
                one_stream(site, entry, f'{number:016x}')))
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)


def set_store(site, mode):
    for name in site.store.modes:
        site.store.modes[name] = mode
    site.record('store', mode=mode)


async def disturb(site):
    port = int(site.addresses[CRASHED].rpartition(':')[2])
    site.signal('front-1', signal.SIGSTOP)
    frozen_s = time.monotonic()
    await asyncio.sleep(0.3)
    site.signal(CRASHED, signal.SIGKILL)
    site.processes[CRASHED].wait()
    crashed_s = time.monotonic()
    await asyncio.sleep(STORE_DOWN_AFTER_S - 0.3)
    set_store(site, 'reset')
    down_s = time.monotonic()
    await asyncio.sleep(crashed_s + REUSED_AFTER_S - time.monotonic())
    # The store is down, so that its entry can't be written yet.
    site.start_replica(SUCCESSOR, 'portal', ZONES[0], '--slots=6',
                       port=port, is_registered=False)
    await asyncio.sleep(frozen_s + FROZEN_S - time.monotonic())
    site.signal('front-1', signal.SIGCONT)
    await asyncio.sleep(down_s + STORE_DOWN_S - time.monotonic())
    site.unregister(CRASHED)
    site.register(SUCCESSOR, 'portal', ZONES[0])
    set_store(site, 'up')


def check(site):
    """Return the streams that replicas of the portal service ran."""
    for event in site.replica_events():
        if event['what'] == 'runs' and 'portal' in event['replica']:
            yield (f'ROUTE: {event["id"]}: a request of the route to model-a '
                   f'ran at {event["replica"]} of the service portal')


async def scenario(site):
    await site.start(rig.configuration(
        1,
        [rig.route('r-s', '/summaries/', 'streaming', 'model-a'),
         rig.route('r-c', '/complaints/', 'non_idempotent', 'portal')],
        ['model-a', 'portal']))
    for number in range(MODELS):
        site.start_replica(f'i-model-{number + 1}', 'model-a',
                           ZONES[number % len(ZONES)], '--slots=128',
                           '--gap-ms=30')
    site.start_replica('i-portal-1', 'portal', ZONES[1], '--slots=6')
    for number in range(3):
        await site.start_entry(f'front-{number + 1}', number + 1,
                               ZONES[number], seeds=(1, 2, 3))
    await site.wait_ready('front-1', 'front-2', 'front-3')
    sending = asyncio.create_task(
        send_streams(site, time.monotonic() + LASTS_S))
    await asyncio.sleep(3.0)
    if rig.is_troubled():
        await disturb(site)
    await sending
    return list(check(site))


rig.run(FOLDER / 'record.txt', scenario)
