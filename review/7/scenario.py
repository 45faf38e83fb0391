"""A replica writes wrong bytes into the middle of one of its streams."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import rig  # noqa: E402

ZONES = ('kv-shah-alam', 'kv-cyberjaya', 'kv-petaling')
EVENTS = 120
WAVES = 3
STREAMS_PER_WAVE = 20
# Of the first replica's streams; it gets about 20, so 0.05 of its answers.
SPOILED_STREAM = 5


async def one_stream(site, request_id):
    client = rig.Client(site.addresses['front-1'])
    site.record('sent', id=request_id, path='/summaries/x')
    answer = await client.request(
        'POST', '/summaries/x', request_id, rig.stream_headers(), b'diary'
    )
    client.close()
    site.record('client', id=request_id, events=len(answer.event_ids()),
                **answer.describe())
    return request_id, answer


def check(request_id, answer):
    """Return what breaks ORDER in one stream that the client received."""
    ids = answer.event_ids()
    missing = sorted(set(range(1, (ids or [0])[-1] + 1)) - set(ids))
    if missing:
        yield f'ORDER: {request_id}: events {missing} are missing'
    if len(ids) != len(set(ids)):
        yield f'ORDER: {request_id}: an event came twice'
    if answer.is_complete and answer.status == 200 and ids[-1:] != [EVENTS]:
        yield f'ORDER: {request_id}: complete before its last event'


async def scenario(site):
    await site.start(rig.configuration(
        1, [rig.route('r-s', '/summaries/', 'streaming', 'model-a')],
        ['model-a']))
    for number, zone in enumerate(ZONES, 1):
        spoils = rig.is_troubled() and number == 1
        options = [f'--spoiled-stream={SPOILED_STREAM}'] if spoils else []
        site.start_replica(f'i-model-{number}', 'model-a', zone,
                           '--slots=128', f'--events={EVENTS}',
                           '--gap-ms=50', *options)
    await site.start_entry('front-1', 1, ZONES[0], seeds=(1, 2))
    await site.start_entry('front-2', 2, ZONES[1], seeds=(1, 2))
    await site.wait_ready('front-1', 'front-2')
    broken = []
    for wave in range(WAVES):
        answers = await asyncio.gather(*[
            one_stream(site, f'{wave:04x}{number:012x}')
            for number in range(STREAMS_PER_WAVE)
        ])
        for request_id, answer in answers:
            broken += check(request_id, answer)
    if rig.is_troubled() and not any(
        each['what'] == 'spoils' for each in site.replica_events()
    ):
        raise RuntimeError('no stream was spoiled')
    return broken


rig.run(FOLDER / 'record.txt', scenario)
