"""Command ``python -m standins.soak.run --seed N --seconds S``."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import Annotated, Any
import urllib.error

import aiohttp
import typer

from standins.fleet import site as fleet_site
from standins import local_site
from standins.soak import callers as soak_callers
from standins.soak import proxy as proxies

ENTRIES = 3
MODELS = 4
DESKS = 2
CALLERS = 6
# The interval between the starts of two faults is shorter than the longest
# fault, so that faults overlap.
MAX_FAULT_S = 2.5
MAX_FAULT_INTERVAL_S = 1.2
# The platform kills a process 8 s after SIGTERM.
STOP_LIMIT_S = 8.0
# Every entry must be ready within this time after the last fault.
RECOVERY_LIMIT_S = 12.0
CONFIGURATION_LIMIT_S = 2.0
# The store returns from copies of up to this age, within the time in which
# other faults begin.
MAX_COPY_AGE_S = 6.0
MAX_AWAY_S = 1.5
# Transactions of other writers right after a return.
OTHER_WRITES = 500
# Operators write again what was lost within this time.
MAX_REWRITE_DELAY_S = 1.0
WRITE_RETRY_PAUSE_S = 0.1
WATCH_PERIOD_S = 0.3
WATCH_LIMIT_S = 1.0
# Versions of which the watch asks whether they are in force.
WATCHED_VERSIONS = 3


class Soak:
    """One fleet, the faults injected into it and the violations found.

    :param has_restores: whether the store also returns from older copies.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, has_restores: bool = False
    ) -> None:
        self.rng = random.Random(seed)
        self.site = fleet_site.FleetSite(folder)
        self.store_address = self.site.store
        self.proxies: dict[str, proxies.FaultProxy] = {}
        self.starts: dict[str, int] = {}
        self.runs: dict[str, list[list[str]]] = {}
        self.version = 0
        self.violations: list[str] = []
        self.faults: list[str] = []
        self.has_restores = has_restores
        self._restoring = asyncio.Lock()
        self._configuring = asyncio.Lock()
        self._configuration: dict[str, Any] = {}

    async def start(self) -> None:
        """Start store, endpoints and entries."""
        store_proxy = await proxies.FaultProxy(self.site.store).start()
        self.proxies['store'] = store_proxy
        self.site.store = store_proxy.address
        await self.configure()
        for number in range(MODELS + DESKS):
            kind = 'model' if number < MODELS else 'desk'
            await self.start_endpoint(f'{kind}-{number}')
        self.entries = [f'entry-{number}' for number in range(ENTRIES)]
        for number, name in enumerate(self.entries):
            self.site.start_entry(name, f'fd-{number}')
        for name in self.entries:
            await asyncio.to_thread(fleet_site.wait_ready, self.site, name)

    async def configure(self) -> None:
        """Write the next configuration, which adds one route."""
        async with self._configuring:
            self.version += 1
            raw = fleet_site.configuration(self.version)
            route = fleet_site.route(
                'r-v', f'/v{self.version}/', 'non_idempotent', 'desk'
            )
            raw['routes'].append(route)
            self._configuration = raw
            await self._write_configuration()

    async def _write_configuration(self) -> None:
        await _until_accepted(
            lambda: self.site.write_row('op', 'config', self._configuration)
        )

    async def start_endpoint(self, slot: str) -> None:
        """Start the next endpoint of a slot under a new id."""
        self.starts[slot] = self.starts.get(slot, 0) + 1
        name = f'{slot}-{self.starts[slot]}'
        service, _, number = slot.partition('-')
        self.site.start_process(
            name,
            ['standins.fleet.replica', f'--endpoint-id={name}', '--port=0'],
        )
        endpoint_proxy = await proxies.FaultProxy(
            self.site.addresses[name]
        ).start()
        self.proxies[slot] = endpoint_proxy
        await _until_accepted(
            lambda: self.site.register(
                name,
                service,
                f'fd-{int(number) % 3}',
                address=endpoint_proxy.address,
            )
        )

    def endpoint(self, slot: str) -> str:
        """Return the id of a slot's endpoint."""
        return f'{slot}-{self.starts[slot]}'

    async def inject_faults(self, until_s: float) -> None:
        """Start random faults until a time, then wait until all ended."""
        faults = [
            self.kill_entry,
            self.pause_entry,
            self.stop_entry,
            self.kill_endpoint,
            self.pause_endpoint,
            self.disturb_connection,
            self.disturb_store,
            self.change_configuration,
        ]
        if self.has_restores:
            # Twice, so that returns and changes often follow one another.
            faults += [self.restore_store, self.restore_store]
        tasks = []
        while time.monotonic() < until_s:
            inject = self.rng.choice(faults)
            tasks.append(asyncio.create_task(inject()))
            await asyncio.sleep(self.rng.random() * MAX_FAULT_INTERVAL_S)
        await asyncio.gather(*tasks)

    def _fault_duration_s(self) -> float:
        return self.rng.uniform(0.2, MAX_FAULT_S)

    def _record_fault(self, text: str) -> None:
        self.faults.append(f'{time.monotonic():.2f} {text}')

    async def _restart(self, name: str, number: signal.Signals) -> None:
        process = self.site.processes[name]
        if process.poll() is not None:
            return
        self._record_fault(f'{number.name} {name}')
        started_s = time.monotonic()
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        await asyncio.to_thread(process.wait)
        took_s = time.monotonic() - started_s
        if number is signal.SIGTERM and took_s > STOP_LIMIT_S:
            self.violations.append(f'{name}: stop took {took_s:.1f} s')
        await asyncio.sleep(self.rng.random())
        if process is self.site.processes[name]:
            self.site.restart_entry(name)

    async def kill_entry(self) -> None:
        """Kill an entry with SIGKILL and start it again."""
        await self._restart(self.rng.choice(self.entries), signal.SIGKILL)

    async def stop_entry(self) -> None:
        """Stop an entry with SIGTERM and start it again."""
        await self._restart(self.rng.choice(self.entries), signal.SIGTERM)

    async def _pause(self, name: str) -> None:
        process = self.site.processes[name]
        if process.poll() is not None:
            return
        self._record_fault(f'pause {name}')
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._fault_duration_s())
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def pause_entry(self) -> None:
        """Freeze an entry with SIGSTOP, then continue it."""
        await self._pause(self.rng.choice(self.entries))

    async def pause_endpoint(self) -> None:
        """Freeze an endpoint with SIGSTOP, then continue it."""
        slot = self.rng.choice(list(self.starts))
        await self._pause(self.endpoint(slot))

    async def kill_endpoint(self) -> None:
        """Kill an endpoint, remove its row later and start another."""
        slot = self.rng.choice(list(self.starts))
        name = self.endpoint(slot)
        process = self.site.processes[name]
        if process.poll() is not None:
            return
        self._record_fault(f'kill {name}')
        await self._save_runs(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        await asyncio.sleep(self._fault_duration_s())
        await _until_accepted(lambda: self.site.write_row('servers', name))
        await self.proxies[slot].stop()
        await self.start_endpoint(slot)

    async def disturb_connection(self) -> None:
        """Inject a fault into the connections of an endpoint."""
        slot = self.rng.choice(list(self.starts))
        await self._disturb_proxy(slot)

    async def disturb_store(self) -> None:
        """Inject a fault into the store or the connections to it."""
        if self.rng.random() < 0.5:
            await self._disturb_proxy('store')
            return
        fault = self.rng.choice(({'mode': 'busy'}, {'forget': True}))
        self._record_fault(f'store {fault}')
        self.site.post('store', '/standin/faults', fault)
        await asyncio.sleep(self._fault_duration_s())
        self.site.post('store', '/standin/faults', {'mode': 'up'})

    async def _disturb_proxy(self, slot: str) -> None:
        fault_proxy = self.proxies[slot]
        mode = self.rng.choice(list(proxies.Mode)[1:])
        self._record_fault(f'{mode.value} {slot}')
        fault_proxy.set_mode(mode)
        await asyncio.sleep(self._fault_duration_s())
        fault_proxy.set_mode(proxies.Mode.PASS)

    async def change_configuration(self) -> None:
        """Write the next configuration while other faults last."""
        self._record_fault(f'configuration {self.version + 1}')
        await self.configure()

    async def restore_store(self) -> None:
        """Let the store return from an older copy; write again what it lost.

        Operators write the newest configuration again a moment later.
        """
        await self._return_from_copy()
        await asyncio.sleep(self.rng.uniform(0.0, MAX_REWRITE_DELAY_S))
        async with self._configuring:
            await self._write_configuration()

    async def _return_from_copy(self) -> None:
        age_s = self.rng.uniform(0.5, MAX_COPY_AGE_S)
        away_s = self.rng.uniform(0.1, MAX_AWAY_S)
        absence = self.rng.choice(('away', 'hung'))
        other_writes = self.rng.choice((0, OTHER_WRITES))
        async with self._restoring:
            self._record_fault(
                f'return from {age_s:.1f} s, {absence} for {away_s:.1f} s, '
                f'{other_writes} other writes'
            )
            await asyncio.to_thread(
                self.site.restore_store,
                age_s,
                away_s,
                absence=absence,
                other_writes=other_writes,
            )

    async def watch_versions(self) -> None:
        """Report entries that go back to an older configuration.

        Each configuration has a route that none of the others has.
        """
        limit = aiohttp.ClientTimeout(total=WATCH_LIMIT_S)
        async with aiohttp.ClientSession(timeout=limit) as session:
            await asyncio.gather(
                *(self._watch_entry(session, name) for name in self.entries)
            )

    async def _watch_entry(
        self, session: aiohttp.ClientSession, name: str
    ) -> None:
        process = None
        newest = 0
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            if process is not self.site.processes[name]:
                process, newest = self.site.processes[name], 0
            oldest = max(self.version - WATCHED_VERSIONS, 0)
            for version in range(self.version, oldest, -1):
                status = await self._status_of(session, name, version)
                if process is not self.site.processes[name]:
                    break
                if status == 200 and version < newest:
                    self.violations.append(
                        f'{name}: went back from {newest} to {version}'
                    )
                if status == 200:
                    newest = max(newest, version)
                    break

    async def _status_of(
        self, session: aiohttp.ClientSession, name: str, version: int
    ) -> int:
        """Return the status on the route of a version, or 0."""
        url = f'http://{self.site.addresses[name]}/v{version}/calm'
        headers = {
            'Host': fleet_site.HOST,
            'Request-Id': f'calm-{name}',
            'Api-Key': fleet_site.KEY,
        }
        with contextlib.suppress(
            aiohttp.ClientError, OSError, asyncio.TimeoutError
        ):
            async with session.post(url, headers=headers) as answer:
                return answer.status
        return 0

    async def _save_runs(self, name: str) -> None:
        """Save the runs of an endpoint, which is continued if frozen."""
        self.site.processes[name].send_signal(signal.SIGCONT)
        self.runs[name] = await asyncio.to_thread(self.site.runs, name)

    async def check(self, callers: soak_callers.Callers) -> None:
        """Collect violations by callers and by runs of the endpoints."""
        for slot in self.starts:
            await self._save_runs(self.endpoint(slot))
        counts: dict[str, int] = {}
        for runs in self.runs.values():
            for request_id, *_ in runs:
                counts[request_id] = counts.get(request_id, 0) + 1
        self.violations += callers.violations
        self.violations += [
            f'{request_id} ran {count} times'
            for request_id, count in counts.items()
            if request_id.startswith('c-') and count > 1
        ]
        self.violations += [
            f'{request_id} ran and was said not to have run'
            for request_id in callers.not_run & counts.keys()
        ]

    async def check_recovery(self, callers: soak_callers.Callers) -> None:
        """Check that every entry serves and knows the configuration."""
        if self.has_restores:
            await self._return_from_copy()
        await self.configure()
        changed_s = time.monotonic()
        async with aiohttp.ClientSession() as session:
            await asyncio.sleep(CONFIGURATION_LIMIT_S)
            for name in self.entries:
                status = await self._status_of(session, name, self.version)
                if status != 200:
                    waited_s = time.monotonic() - changed_s
                    self.violations.append(
                        f'{name}: {status} on a route that is '
                        f'{waited_s:.1f} s old'
                    )
            served = [await callers.call(session) for _ in range(10)]
            served += [await callers.stream(session) for _ in range(3)]
        if not all(served):
            self.violations.append(f'calm requests served: {served}')


async def _until_accepted(write: abc.Callable[[], None]) -> None:
    """Repeat a write until the store accepts it; it may be away."""
    while True:
        try:
            return await asyncio.to_thread(write)
        except urllib.error.HTTPError as error:
            if error.code != 503:
                raise
        await asyncio.sleep(WRITE_RETRY_PAUSE_S)


async def end_tasks(tasks: abc.Collection[asyncio.Task[None]]) -> None:
    """Cancel the tasks of callers and checks.

    :raises Exception: the error of one that ended before, which would leave
        a guarantee unchecked.
    """
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception):
            raise result


async def soak(
    seed: int, seconds: float, has_restores: bool = False
) -> list[str]:
    """Run one seed; return the violations.

    Faults and logs are kept unless no guarantee was violated. An error names
    the seed in a note.

    :param has_restores: whether the store also returns from older copies.
    """
    with tempfile.TemporaryDirectory() as folder:
        run = Soak(seed, pathlib.Path(folder), has_restores)
        keeps_logs = True
        try:
            await run.start()
            addresses = [run.site.addresses[name] for name in run.entries]
            callers = soak_callers.Callers(addresses, random.Random(seed))
            tasks = [
                asyncio.create_task(callers.run()) for _ in range(CALLERS)
            ]
            watch = asyncio.create_task(run.watch_versions())
            tasks.append(watch)
            await run.inject_faults(time.monotonic() + seconds)
            for name in run.entries:
                await asyncio.to_thread(
                    local_site.wait_until,
                    lambda name=name: _is_ready(run, name),
                    f'{name} is ready again',
                    RECOVERY_LIMIT_S,
                )
            await asyncio.sleep(1.0)
            await end_tasks(tasks)
            await run.check_recovery(callers)
            await run.check(callers)
            keeps_logs = bool(run.violations)
        except Exception as error:
            error.add_note(f'seed {seed}')
            raise
        finally:
            for each in run.proxies.values():
                await each.stop()
            run.site.stop()
            if keeps_logs:
                _save_logs(seed, run)
    print(f'seed {seed}: {json.dumps(callers.outcomes, sort_keys=True)}')
    return run.violations


def _is_ready(run: Soak, name: str) -> bool:
    url = f'http://{run.site.port_address(name, 1)}/readyz'
    return local_site.http_json('GET', url) is None


def _save_logs(seed: int, run: Soak) -> None:
    """Save faults and logs of a seed that broke a guarantee or failed."""
    saved = pathlib.Path('target/soak') / str(seed)
    saved.mkdir(parents=True, exist_ok=True)
    (saved / 'faults.txt').write_text('\n'.join(run.faults))
    for path in run.site.folder.glob('*.log'):
        (saved / path.name).write_text(path.read_text())


def main(
    seed: Annotated[int, typer.Option()] = 0,
    seconds: Annotated[float, typer.Option(min=1.0)] = 20.0,
    count: Annotated[int, typer.Option(min=1)] = 1,
    restores: bool = False,
) -> None:
    """Run the soak test; a seed of 0 stands for a random one.

    :param seed: first seed; the following seeds count up from it.
    :param seconds: seconds of faults for each seed.
    :param count: number of seeds.
    :param restores: let the store also return from older copies.
    """
    first = seed or random.SystemRandom().randrange(1, 10**6)
    violation_count = 0
    for number in range(first, first + count):
        for line in asyncio.run(soak(number, seconds, restores)):
            print(f'BROKEN seed {number}: {line}', flush=True)
            violation_count += 1
    print(f'{count} seeds from {first}, {violation_count} broken promises')
    sys.exit(1 if violation_count else 0)


if __name__ == '__main__':
    typer.run(main)
