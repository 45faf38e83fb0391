"""A late heartbeat lists a replica again that is leaving."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib3'))
import standins  # noqa: E402

DRAIN_S = 2.0
# From the removal of its entry to its exit: drain_ms and a little longer.
EXITS_AFTER_S = 2.7
# A call to the store without an answer is performed up to 6 s later.
LATE_S = 3.0


async def play(site, has_trouble):
    replicas = [
        # As long as the longest calls of the sheet.
        standins.Replica(f'i-desk-{number}', 'desk', site.record, 0.2)
        for number in (1, 2, 3)
    ]
    for replica in replicas:
        await replica.start()
    await site.store.put(
        'op',
        'config',
        standins.configuration(
            3,
            [standins.route('file', '/file/', 'non_idempotent', 'desk')],
            [{'name': 'desk', 'health_path': '/healthz'}],
        ),
    )
    for replica in replicas:
        await site.register(replica)
    site.add_entries(2)
    await site.start_entries()
    await asyncio.sleep(1.0)
    # By entry: when it first passed on that the replica leaves.
    passed_on_s = {}
    sent = {}
    status = {}
    tasks = set()

    async def file(number):
        entry = site.entries[number % 2]
        request_id = f'{number:08x}'
        sent[request_id] = (time.monotonic(), entry.name)
        reply = await standins.call(
            entry.address, 'POST', f'/file/{number}', request_id, (), b'x' * 600,
            limit_s=2.5,
        )
        status[request_id] = reply.status
        if reply.headers.get('server-leaving'):
            passed_on_s.setdefault(entry.name, time.monotonic())
            site.record(entry.name, 'passed on Server-Leaving', request_id)

    async def clients():
        number = 0
        while True:
            number += 1
            tasks.add(asyncio.create_task(file(number)))
            await asyncio.sleep(0.02)

    running = asyncio.create_task(clients())
    await asyncio.sleep(2.0)
    leaving = replicas[0]
    # The last heartbeat before it leaves; its answer is lost.
    late_row = leaving.row()
    leaving.is_leaving = True
    site.record(leaving.replica_id, 'leaves')
    await asyncio.sleep(0.5)
    # It never reports that it drains: its entry is removed.
    await site.unregister(leaving)
    site.record('its entry is removed')
    exiting = asyncio.get_running_loop().call_later(
        EXITS_AFTER_S, leaving.exit
    )
    await asyncio.sleep(LATE_S - 0.5)
    if has_trouble:
        await site.store.put('servers', leaving.replica_id, late_row)
        site.record('the store performs its last heartbeat')
        # Three heartbeats later the entry is removed again.
        await asyncio.sleep(standins.SILENCE_S)
        await site.store.remove('servers', leaving.replica_id)
        site.record('its entry is removed again')
    else:
        await asyncio.sleep(standins.SILENCE_S)
    exiting.cancel()
    running.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if not passed_on_s:
        raise standins.CannotRun('no answer said that the replica leaves')
    late = [
        request_id
        for _, request_id in leaving.arrivals
        if sent[request_id][1] in passed_on_s
        and sent[request_id][0] > passed_on_s[sent[request_id][1]] + DRAIN_S
    ]
    for request_id in late:
        at_s, name = sent[request_id]
        site.record(
            'reached the leaving replica:', request_id, 'sent to', name,
            f'{at_s - passed_on_s[name]:.2f} s after its Server-Leaving;',
            'its client got', status.get(request_id),
        )
    if late:
        return f'{len(late)} requests reached a leaving replica too late'
    return ''


if __name__ == '__main__':
    sys.exit(standins.run(FOLDER, play))
