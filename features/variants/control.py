"""Exchange of freshness with a guard left out, and a naive table."""

from __future__ import annotations

import math

from godwitvalve.configuration import heard_table
from godwitvalve.configuration import tracker
from godwitvalve.entry import freshness


class AgelessTable(heard_table.HeardTable):
    """Passes on what it heard of as if it had heard it just now."""

    def _ages(self, names, now_s):
        known = self.times()
        return bytes(
            0 if name == self._own_id or name in known else 255
            for name in names
        )


class AgelessTracker(tracker.ConfigurationTracker):
    """Tracker whose table forgets the ages."""

    def __init__(self, instance_id):
        super().__init__(instance_id)
        self._heard = AgelessTable(instance_id)


class WithoutKnownRevision(freshness.FreshnessExchange):
    """Tells the revision in force in place of the highest known one."""

    def _message(self, state, ages, now_s):
        message = super()._message(state, ages, now_s)
        return message._replace(known_revision=message.revision)


class NaiveHeard:
    """Keeps every statement it received and looks through all of them.

    A statement is (entry, time by the own clock).
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._listed = set()
        self._statements = []

    def set_listed(self, names):
        self._listed = set(names)
        self._statements = [
            (name, at_s)
            for name, at_s in self._statements
            if name in self._listed
        ]

    def at_s(self, name):
        """Return the newest time, or minus infinity."""
        return max(
            (at_s for each, at_s in self._statements if each == name),
            default=-math.inf,
        )

    def tell(self, now_s):
        """Return the age of each entry, in whole steps above the truth."""
        ages = {self._own_id: 0}
        for name in {name for name, _ in self._statements} - {self._own_id}:
            age_s = now_s - self.at_s(name)
            if age_s < 60:
                steps = int(max(age_s, 0.0) / 0.05) + 1
                ages |= {name: steps} if steps < 255 else {}
        return ages

    def take(self, sender, told, sent_s):
        """Keep all statements of a peer; the sender itself speaks too."""
        self._statements.append((sender, sent_s))
        self._statements += [
            (name, sent_s - steps * 0.05)
            for name, steps in told.items()
            if name in self._listed and name != self._own_id
        ]
