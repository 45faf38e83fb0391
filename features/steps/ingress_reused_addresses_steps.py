"""Steps for addresses that are used again while the store is down."""

from __future__ import annotations

import itertools
import signal
import threading
import time

import behave
from features.doubles import cuttable_link
from features.steps import ingress_steps
from standins import local_site

# Each entry gets a summary so often; each takes a second.
SUMMARY_PERIOD_S = 0.1
# Both endpoints then run summaries of both entries.
WARM_UP_S = 1.5
# From the crash until the store is down.
STORE_DOWN_AFTER_S = 0.5
# An endpoint is reserved for its service for 2 s, and starts in 1 s.
BACK_WITHIN_S = 4.0
WATCHED_S = 2.0


class _SummaryLoad(threading.Thread):
    """Sends summaries to all entries until it is stopped."""

    def __init__(self, addresses):
        super().__init__(daemon=True)
        self._addresses = addresses
        self._is_stopped = threading.Event()

    def run(self):
        for number in itertools.count():
            if self._is_stopped.wait(SUMMARY_PERIOD_S):
                return
            for entry, address in enumerate(self._addresses):
                ingress_steps._SummaryCaller(
                    address, f'{entry:04x}{number:08x}'
                ).start()

    def stop(self):
        self._is_stopped.set()
        self.join()


def _run_summaries(context, endpoints):
    fleet = context.fleet
    load = _SummaryLoad([fleet.addresses[name] for name in context.entries])
    load.start()
    context.cleanups.append(load.stop)
    time.sleep(WARM_UP_S)
    assert all(fleet.runs(name) for name in endpoints)


@behave.given('all entries run summaries')
def run_summaries(context):
    _run_summaries(context, ('m0', 'm1'))


@behave.given('all entries run summaries at "{name}", whose link can be cut')
def run_summaries_over_link(context, name):
    fleet = context.fleet
    context.link = cuttable_link.CuttableLink(fleet.addresses[name])
    context.link.start()
    context.cleanups.append(context.link.stop)
    fleet.register(name, 'model', 'fd-0', address=context.link.address)
    _run_summaries(context, (name,))


def _set_store(context, mode):
    context.fleet.post('store', '/standin/faults', {'mode': mode})


def _start_unregistered(context, name, address=':0'):
    """Start an endpoint at a given address; the store has no row of it."""
    port = address.rpartition(':')[2]
    return context.fleet.start_process(
        name,
        [
            'standins.fleet.replica',
            f'--endpoint-id={name}',
            f'--port={port}',
        ],
    )


def _crash(context, name):
    context.fleet.signal(name, signal.SIGKILL)
    context.fleet.wait(name, 1.0)


@behave.when(
    'the store goes down, and "{crashed}" crashes and is back at once as '
    '"{back}"'
)
def crashes_and_returns(context, crashed, back):
    _set_store(context, 'busy')
    time.sleep(STORE_DOWN_AFTER_S)
    _crash(context, crashed)
    _start_unregistered(context, back, context.fleet.addresses[crashed])


@behave.then('"{name}" runs summaries before the store returns')
def runs_summaries(context, name):
    local_site.wait_until(
        lambda: context.fleet.runs(name), f'{name} is used', BACK_WITHIN_S
    )


@behave.when(
    '"{entry}" is frozen for {frozen_s:g} s, "{crashed}" crashes 0.3 s later, '
    'the store goes down, and "{user}" uses the address {reused_s:g} s after '
    'the crash'
)
def frozen_while_reused(context, entry, frozen_s, crashed, reused_s, user):
    fleet = context.fleet
    frozen_until_s = time.monotonic() + frozen_s
    fleet.signal(entry, signal.SIGSTOP)
    time.sleep(0.3)
    _crash(context, crashed)
    reused_at_s = time.monotonic() + reused_s
    time.sleep(STORE_DOWN_AFTER_S)
    _set_store(context, 'busy')
    time.sleep(reused_at_s - time.monotonic())
    _start_unregistered(context, user, fleet.addresses[crashed])
    time.sleep(max(frozen_until_s - time.monotonic(), 0.0))
    fleet.signal(entry, signal.SIGCONT)


@behave.when(
    'the store goes down, the link is cut, "{name}" is killed {killed_s:g} s '
    'later, "{user}" uses its address {reused_s:g} s after that, and the link '
    'is whole {whole_s:g} s after that'
)
def cut_while_reused(context, name, killed_s, user, reused_s, whole_s):
    _set_store(context, 'busy')
    time.sleep(STORE_DOWN_AFTER_S)
    context.link.cut()
    time.sleep(killed_s)
    _crash(context, name)
    reused_at_s = time.monotonic() + reused_s
    user_address = _start_unregistered(context, user)
    time.sleep(reused_at_s - time.monotonic())
    context.link.target = user_address
    time.sleep(whole_s)
    context.link.heal()


@behave.then('"{name}" runs no summary before the store returns')
def runs_no_summary(context, name):
    time.sleep(WATCHED_S)
    runs = context.fleet.runs(name)
    assert not runs, runs
