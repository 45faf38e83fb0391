"""Steps for entries that lag behind the store."""

from __future__ import annotations

import asyncio
import signal
import threading
import time

import behave
from features.steps import ingress_restored_store_steps as restored_steps
from features.steps import ingress_steps
from standins.fleet import site as fleet_site
from standins import local_site
from standins.soak import proxy

PATH = fleet_site.CALL_PREFIX + 'x'
READ_S = 2.0
# Longer than an entry that lost the store waits for its next call.
LOST_S = 1.2


def _run_loop(context):
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    def stop():
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()

    context.cleanups.append(stop)
    return loop


@behave.given('a fleet with {count:d} entries that may lose the store')
def fleet_behind_proxies(context, count):
    context.loop = _run_loop(context)
    fleet = ingress_steps._fleet(context)
    fleet.write_row('op', 'config', fleet_site.configuration(5))
    fleet.start_replica('p0', 'desk', 'fd-0')
    context.entries = [f'entry-{number}' for number in range(count)]
    context.proxies = {}
    for number, name in enumerate(context.entries):
        fault_proxy = proxy.FaultProxy(fleet.store)
        _call(context, fault_proxy.start())
        context.cleanups.append(
            lambda fault_proxy=fault_proxy: _call(context, fault_proxy.stop())
        )
        context.proxies[name] = fault_proxy
        fleet.start_entry(
            name, f'fd-{number}', store_address=fault_proxy.address
        )
    for name in context.entries:
        fleet_site.wait_ready(fleet, name)


def _call(context, coroutine):
    return asyncio.run_coroutine_threadsafe(coroutine, context.loop).result(5)


def _set_mode(context, name, mode):
    context.loop.call_soon_threadsafe(context.proxies[name].set_mode, mode)


def _wait_for_key(context, name, is_valid, limit_s):
    def is_reached():
        status = restored_steps._send(
            context, name, PATH, key=restored_steps.WITHDRAWN_KEY
        )
        return status == (200 if is_valid else 401)

    local_site.wait_until(
        is_reached, f'the key is valid at {name}: {is_valid}', limit_s
    )


@behave.given('the operator adds a key')
def add_key(context):
    content = restored_steps._configuration(6, True)
    context.fleet.write_row('op', 'config', content)
    for name in context.entries:
        _wait_for_key(context, name, True, READ_S)


def _withdraw_key(context):
    content = restored_steps._configuration(7, False)
    context.fleet.write_row('op', 'config', content)


@behave.when('entry-0 loses the store and the operator withdraws the key')
def withdraw_unnoticed(context):
    _set_mode(context, 'entry-0', proxy.Mode.RESET)
    _withdraw_key(context)


@behave.when('{name} loses the store')
def lose_store(context, name):
    _set_mode(context, name, proxy.Mode.RESET)


@behave.when('the store comes back, and the operator adds a key')
def come_back_with_key(context):
    # Versions go on beyond those that the entries know.
    context.fleet.restore_store(0.0, 0.3, other_writes=1000)
    # The entry that reaches the store reads its table before the change.
    time.sleep(LOST_S)
    add_key(context)


@behave.when('{name} is killed and the operator withdraws the key')
def kill_and_withdraw(context, name):
    context.fleet.signal(name, signal.SIGKILL)
    context.fleet.wait(name, 5.0)
    _withdraw_key(context)


@behave.when('{name} reaches the store again')
def reach_store(context, name):
    _set_mode(context, name, proxy.Mode.PASS)


@behave.then('{name} refuses the withdrawn key within {limit_s:d} s')
def refuses_key(context, name, limit_s):
    _wait_for_key(context, name, False, limit_s)
