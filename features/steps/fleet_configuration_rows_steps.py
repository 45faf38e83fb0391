"""Steps for configurations of entries that read the same era."""

from __future__ import annotations

import random

import behave
from features.steps import gossip_members_steps
from godwitvalve.fleet import consumers
from godwitvalve.fleet import state as states
from godwitvalve.ingress import membership
from godwitvalve.platform import store as stores
import msgspec


def _content(version):
    return msgspec.json.encode({'version': version})


def _read_first(context, version, row_version, era):
    row = stores.StoredRow('config', row_version, _content(version))
    revision = stores.StoreRevision(era, row_version + 10)
    context.consumer.apply_snapshot([row], revision)


def _start_entry(context):
    context.state = states.FleetState()
    context.configuration = consumers.ConfigurationConsumer(
        context.state, lambda: None
    )
    context.consumer = consumers.OperatorConsumer(
        context.configuration,
        consumers.OrderConsumer(lambda order, may_be_copied: None),
    )


@behave.given(
    'an entry that read configuration {version:d} first, as row '
    '{row_version:d} of era {era:d}'
)
def read_first(context, version, row_version, era):
    _start_entry(context)
    _read_first(context, version, row_version, era)


@behave.given('an entry that read configuration {version:d} in era {era:d}')
def read_before(context, version, era):
    read_first(context, version, 50, era)


@behave.when(
    'the first table of era {era:d} has configuration {version:d} as row '
    '{row_version:d}'
)
def table_has(context, era, version, row_version):
    _read_first(context, version, row_version, era)


@behave.when(
    'another entry has configuration {version:d} of era {era:d} as row {row}'
)
def other_entry_has(context, version, era, row):
    row_version = 0 if row == 'unknown' else int(row)
    record = msgspec.structs.replace(
        gossip_members_steps.record('entry-1'),
        configuration_version=version,
        configuration_era=era,
        configuration_row_version=row_version,
    )
    chosen = membership.choose_newer([record], context.state, random.Random(1))
    if chosen is not None:
        context.configuration.apply_content(
            _content(version), era, row_version, 'entry-1'
        )


@behave.then('the entry has configuration {version:d} of era {era:d}')
def entry_has(context, version, era):
    state = context.state
    assert (state.version, state.configuration_era) == (version, era), (
        state.version,
        state.configuration_era,
    )


@behave.then('it reports row {row_version:d}')
def reports_row(context, row_version):
    assert context.state.configuration_row_version == row_version
