"""Steps for rows that an older copy of a table cannot have."""

from __future__ import annotations

import behave
from godwitvalve.fleet import row_history
from godwitvalve.platform import store as stores


def _row(text, version):
    key, _, value = text.partition('=')
    return stores.StoredRow(key, version, value.encode())


@behave.given(
    'a table that was read first at version {version:d} with "{text}" of '
    'version {row_version:d}'
)
def table_read(context, version, text, row_version):
    rows = [_row(text, row_version)]
    context.history = row_history.RowHistory(rows, version)


@behave.given('nothing changed up to version {version:d}')
def nothing_changed(context, version):
    context.history.confirm(version)


@behave.given('"{text}" of version {version:d} was read')
def change_read(context, text, version):
    context.history.apply([_row(text, version)])


@behave.given('the removal of "{key}" was read {way} at version {version:d}')
def removal_read(context, key, way, version):
    if way == 'as a change':
        context.history.apply([stores.StoredRow(key, version, None)])
    else:
        assert way == 'in a second table', way
        context.history.replace([], version)


@behave.given('"{key}" changes {count:d} times, {step:d} versions apart')
def changes_often(context, key, count, step):
    for number in range(1, count + 1):
        version = 20 + number * step
        context.history.apply([_row(f'{key}={number}', version)])
        context.history.confirm(version + step - 1)


@behave.then('a copy of it {answer} have "{text}" of version {version:d}')
def copy_has(context, answer, text, version):
    expected = {'may': True, 'cannot': False}[answer]
    assert context.history.may_contain(_row(text, version)) is expected


@behave.then('at most {count:d} earlier rows are kept')
def rows_kept(context, count):
    assert len(context.history._spans['x']) <= count
