"""Faulty variants of the exchange of ages, and a reference table."""

from __future__ import annotations

import math

from godwitvalve.configuration import last_seen_table
from godwitvalve.configuration import tracker
from godwitvalve.entry import freshness


class AgelessTable(last_seen_table.LastSeenTable):
    """Sends an age of 0 for each entry that it has received an age of."""

    def _ages(self, names, now_s):
        known = self.times()
        return bytes(
            0 if name == self._own_id or name in known else 255
            for name in names
        )


class AgelessTracker(tracker.ConfigurationTracker):
    """Tracker with an :class:`AgelessTable`."""

    def __init__(self, instance_id):
        super().__init__(instance_id)
        self._last_seen = AgelessTable(instance_id)


class WithoutKnownRevision(freshness.FreshnessExchange):
    """Sends the revision in force in place of the highest known one."""

    def _message(self, state, ages, now_s):
        message = super()._message(state, ages, now_s)
        return message._replace(known_revision=message.revision)


class ReferenceTable:
    """Table of ages that stores every sighting and searches all of them.

    A sighting is (entry, time by the own clock).
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._listed = set()
        self._sightings = []

    def set_listed(self, names):
        self._listed = set(names)
        self._sightings = [
            (name, at_s)
            for name, at_s in self._sightings
            if name in self._listed
        ]

    def at_s(self, name):
        """Return the newest time, or minus infinity."""
        return max(
            (at_s for each, at_s in self._sightings if each == name),
            default=-math.inf,
        )

    def ages(self, now_s):
        """Return the age of each entry, rounded up to steps of 0.05 s."""
        found = {self._own_id: 0}
        for name in {name for name, _ in self._sightings} - {self._own_id}:
            age_s = now_s - self.at_s(name)
            if age_s < 60:
                steps = int(max(age_s, 0.0) / 0.05) + 1
                found |= {name: steps} if steps < 255 else {}
        return found

    def merge(self, sender, ages, sent_s):
        """Store the ages sent by a peer and the sighting of the peer."""
        self._sightings.append((sender, sent_s))
        self._sightings += [
            (name, sent_s - steps * 0.05)
            for name, steps in ages.items()
            if name in self._listed and name != self._own_id
        ]
