"""Steps for entries that start."""

from __future__ import annotations

import threading

import behave
from features.steps import ingress_restored_store_steps as restored_steps
from standins.fleet import site as fleet_site
from standins import local_site

ENTRY = 'entry-0'
PATH = fleet_site.CALL_PREFIX + 'x'


@behave.when(
    'an entry starts while the store holds the table of endpoints back for '
    '{held_s:g} s'
)
def start_entry(context, held_s):
    fleet = context.fleet
    fleet.post('store', '/standin/faults', {'held_tables': ['servers']})
    release = threading.Timer(
        held_s,
        fleet.post,
        ('store', '/standin/faults', {'held_tables': []}),
    )
    release.start()
    context.cleanups.append(release.join)
    fleet.start_entry(ENTRY, 'fd-0')


@behave.then('the first call after the entry is ready gets status {status:d}')
def first_call(context, status):
    url = f'http://{context.fleet.port_address(ENTRY, 1)}/readyz'
    local_site.wait_until(
        lambda: local_site.http_json('GET', url) is None, f'{ENTRY} is ready'
    )
    found = restored_steps._send(context, ENTRY, PATH, key=fleet_site.KEY)
    assert found == status, found
