"""Random histories of entries that read configurations from a store."""

from __future__ import annotations

import json
import random
from unittest import mock

from godwitvalve.fleet import consumers
from godwitvalve.fleet import state as states
from godwitvalve.gossip import members
from godwitvalve.ingress import membership
from godwitvalve.platform import store as stores

ENTRIES = 3
STEPS = 30
EVENTS = {
    'write': 3,
    'write again': 1,
    'read': 8,
    'read the whole table': 1,
    'compare': 6,
    'return': 1.2,
    'restart': 0.5,
}
COPY_AGES_S = (1.0, 3.0, 9.0)
PAUSES_S = (0.1, 0.3, 1.0, 2.0)


class _Store:
    def __init__(self, rng):
        self._rng = rng
        self.era = 1
        self.version = 1
        self.row = None
        self._history = []

    def write(self, content, now_s):
        self.version += self._rng.randint(1, 3)
        self.row = stores.StoredRow('config', self.version, content)
        self._history.append((now_s, self.version, self.row))

    def restore(self, copied_s):
        older = [each for each in self._history if each[0] <= copied_s]
        self._history = older or self._history[:1]
        _, self.version, self.row = self._history[-1]
        self.version += self._rng.choice((0, 0, 5))
        self.era += 1


class _Entry:
    def __init__(self, name):
        self.name = name
        self.restart()

    def restart(self):
        self.state = states.FleetState()
        self.configuration = consumers.ConfigurationConsumer(
            self.state, lambda: None
        )
        self._consumer = consumers.OperatorConsumer(
            self.configuration,
            consumers.OrderConsumer(lambda order, may_be_copied: None),
        )
        self._revision = None
        self._refused = {}

    def read(self, store, is_whole_table=False):
        known, self._revision = (
            self._revision,
            stores.StoreRevision(store.era, store.version),
        )
        rows = [store.row]
        if is_whole_table or known is None or known.era != store.era:
            self._consumer.apply_snapshot(rows, self._revision)
            return
        if store.row.version > known.version:
            self._consumer.apply_changes(rows)
        self._consumer.mark_current(self._revision)

    def record(self):
        return members.Record(
            self.name,
            1,
            1,
            members.SERVING,
            '127.0.0.1:1',
            '127.0.0.1:2',
            'fd-0',
            self.state.version,
            configuration_era=self.state.configuration_eras.first,
            configuration_last_era=self.state.configuration_eras.last,
        )

    def compare(self, others, rng):
        """Read the configuration of another entry if it is newer."""
        own = self.state.revision
        records = [other.record() for other in others if other is not self]
        chosen = membership.choose_peer(
            records, own, rng, self._refused.get(own, ())
        )
        if chosen is None:
            return
        (other,) = (each for each in others if each.name == chosen.instance_id)
        if not self.configuration.apply_content(
            other.state.configuration.source,
            other.state.configuration_eras,
            other.name,
        ):
            self._refused.setdefault(own, set()).add(
                chosen.configuration_revision
            )


class History:
    """One operator, one store and three entries.

    :param continues_copy: whether the operator takes the next version from
        that in the store, which a return lowers.
    """

    def __init__(self, seed, continues_copy=False):
        self._rng = random.Random(seed)
        self._continues_copy = continues_copy
        self._store = _Store(self._rng)
        self._entries = [_Entry(f'entry-{each}') for each in range(ENTRIES)]
        self._now_s = 0.0
        self._version = 10
        # Position of each content in the order in which they were written.
        self._order = {}
        self.went_back = []
        self._log = []
        self._write()

    def _write(self):
        if self._continues_copy and self._order:
            self._version = json.loads(self._store.row.value)['version']
        self._version += self._rng.randint(1, 3)
        raw = {'version': self._version, 'number': len(self._order)}
        self._newest = json.dumps(raw).encode()
        self._order[self._newest] = len(self._order)
        self._store.write(self._newest, self._now_s)

    def _write_again(self):
        if self._store.row.value != self._newest:
            self._store.write(self._newest, self._now_s)

    def _content(self, entry):
        configuration = entry.state.configuration
        return configuration and configuration.source

    def _step(self, event):
        entry = self._rng.choice(self._entries)
        match event:
            case 'write':
                self._write()
            case 'write again':
                self._write_again()
            case 'read':
                entry.read(self._store)
            case 'read the whole table':
                entry.read(self._store, is_whole_table=True)
            case 'compare':
                for each in self._entries:
                    each.compare(self._entries, self._rng)
            case 'return':
                age_s = self._rng.choice(COPY_AGES_S)
                self._store.restore(self._now_s - age_s)
            case 'restart':
                entry.restart()

    def _observe(self, event):
        before = [self._content(entry) for entry in self._entries]
        self._step(event)
        for entry in self._entries:
            entry.configuration.install_deferred(self._now_s)
        stored = json.loads(self._store.row.value)
        self._log.append((round(self._now_s, 1), event, stored['number']))
        for entry, known in zip(self._entries, before):
            content = self._content(entry)
            if known and content and self._order[content] < self._order[known]:
                self.went_back.append((entry.name, self._log[-8:]))

    def run(self):
        """Play the history; return the entries without the newest one."""
        with mock.patch.object(
            consumers.time, 'monotonic', lambda: self._now_s
        ):
            for _ in range(STEPS):
                self._now_s += self._rng.choice(PAUSES_S)
                (event,) = self._rng.choices(
                    list(EVENTS), list(EVENTS.values())
                )
                self._observe(event)
            self._observe('write again')
            for _ in range(6):
                self._now_s += 0.6
                for entry in self._entries:
                    entry.read(self._store)
                self._observe('compare')
        return [
            (entry.name, self._log[-10:])
            for entry in self._entries
            if self._content(entry) != self._newest
        ]
