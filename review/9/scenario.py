"""The store turns one entry away while a replica leaves and says so."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import rig  # noqa: E402

ZONES = ('kv-shah-alam', 'kv-cyberjaya', 'kv-petaling')
LEAVING = 'i-portal-1'
DRAIN_S = rig.BOUNDS['drain_ms'] / 1000
OUTAGE_S = 9.0
# The replica serves for drain_ms and a little longer after it was removed.
SERVES_S = 5.0
CALLERS = 4


async def caller(site, number, until_s, sent):
    client = rig.Client(site.addresses['front-1'])
    count = 0
    while time.monotonic() < until_s:
        count += 1
        request_id = f'{number:08x}{count:08x}'
        sent_s = time.monotonic()
        site.record('sent', id=request_id, path='/complaints/x')
        answer = await client.request(
            'POST', '/complaints/x', request_id, ['Deadline-Ms: 1500'],
            b'noise', limit_s=3.0,
        )
        sent[request_id] = sent_s, time.monotonic(), answer
        site.record('client', id=request_id, replica_leaves=answer.headers.get(
            'server-leaving', ''), **answer.describe())
        await asyncio.sleep(0.05)
    client.close()


def check(site, sent):
    """Return the requests that break DRAIN, as the news pages state it."""
    passed_on_s = min(
        (at_s for _, at_s, answer in sent.values()
         if 'server-leaving' in answer.headers),
        default=None,
    )
    if passed_on_s is None:
        return
    for event in site.replica_events():
        if event['what'] != 'runs' or event['replica'] != LEAVING:
            continue
        sent_s, _, answer = sent[event['id']]
        late_s = sent_s - passed_on_s
        if late_s > DRAIN_S:
            yield (f'DRAIN: {event["id"]}: sent {late_s:.2f} s after front-1 '
                   f'had passed on Server-Leaving, ran at {LEAVING}; the '
                   f'client got {answer.status or answer.error}')


async def scenario(site):
    await site.start(rig.configuration(
        1, [rig.route('r-c', '/complaints/', 'non_idempotent', 'portal')],
        ['portal']))
    for number, zone in enumerate(ZONES, 1):
        site.start_replica(f'i-portal-{number}', 'portal', zone,
                           '--work-ms=45')
    for number, zone in enumerate(ZONES, 1):
        await site.start_entry(f'front-{number}', number, zone,
                               seeds=(1, 2, 3))
    await site.wait_ready('front-1', 'front-2', 'front-3')
    sent = {}
    until_s = time.monotonic() + 2.0 + OUTAGE_S + 1.0
    callers = [
        asyncio.create_task(caller(site, number, until_s, sent))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(1.0)
    if rig.is_troubled():
        site.store.modes['front-1'] = 'busy'
        site.record('the store turns front-1 away')
    await asyncio.sleep(1.0)
    await site.tell_replica(LEAVING, '/standin/leave')
    site.unregister(LEAVING)
    site.record('replica leaves; its entry is removed', replica=LEAVING)
    await asyncio.sleep(SERVES_S)
    site.signal(LEAVING, signal.SIGTERM)
    await asyncio.sleep(OUTAGE_S - 1.0 - SERVES_S)
    site.store.modes['front-1'] = 'up'
    site.record('the store serves front-1')
    await asyncio.gather(*callers)
    return list(check(site, sent))


rig.run(FOLDER / 'record.txt', scenario)
