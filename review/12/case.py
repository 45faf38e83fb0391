"""A stream's bytes are held up by a cut; its replica ends meanwhile."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib3'))
import standins  # noqa: E402

CUT_S = 2.7
ENDS_AFTER_S = 0.3
# The bound of the sheets, and some ms.
ADDRESS_REUSE_S = 2.05


async def play(site, has_trouble):
    link = standins.Link()
    await link.start()
    model = standins.ReplicaProcess(
        site, 'i-model-1', 'model', '--events=100'
    )
    try:
        return await play_with(site, has_trouble, link, model)
    finally:
        model.kill()


async def play_with(site, has_trouble, link, model):
    desk = standins.Replica('i-desk-1', 'desk', site.record)
    await desk.start()
    # Gets the address of the model replica after its end.
    reused = standins.Replica('i-desk-2', 'desk', site.record)
    await reused.start()
    link.target = model.own_address
    model.address = reused.address = link.address
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
                ),
                standins.route('file', '/file/', 'non_idempotent', 'desk'),
            ],
            [
                {'name': 'model', 'health_path': '/healthz',
                 'engine': {'slots': 128, 'kv_capacity_tokens': 88000,
                            'stride': 5, 'backups': True}},
                {'name': 'desk', 'health_path': '/healthz'},
            ],
        ),
    )
    await site.register(model)
    await site.register(desk)
    site.add_entries(2)
    await site.start_entries()
    await asyncio.sleep(1.0)

    async def stream(request_id):
        site.record('client sends stream', request_id)
        reply = await standins.call(
            site.entries[0].address, 'POST', '/digest/a', request_id,
            {'Model': 'm', 'Token-Usage': '8000,600',
             'Prompt-Prefix': f'aa:200,{request_id}:7800'},
            b'p' * 800, limit_s=25.0,
        )
        site.record('client got', request_id, reply.status,
                    'whole' if reply.is_whole else 'not whole')

    tasks = [asyncio.create_task(stream('5eed00'))]
    await asyncio.sleep(3.0)
    if has_trouble:
        await site.store.set_down(True)
        site.record('the store is down')
        await asyncio.sleep(1.5)
        link.cut()
        site.record('the link of the model replica is cut')
        await asyncio.sleep(ENDS_AFTER_S)
        link.target = ''
        model.kill()
        site.record('the model replica is killed')
        await asyncio.sleep(ADDRESS_REUSE_S)
        link.target = reused.own_address
        site.record('its address is that of i-desk-2, a replica of desk')
        await asyncio.sleep(CUT_S - ENDS_AFTER_S - ADDRESS_REUSE_S)
        link.heal()
        site.record('the link is whole')
    for number in range(10):
        await asyncio.sleep(0.25)
        tasks.append(asyncio.create_task(stream(f'5eed{number + 16:x}')))
    if has_trouble:
        await site.store.set_down(False)
        site.record('the store is up')
    await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    wrong = [*reused.runs, *desk.runs]
    if wrong:
        return (
            f'{len(wrong)} streams of the route to model ran at a replica '
            'of desk'
        )
    return ''


if __name__ == '__main__':
    sys.exit(standins.run(FOLDER, play))
