"""``python -m standins.soak.run --seed N --seconds S``."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import Annotated

import aiohttp
import typer

from standins.fleet import site as fleet_site
from standins import local_site
from standins.soak import callers as caller_model
from standins.soak import proxy as proxies

ENTRIES = 3
MODELS = 4
DESKS = 2
CALLERS = 6
# A fault lasts up to this long, and the next one begins up to this long
# after it did, so that they come in series and overlap.
LONGEST_FAULT_S = 2.5
LONGEST_PAUSE_S = 1.2
# The platform kills a process 8 s after SIGTERM.
STOP_LIMIT_S = 8.0
# After the last fault everything must be back within this time.
RECOVER_S = 12.0
CONFIGURATION_LIMIT_S = 2.0


class Soak:
    """One fleet, its faults and what callers see."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.rng = random.Random(seed)
        self.site = fleet_site.FleetSite(folder)
        self.store_address = self.site.store
        self.proxies: dict[str, proxies.FaultProxy] = {}
        self.starts: dict[str, int] = {}
        self.runs: dict[str, list[list[str]]] = {}
        self.version = 0
        self.violations: list[str] = []
        self.faults: list[str] = []

    async def start(self) -> None:
        """Start store, endpoints and entries."""
        store_proxy = await proxies.FaultProxy(self.site.store).start()
        self.proxies['store'] = store_proxy
        self.site.store = store_proxy.address
        self.configure()
        for number in range(MODELS + DESKS):
            kind = 'model' if number < MODELS else 'desk'
            await self.start_endpoint(f'{kind}-{number}')
        self.entries = [f'entry-{number}' for number in range(ENTRIES)]
        for number, name in enumerate(self.entries):
            self.site.start_entry(name, f'fd-{number}')
        for name in self.entries:
            await asyncio.to_thread(fleet_site.wait_ready, self.site, name)

    def configure(self) -> None:
        """Write the next configuration, which adds one route."""
        self.version += 1
        raw = fleet_site.configuration(self.version)
        route = fleet_site.route(
            'r-v', f'/v{self.version}/', 'non_idempotent', 'desk'
        )
        raw['routes'].append(route)
        self.site.operate('op', 'config', raw)

    async def start_endpoint(self, slot: str) -> None:
        """Start the next endpoint of a slot under a new id."""
        self.starts[slot] = self.starts.get(slot, 0) + 1
        name = f'{slot}-{self.starts[slot]}'
        service, _, number = slot.partition('-')
        self.site.start_process(
            name,
            ['standins.fleet.replica', f'--endpoint-id={name}', '--port=0'],
        )
        its_proxy = await proxies.FaultProxy(self.site.addresses[name]).start()
        self.proxies[slot] = its_proxy
        self.site.register(
            name, service, f'fd-{int(number) % 3}', address=its_proxy.address
        )

    def endpoint(self, slot: str) -> str:
        """Return the id of a slot's endpoint."""
        return f'{slot}-{self.starts[slot]}'

    async def harm(self, until_s: float) -> None:
        """Begin faults until a moment, then wait for their ends."""
        kinds = (
            self.kill_entry,
            self.pause_entry,
            self.stop_entry,
            self.kill_endpoint,
            self.pause_endpoint,
            self.harm_connection,
            self.harm_store,
            self.change_configuration,
        )
        tasks = []
        while time.monotonic() < until_s:
            act = self.rng.choice(kinds)
            tasks.append(asyncio.create_task(act()))
            await asyncio.sleep(self.rng.random() * LONGEST_PAUSE_S)
        await asyncio.gather(*tasks)

    def _span_s(self) -> float:
        return self.rng.uniform(0.2, LONGEST_FAULT_S)

    def _note(self, text: str) -> None:
        self.faults.append(f'{time.monotonic():.2f} {text}')

    async def _restart(self, name: str, number: signal.Signals) -> None:
        process = self.site.processes[name]
        if process.poll() is not None:
            return
        self._note(f'{number.name} {name}')
        began_s = time.monotonic()
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        await asyncio.to_thread(process.wait)
        took_s = time.monotonic() - began_s
        if number is signal.SIGTERM and took_s > STOP_LIMIT_S:
            self.violations.append(f'{name}: stop took {took_s:.1f} s')
        await asyncio.sleep(self.rng.random())
        if process is self.site.processes[name]:
            self.site.restart_entry(name)

    async def kill_entry(self) -> None:
        """Kill an entry and start it again."""
        await self._restart(self.rng.choice(self.entries), signal.SIGKILL)

    async def stop_entry(self) -> None:
        """Stop an entry as planned and start it again."""
        await self._restart(self.rng.choice(self.entries), signal.SIGTERM)

    async def _pause(self, name: str) -> None:
        process = self.site.processes[name]
        if process.poll() is not None:
            return
        self._note(f'pause {name}')
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._span_s())
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def pause_entry(self) -> None:
        """Freeze an entry for a while."""
        await self._pause(self.rng.choice(self.entries))

    async def pause_endpoint(self) -> None:
        """Freeze an endpoint for a while."""
        slot = self.rng.choice(list(self.starts))
        await self._pause(self.endpoint(slot))

    async def kill_endpoint(self) -> None:
        """Kill an endpoint; its row goes later, another one starts."""
        slot = self.rng.choice(list(self.starts))
        name = self.endpoint(slot)
        process = self.site.processes[name]
        if process.poll() is not None:
            return
        self._note(f'kill {name}')
        await self._remember_runs(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        await asyncio.sleep(self._span_s())
        self.site.operate('servers', name)
        await self.proxies[slot].stop()
        await self.start_endpoint(slot)

    async def harm_connection(self) -> None:
        """Harm what goes through a proxy of an endpoint."""
        slot = self.rng.choice(list(self.starts))
        await self._harm_proxy(slot)

    async def harm_store(self) -> None:
        """Harm the store, or the way to it."""
        if self.rng.random() < 0.5:
            await self._harm_proxy('store')
            return
        fault = self.rng.choice(({'mode': 'busy'}, {'forget': True}))
        self._note(f'store {fault}')
        self.site.post('store', '/standin/faults', fault)
        await asyncio.sleep(self._span_s())
        self.site.post('store', '/standin/faults', {'mode': 'up'})

    async def _harm_proxy(self, slot: str) -> None:
        its_proxy = self.proxies[slot]
        mode = self.rng.choice(list(proxies.Mode)[1:])
        self._note(f'{mode.value} {slot}')
        its_proxy.harm(mode)
        await asyncio.sleep(self._span_s())
        its_proxy.harm(proxies.Mode.PASS)

    async def change_configuration(self) -> None:
        """Write another configuration."""
        self._note(f'configuration {self.version + 1}')
        self.configure()

    async def _remember_runs(self, name: str) -> None:
        """Keep what an endpoint ran; it may be frozen just now."""
        self.site.processes[name].send_signal(signal.SIGCONT)
        self.runs[name] = await asyncio.to_thread(self.site.runs, name)

    async def check(self, callers: caller_model.Callers) -> None:
        """Check what holds once everything is calm again."""
        for slot in self.starts:
            await self._remember_runs(self.endpoint(slot))
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

    async def check_calm(self, callers: caller_model.Callers) -> None:
        """Check that every entry serves and knows the configuration."""
        self.configure()
        changed_s = time.monotonic()
        async with aiohttp.ClientSession() as session:
            await asyncio.sleep(CONFIGURATION_LIMIT_S)
            for name in self.entries:
                url = (
                    f'http://{self.site.addresses[name]}/v{self.version}/calm'
                )
                headers = {
                    'Host': fleet_site.HOST,
                    'Request-Id': f'calm-{name}',
                    'Api-Key': fleet_site.KEY,
                }
                async with session.post(url, headers=headers) as answer:
                    if answer.status != 200:
                        waited_s = time.monotonic() - changed_s
                        self.violations.append(
                            f'{name}: {answer.status} on a route that is '
                            f'{waited_s:.1f} s old'
                        )
            served = [await callers.call(session) for _ in range(10)]
            served += [await callers.stream(session) for _ in range(3)]
        if not all(served):
            self.violations.append(f'calm requests served: {served}')


async def soak(seed: int, seconds: float) -> list[str]:
    """Run one seed; return the broken promises."""
    with tempfile.TemporaryDirectory() as folder:
        run = Soak(seed, pathlib.Path(folder))
        try:
            await run.start()
            addresses = [run.site.addresses[name] for name in run.entries]
            callers = caller_model.Callers(addresses, random.Random(seed))
            tasks = [
                asyncio.create_task(callers.run()) for _ in range(CALLERS)
            ]
            await run.harm(time.monotonic() + seconds)
            for name in run.entries:
                await asyncio.to_thread(
                    local_site.wait_until,
                    lambda name=name: _is_ready(run, name),
                    f'{name} is ready again',
                    RECOVER_S,
                )
            await asyncio.sleep(1.0)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await run.check_calm(callers)
            await run.check(callers)
        finally:
            for each in run.proxies.values():
                await each.stop()
            run.site.stop()
            if run.violations:
                _keep_logs(seed, run)
    print(f'seed {seed}: {json.dumps(callers.outcomes, sort_keys=True)}')
    return run.violations


def _is_ready(run: Soak, name: str) -> bool:
    url = f'http://{run.site.port_address(name, 1)}/readyz'
    return local_site.http_json('GET', url) is None


def _keep_logs(seed: int, run: Soak) -> None:
    """Keep faults and logs of a seed that broke a promise."""
    kept = pathlib.Path('target/soak') / str(seed)
    kept.mkdir(parents=True, exist_ok=True)
    (kept / 'faults.txt').write_text('\n'.join(run.faults))
    for path in run.site.folder.glob('*.log'):
        (kept / path.name).write_text(path.read_text())


def main(
    seed: Annotated[int, typer.Option()] = 0,
    seconds: Annotated[float, typer.Option(min=1.0)] = 20.0,
    count: Annotated[int, typer.Option(min=1)] = 1,
) -> None:
    """Soak the entries; a seed of 0 draws a fresh one.

    :param seed: first seed.
    :param seconds: seconds of faults for each seed.
    :param count: number of seeds.
    """
    first = seed or random.SystemRandom().randrange(1, 10**6)
    broken = 0
    for number in range(first, first + count):
        for line in asyncio.run(soak(number, seconds)):
            print(f'BROKEN seed {number}: {line}', flush=True)
            broken += 1
    print(f'{count} seeds from {first}, {broken} broken promises')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    typer.run(main)
