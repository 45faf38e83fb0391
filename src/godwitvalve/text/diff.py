"""Describes the differences of two texts as typed changes."""

from __future__ import annotations

from collections.abc import Iterator
import enum
from typing import NamedTuple

from godwitvalve.text import model
from godwitvalve.text import versions


class ChangeKind(enum.Enum):
    """What a change concerns."""

    SERVICE_ADDED = 'service_added'
    SERVICE_REMOVED = 'service_removed'
    SERVICE_CHANGED = 'service_changed'
    VERSION_ADDED = 'version_added'
    VERSION_REMOVED = 'version_removed'
    VERSION_RETIRED = 'version_retired'
    VERSION_UNRETIRED = 'version_unretired'
    VERSION_CHANGED = 'version_changed'
    MOVE_ASKED = 'move_asked'
    ENDPOINTS_CHANGED = 'endpoints_changed'
    ACCOUNT_ADDED = 'account_added'
    ACCOUNT_REMOVED = 'account_removed'
    ACCOUNT_CHANGED = 'account_changed'


class Change(NamedTuple):
    """One change, the path of its key and a sentence for operators."""

    kind: ChangeKind
    path: str
    sentence: str


def _names(names: set[str]) -> str:
    return ', '.join(sorted(names))


def _version_added(
    path: str, label: str, version: model.VersionText
) -> Change:
    deadline = f', to be done by {version.done_by}' if version.done_by else ''
    sentence = f'Version {label} is added{deadline}.'
    return Change(ChangeKind.VERSION_ADDED, path, sentence)


def _version_removed(
    path: str, label: str, version: model.VersionText
) -> Change:
    suffix = '' if version.retire else ' without having been retired'
    sentence = f'Version {label} is removed{suffix}.'
    return Change(ChangeKind.VERSION_REMOVED, path, sentence)


def _endpoint_change(
    path: str, label: str, old: model.VersionText, new: model.VersionText
) -> Iterator[Change]:
    if old.endpoints == new.endpoints:
        return
    before = {item.endpoint_id: item for item in old.endpoints}
    after = {item.endpoint_id: item for item in new.endpoints}
    groups = {
        'adds': after.keys() - before.keys(),
        'removes': before.keys() - after.keys(),
        'changes': {
            name
            for name in before.keys() & after.keys()
            if before[name] != after[name]
        },
    }
    clauses = [f'{verb} {_names(ids)}' for verb, ids in groups.items() if ids]
    sentence = (
        f'Version {label}: {"; ".join(clauses) or "reorders"} endpoints.'
    )
    yield Change(ChangeKind.ENDPOINTS_CHANGED, f'{path}.endpoints', sentence)


def _version_changes(
    path: str, label: str, old: model.VersionText, new: model.VersionText
) -> Iterator[Change]:
    if new.retire and not old.retire:
        sentence = f'Version {label} is retired.'
        yield Change(ChangeKind.VERSION_RETIRED, path, sentence)
    if old.retire and not new.retire:
        sentence = f'Version {label} is no longer retired.'
        yield Change(ChangeKind.VERSION_UNRETIRED, path, sentence)
    if versions.digest(old) != versions.digest(new):
        sentence = f'The move to version {label} is asked for anew.'
        yield Change(ChangeKind.MOVE_ASKED, path, sentence)
    for field in (
        'weights',
        'adapter',
        'checks_fencing',
        'done_by',
        'discover',
    ):
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            sentence = f'Version {label}: {field} {before!r} -> {after!r}.'
            kind = ChangeKind.VERSION_CHANGED
            yield Change(kind, f'{path}.{field}', sentence)
    yield from _endpoint_change(path, label, old, new)


def _service_changes(
    name: str, old: model.ServiceText, new: model.ServiceText
) -> Iterator[Change]:
    path = f'services.{name}'
    for field in ('kind', 'depends_on', 'routes'):
        if getattr(old, field) != getattr(new, field):
            sentence = f'Service {name}: {field} changes.'
            kind = ChangeKind.SERVICE_CHANGED
            yield Change(kind, f'{path}.{field}', sentence)
    for version in sorted(old.versions.keys() | new.versions.keys()):
        version_path, label = f'{path}.versions.{version}', f'{name}/{version}'
        before = old.versions.get(version)
        after = new.versions.get(version)
        if before is None and after is not None:
            yield _version_added(version_path, label, after)
        elif before is not None and after is None:
            yield _version_removed(version_path, label, before)
        elif before is not None and after is not None:
            yield from _version_changes(version_path, label, before, after)


def _services(old: model.Text, new: model.Text) -> Iterator[Change]:
    for name in sorted(old.services.keys() | new.services.keys()):
        path = f'services.{name}'
        before, after = old.services.get(name), new.services.get(name)
        if before is None:
            sentence = f'Service {name} is added.'
            yield Change(ChangeKind.SERVICE_ADDED, path, sentence)
        elif after is None:
            sentence = f'Service {name} is removed.'
            yield Change(ChangeKind.SERVICE_REMOVED, path, sentence)
        else:
            yield from _service_changes(name, before, after)


def _account_changes(
    name: str, old: model.ClientAccountText, new: model.ClientAccountText
) -> Iterator[Change]:
    path = f'client_accounts.{name}'
    kind = ChangeKind.ACCOUNT_CHANGED
    for field in (
        'requests_per_s',
        'tokens_per_s',
        'concurrent',
        'priority',
    ):
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            sentence = f'Client account {name}: {field} {before} -> {after}.'
            yield Change(kind, f'{path}.{field}', sentence)
    added = len(set(new.key_hashes) - set(old.key_hashes))
    removed = len(set(old.key_hashes) - set(new.key_hashes))
    if old.key_hashes != new.key_hashes:
        sentence = (
            f'Client account {name}: {added} keys added, {removed} removed.'
        )
        yield Change(kind, f'{path}.key_hashes', sentence)


def _accounts(old: model.Text, new: model.Text) -> Iterator[Change]:
    both = old.client_accounts.keys() | new.client_accounts.keys()
    for name in sorted(both):
        path = f'client_accounts.{name}'
        before = old.client_accounts.get(name)
        after = new.client_accounts.get(name)
        if before is None:
            sentence = f'Client account {name} is added.'
            yield Change(ChangeKind.ACCOUNT_ADDED, path, sentence)
        elif after is None:
            sentence = f'Client account {name} is removed.'
            yield Change(ChangeKind.ACCOUNT_REMOVED, path, sentence)
        else:
            yield from _account_changes(name, before, after)


def diff(old: model.Text, new: model.Text) -> list[Change]:
    """Return the changes from one text to another.

    The list is empty if and only if the texts are equal.
    """
    return [*_services(old, new), *_accounts(old, new)]
