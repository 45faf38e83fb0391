"""Streams of sound and deadly prompts at the entries of a fleet."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import NamedTuple

import aiohttp
from standins.fleet import site as fleet_site

DEADLY_PART = 'deadly'
# Parts of which each prompt has one, deadly ones as well.
FIRST_PARTS = ('first-0', 'first-1')
# A killed endpoint is started again after this time.
AWAY_S = 2.0
CHECK_PERIOD_S = 0.1
LIMIT_S = 8.0
# Bounds of the rules: crashes, and times after the last of them.
RULE_CRASHES = 5
CONTACT_S = 3.0
# Share of the requests whose own middle part is new.
OWN_PART_SHARE = 0.5


class Sent(NamedTuple):
    """A request and what its caller got; times are monotonic seconds."""

    at_s: float
    request_id: str
    is_deadly: bool
    status: int
    content: bytes


class Run(NamedTuple):
    """A request that reached an endpoint."""

    at_s: float
    endpoint_id: str
    request_id: str
    is_deadly: bool


class Endpoints:
    """Endpoints of the model service, started again after each crash.

    :param options: options of the stand-ins.
    """

    def __init__(self, site, count, options):
        self._site = site
        self._run_log = site.folder / 'runs.jsonl'
        self._run_log.touch()
        self._options = [*options, f'--run-log={self._run_log}']
        self._names = {f'm{number}': f'm{number}-0' for number in range(count)}
        self._starts_s = dict.fromkeys(self._names, 0.0)
        self.crashes_s = []
        for slot, name in self._names.items():
            self._start(slot, name)

    def _start(self, slot, name, port=0):
        domain = f'fd-{int(slot[1:]) % 2}'
        self._site.start_replica(
            name, 'model', domain, *self._options, port=port
        )

    async def watch(self):
        """Start killed endpoints again, under a new id."""
        while True:
            now_s = time.monotonic()
            for slot, name in list(self._names.items()):
                if self._site.processes[name].poll() is None:
                    continue
                if not self._starts_s[slot]:
                    self.crashes_s.append(now_s)
                    self._starts_s[slot] = now_s + AWAY_S
                elif now_s >= self._starts_s[slot]:
                    await asyncio.to_thread(self._start_again, slot, name)
            await asyncio.sleep(CHECK_PERIOD_S)

    def _start_again(self, slot, name):
        base, _, number = name.rpartition('-')
        port = int(self._site.addresses[name].rpartition(':')[2])
        self._site.write_row('servers', name)
        self._names[slot] = f'{base}-{int(number) + 1}'
        self._starts_s[slot] = 0.0
        self._start(slot, self._names[slot], port)

    def runs(self):
        """Return what reached the endpoints, in the order of time."""
        lines = self._run_log.read_text().splitlines()
        return sorted(Run(**json.loads(line)) for line in lines)


class Traffic:
    """Requests at a rate to all entries in turn.

    :param share: share of deadly requests.
    :param deadly_from_s: when they begin to come, seconds after the first
        request.
    """

    def __init__(self, site, entries, seed, share, deadly_from_s):
        self._addresses = [site.addresses[name] for name in entries]
        self._rng = random.Random(seed)
        self._share = share
        self._deadly_from_s = deadly_from_s
        self.sent = []

    async def run(self, endpoints, rate, seconds):
        """Send requests and return when all have ended."""
        watch = asyncio.create_task(endpoints.watch())
        limit = aiohttp.ClientTimeout(total=LIMIT_S + 1.0)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        began_s = time.monotonic()
        async with aiohttp.ClientSession(
            timeout=limit, connector=connector
        ) as session:
            async with asyncio.TaskGroup() as tasks:
                for number in range(int(rate * seconds)):
                    due_s = began_s + number / rate
                    await asyncio.sleep(max(due_s - time.monotonic(), 0.0))
                    is_deadly = (
                        time.monotonic() - began_s >= self._deadly_from_s
                        and self._rng.random() < self._share
                    )
                    tasks.create_task(self._send(session, number, is_deadly))
        watch.cancel()

    def _prefix(self, number, is_deadly):
        parts = [self._rng.choice(FIRST_PARTS)]
        if is_deadly:
            parts.append(DEADLY_PART)
        if self._rng.random() < OWN_PART_SHARE:
            parts.append(f'own-{number}')
        return ','.join(f'{each}:20' for each in [*parts, f'last-{number}'])

    async def _send(self, session, number, is_deadly):
        address = self._addresses[number % len(self._addresses)]
        request_id = f'r-{number}'
        headers = {
            'Host': fleet_site.HOST,
            'Request-Id': request_id,
            'Api-Key': fleet_site.KEY,
            'Deadline-Ms': str(int(LIMIT_S * 1000)),
            'Token-Usage': '80,10',
            'Prompt-Prefix': self._prefix(number, is_deadly),
        }
        at_s = time.monotonic()
        status, content = 0, b''
        try:
            async with session.post(
                f'http://{address}{fleet_site.STREAM_PREFIX}x',
                data=b'month',
                headers=headers,
            ) as answer:
                status = answer.status
                content = await answer.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            pass
        self.sent.append(Sent(at_s, request_id, is_deadly, status, content))


def late_deadly_runs(runs, crashes_s):
    """Return the runs of deadly prompts that the rule counts."""
    if len(crashes_s) < RULE_CRASHES:
        return []
    from_s = sorted(crashes_s)[RULE_CRASHES - 1] + CONTACT_S
    return [each for each in runs if each.is_deadly and each.at_s > from_s]


def late_sound(sent, crashes_s):
    """Return the sound requests after the time that the rule leaves."""
    last_s = sorted(crashes_s)[:RULE_CRASHES][-1]
    return [
        each
        for each in sent
        if not each.is_deadly and each.at_s > last_s + 2 * CONTACT_S
    ]
