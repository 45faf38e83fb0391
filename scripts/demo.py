"""Demonstrates generation, service calls and a move during failures.

The script starts all processes that it uses and terminates them at the end.
"""

from __future__ import annotations

import json
import sys
import tempfile
import threading
import time
from typing import Any

from standins import local_site
from standins import small_site

ANSWER_TOKENS = 600
TOKENS_BEFORE_KILL = 150
MOVE_S = 20.0
MOVE_LIMIT_S = 35.0
REQUEST_INTERVAL_S = 0.02
CASE_PATH = '/cases/17'
COMPLAINT = '{"case": 17, "text": "night market after midnight"}'


class DemoFailed(Exception):
    """A step of the demo did not give the expected result."""


def say(line: str) -> None:
    """Print one line and flush the output."""
    print(line, flush=True)


def expect(condition: bool, what: str) -> None:
    """Check a condition of the demo.

    :param what: description of the condition for the error message.
    :raises DemoFailed: if the condition is false.
    """
    if not condition:
        raise DemoFailed(what)


def start(site: small_site.SmallSite) -> None:
    """Start all processes and apply the first configuration text."""
    site.start(3, 3, '--token-interval-ms', '5')
    text = small_site.build_text({'v1': small_site.version()})
    applied = site.apply(text, 0)
    expect(applied.returncode == 0, f'the text is accepted: {applied.stderr}')
    for name in site.entry_ids():
        site.wait_ready(name)
    local_site.wait_until(
        lambda: (
            site.call('service', 'portal', 'GET', CASE_PATH).returncode == 0
        ),
        'the portal answers',
    )
    say('Started platform, 3 engines, 2 portal replicas and 3 entries.')


def _busy_engine(site: small_site.SmallSite) -> str | None:
    for name, member in site.members.items():
        if member.kind != 'engine':
            continue
        for stream in site.log(name)['streams']:
            if stream['generated_tokens'] >= TOKENS_BEFORE_KILL:
                return name
    return None


def show_complete_answer(site: small_site.SmallSite) -> None:
    """Kill the engine that generates an answer; the answer stays complete."""
    caller = site.start_caller(
        'complete',
        small_site.MODEL,
        'Summarise the diary of November.',
        '--max-tokens',
        str(ANSWER_TOKENS),
        '--json',
    )
    busy = local_site.wait_until(
        lambda: _busy_engine(site), 'an engine is in mid answer'
    )
    site.kill(busy)
    say(f'Killed {busy} in the middle of an answer (SIGKILL).')
    out, err = caller.communicate(timeout=small_site.CALLER_LIMIT_S)
    expect(caller.returncode == 0, f'the answer is whole: {out} {err}')
    answer = json.loads(out)
    count = len(answer['token_ids'])
    expect(count == ANSWER_TOKENS, f'{count} tokens of {ANSWER_TOKENS}')
    say(f'The caller checked index, digest and count: {count} tokens, whole.')


def show_complaint_runs_once(site: small_site.SmallSite) -> None:
    """Drop the answer to a complaint and retry it with the same key."""
    portal = ['portal-v1-1', 'portal-v1-2']
    for name in portal:
        site.set_faults(name, lose_answers=True)
    arguments = ('POST', '/complaints', '--body', COMPLAINT)
    first = site.call(
        'service', small_site.PORTAL, *arguments, '--issue-key', '--json'
    )
    say(f'Filed a complaint; its answer was lost: {first.stdout.strip()}')
    key = json.loads(first.stdout)['key']
    for name in portal:
        site.set_faults(name, lose_answers=False)
    for _ in range(3):
        site.call('service', small_site.PORTAL, *arguments, '--key', key)
    runs = [
        call
        for name in portal
        for call in site.log(name)
        if call['path'] == '/complaints'
    ]
    expect(len(runs) == 1, f'the complaint ran {len(runs)} times')
    say('Repeated it three times: the portal ran it once.')


def _send_traffic(
    site: small_site.SmallSite, stop_requested: threading.Event
) -> None:
    headers = {'Authorization': f'Bearer {small_site.CREDENTIAL}'}
    addresses = site.addresses()
    number = 0
    while not stop_requested.is_set():
        number += 1
        address = addresses[number % len(addresses)]
        url = f'http://{address}/v1/services/{small_site.PORTAL}/cases/'
        local_site.http_json('GET', f'{url}{number}', None, headers)
        time.sleep(REQUEST_INTERVAL_S)


def _completed_move(site: small_site.SmallSite) -> Any:
    report = site.run_operator('status', '--json')
    moves = json.loads(report.stdout)['moves']
    found = [move for move in moves if move['version'] == 'v2']
    return found[0] if found and found[0]['state'] == 'done' else None


def show_move(site: small_site.SmallSite) -> None:
    """Move the portal to a second version while requests are sent."""
    site.start_portal('v2', 2)
    versions = {
        'v1': small_site.version(),
        'v2': small_site.version(small_site.done_by(MOVE_S)),
    }
    applied = site.apply(small_site.build_text(versions), 1)
    expect(applied.returncode == 0, f'the move is accepted: {applied.stderr}')
    say(f'Asked to move the portal to v2 within {MOVE_S:.0f} s.')
    stop_requested = threading.Event()
    traffic = threading.Thread(
        target=_send_traffic, args=(site, stop_requested)
    )
    traffic.start()
    try:
        local_site.wait_until(
            lambda: _completed_move(site), 'the move is done', MOVE_LIMIT_S
        )
    finally:
        stop_requested.set()
        traffic.join()
    say('The operator report:')
    say(site.run_operator('status').stdout)


def run(site: small_site.SmallSite) -> None:
    """Run all steps of the demo."""
    start(site)
    show_complete_answer(site)
    show_complaint_runs_once(site)
    show_move(site)


def main() -> int:
    """Run the demo and terminate all processes that it started."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        site = small_site.new_site(folder)
        try:
            run(site)
        except (DemoFailed, TimeoutError) as error:
            say(f'FAILED: {error}')
            return 1
        finally:
            site.stop()
    say(f'Done in {time.monotonic() - started_s:.0f} s.')
    return 0


if __name__ == '__main__':
    sys.exit(main())
