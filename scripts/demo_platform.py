"""Demonstrates the ingress of the users' platform during failures.

All other components are stand-ins. The script starts all processes that it
uses and terminates them at the end.
"""

from __future__ import annotations

import http.client
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

from standins.fleet import site as fleet_site

EVENTS = 120
EVENTS_BEFORE_KILL = 30
ANSWER_LIMIT_S = 20
# The platform sends SIGKILL 8 s after SIGTERM.
STOP_LIMIT_S = 8.0


class DemoFailed(Exception):
    """A step of the demo did not give the expected result."""


def say(line: str) -> None:
    """Print one line and flush the output."""
    print(line, flush=True)


def headers(request_id: str) -> dict[str, str]:
    """Return the request headers that a caller sends."""
    return {
        'Host': fleet_site.HOST,
        'Request-Id': request_id,
        'Api-Key': fleet_site.KEY,
        'Deadline-Ms': '15000',
    }


def start(site: fleet_site.FleetSite) -> None:
    """Start endpoints and entries under a first configuration."""
    site.write_row('op', 'config', fleet_site.configuration(1))
    for number in range(3):
        site.start_replica(
            f'model-{number}', 'model', f'fd-{number}', f'--events={EVENTS}'
        )
    site.start_replica('desk-0', 'desk', 'fd-0')
    for number in range(3):
        site.start_entry(f'entry-{number}', f'fd-{number}')
    for number in range(3):
        fleet_site.wait_ready(site, f'entry-{number}')
    say('Started the store, 3 model endpoints, 1 desk and 3 entries.')


def read_summary(site: fleet_site.FleetSite, content: bytearray) -> None:
    """Stream a summary from the first entry into ``content``."""
    connection = http.client.HTTPConnection(
        site.addresses['entry-0'], timeout=ANSWER_LIMIT_S
    )
    connection.request(
        'POST',
        fleet_site.STREAM_PREFIX + 'month',
        b'diary',
        {
            **headers('summary-1'),
            'Token-Usage': f'100,{EVENTS}',
            'Prompt-Prefix': 'aa:50,bb:50',
        },
    )
    answer = connection.getresponse()
    while chunk := answer.read1(4096):
        content += chunk


def kill_streaming_endpoint(site: fleet_site.FleetSite) -> None:
    """Kill the endpoint that serves a stream.

    :raises DemoFailed: if the caller does not receive the complete answer.
    """
    content = bytearray()
    caller = threading.Thread(target=read_summary, args=(site, content))
    caller.start()
    while content.count(b'id: ') < EVENTS_BEFORE_KILL:
        time.sleep(0.01)
    running = next(
        name for name in ('model-0', 'model-1', 'model-2') if site.runs(name)
    )
    site.signal(running, signal.SIGKILL)
    caller.join(ANSWER_LIMIT_S)
    expected = b''.join(
        b'id: %d\ndata: token\n\n' % number for number in range(1, EVENTS + 1)
    )
    if bytes(content) != expected:
        raise DemoFailed('the summary is not whole')
    say(f'Killed {running} in mid answer: {EVENTS} events, each once.')


def send_complaint(site: fleet_site.FleetSite) -> None:
    """Send a complaint whose answer is dropped.

    :raises DemoFailed: unless it ran exactly once and returned status 502.
    """
    site.post('desk-0', '/standin/faults', {'mode': 'lost'})
    connection = http.client.HTTPConnection(site.addresses['entry-1'])
    connection.request(
        'POST',
        fleet_site.CALL_PREFIX + 'noise',
        b'night market',
        headers('complaint-1'),
    )
    status = connection.getresponse().status
    ran = len(site.runs('desk-0'))
    if (status, ran) != (502, 1):
        raise DemoFailed(f'status {status}, {ran} runs')
    say('Lost the answer to a complaint: told 502, ran once.')


def stop_entry(site: fleet_site.FleetSite) -> None:
    """Stop an entry with SIGTERM.

    :raises DemoFailed: if it exits too late or with an error.
    """
    site.signal('entry-2', signal.SIGTERM)
    try:
        code = site.wait('entry-2', STOP_LIMIT_S)
    except subprocess.TimeoutExpired as error:
        tail = site.log('entry-2')[-5:]
        raise DemoFailed(f'the stop takes too long: {tail}') from error
    if code != 0:
        raise DemoFailed(f'the stop ended with code {code}')
    say('Stopped an entry as planned.')


def main() -> int:
    """Run the demo and terminate all processes that it started."""
    with tempfile.TemporaryDirectory() as folder:
        site = fleet_site.FleetSite(pathlib.Path(folder))
        try:
            start(site)
            kill_streaming_endpoint(site)
            send_complaint(site)
            stop_entry(site)
        except DemoFailed as error:
            say(f'FAILED: {error}')
            return 1
        finally:
            site.stop()
    say('All as promised.')
    return 0


if __name__ == '__main__':
    sys.exit(main())
