"""All entries are killed; the first request after that is a short prompt."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib3'))
import standins  # noqa: E402

RECOVER_S = 12.0
DOWN_S = 1.3
LONG = '8000,600'
SHORT = '16,60'


async def play(site, has_trouble):
    replicas = [
        standins.Replica(f'i-model-{number}', 'model', site.record)
        for number in (1, 2, 3)
    ]
    for replica in replicas:
        await replica.start()
        replica.events, replica.gap_s = 120, 0.03
        replica.first_s, replica.token_s = 0.064, 1 / 8000
    await site.store.put(
        'op',
        'config',
        standins.configuration(
            3,
            [
                standins.route(
                    'digest', '/digest/', 'streaming', 'model',
                    timeout_ms=25000, target_latency_ms=4500,
                    max_attempts=5, stream_resume=True, gap_target_ms=700,
                    priority=1,
                )
            ],
            [
                {'name': 'model', 'health_path': '/healthz',
                 'engine': {'slots': 128, 'kv_capacity_tokens': 88000,
                            'stride': 5, 'backups': True}},
            ],
        ),
    )
    for replica in replicas:
        await site.register(replica)
    site.add_entries(2)
    await site.start_entries()
    await asyncio.sleep(1.0)
    count = 0

    async def stream(usage, number):
        request_id = f'5eed{number:04x}'
        tokens = int(usage.split(',')[0])
        entry = site.entries[number % 2]
        site.record('client sends', request_id, usage, 'to', entry.name)
        reply = await standins.call(
            entry.address, 'POST', '/digest/a', request_id,
            {'Model': 'm', 'Token-Usage': usage,
             'Prompt-Prefix': f'{request_id}:{tokens}'},
            b'p' * 800, limit_s=25.0,
        )
        site.record('client got', request_id, reply.status,
                    'whole' if reply.is_whole else 'not whole')
        return reply.status == 200 and reply.is_whole

    async def long_streams(for_s):
        nonlocal count
        tasks = []
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            count += 1
            tasks.append(asyncio.create_task(stream(LONG, count)))
            await asyncio.sleep(1.0)
        served = await asyncio.gather(*tasks)
        return sum(served), len(served)

    before = await long_streams(6.0)
    site.record('served before:', *before)
    if has_trouble:
        for entry in site.entries:
            entry.kill()
        site.record('all entries are killed')
        await asyncio.sleep(DOWN_S)
        await site.start_entries()
        site.record('the entries are back')
    back_s = time.monotonic()
    await asyncio.gather(*(stream(SHORT, 100 + each) for each in (0, 1)))
    await asyncio.sleep(max(back_s + RECOVER_S + 0.5 - time.monotonic(), 0))
    after = await long_streams(20.0)
    site.record('served later than recover_s:', *after)
    if before[0] * 4 < before[1]:
        raise standins.CannotRun('too few were served before')
    if after[0] * 4 < after[1]:
        return f'{after[0]} of {after[1]} requests served after the recovery'
    return ''


if __name__ == '__main__':
    sys.exit(standins.run(FOLDER, play))
