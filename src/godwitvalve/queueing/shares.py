"""Use of full services by client accounts over all entries.

Performs no input or output.
"""

from __future__ import annotations

import collections
from collections import abc
import math
import random
from typing import TypeAlias

# Calls and streams in flight by service and account.
Use: TypeAlias = abc.Mapping[str, abc.Mapping[str, tuple[int, int]]]

# For this long after a call waited or was declined the service counts as
# full. Calls take some 50 ms, so that a full service shows it far more often.
FULL_S = 1.0
# Reports arrive every 0.25 s; each turn asks for all accounts that wait. A sum
# over 420 entries takes 0.7 ms.
SUM_VALID_S = 0.1
# Bounds what the use adds to a record. Four usual records, of 253 bytes each,
# still share a datagram of 1,400 bytes. Accounts with the most use come first:
# one that is left out counts as below its share.
MAX_REPORT_BYTES = 80
# Accounts differ once one has twice the use of the mean account, and more
# above it than chance explains: standard deviations of a count of requests.
CHANCE_DEVIATIONS = 4.0
# Type bytes of two counts below 128, their array and the name.
_ITEM_BYTES = 4


def _no_reports(now_s: float) -> abc.Iterable[Use]:
    return ()


def _never(service: str) -> bool:
    return False


class AccountUse:
    """How much of each full service the client accounts use.

    Load pattern: 20 entries share a full service with 24 slots, about one
    for each. One account sends five times its share through all entries, and
    has a single call in flight at each, as an account below its share has.

    :param reports: returns the use that other live entries report; a report
        expires with the heartbeat of its entry.
    :param is_stated: tells whether a service states its pace; elsewhere only
        the own use counts, and nothing is reported.
    :param rng: draws the order of accounts with equal use.
    """

    def __init__(
        self,
        reports: abc.Callable[[float], abc.Iterable[Use]] = _no_reports,
        is_stated: abc.Callable[[str], bool] = _never,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._reports = reports
        self._is_stated = is_stated
        self._calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._streams: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._full_until_s: dict[str, float] = {}
        self._sums: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._sums_valid_until_s = float('-inf')
        self._shown: set[tuple[str, str]] = set()

    def begin(
        self, service: str, account: str, is_stream: bool = False
    ) -> None:
        """Count a call or a stream that runs at an endpoint now."""
        counts = self._streams if is_stream else self._calls
        counts[service, account] += 1

    def end(self, service: str, account: str, is_stream: bool = False) -> None:
        """End a call or a stream that ``begin`` counted."""
        counts = self._streams if is_stream else self._calls
        counts[service, account] -= 1
        if not counts[service, account]:
            del counts[service, account]

    def mark_full(self, service: str, now_s: float) -> None:
        """Record that a request waits or was declined."""
        self._full_until_s[service] = now_s + FULL_S

    def is_full(self, service: str, now_s: float) -> bool:
        """Tell whether a request waited or was declined lately."""
        return now_s < self._full_until_s.get(service, float('-inf'))

    def reported(self, service: str, account: str, now_s: float) -> int:
        """Return what other entries have in flight for an account."""
        if not self._is_stated(service):
            return 0
        self._update_sums(now_s)
        return self._sums[service, account]

    def _update_sums(self, now_s: float) -> None:
        if now_s >= self._sums_valid_until_s:
            self._sums_valid_until_s = now_s + SUM_VALID_S
            self._sums.clear()
            for use in self._reports(now_s):
                for each, accounts in use.items():
                    for name, counts in accounts.items():
                        # A count of a faulty entry may be negative.
                        self._sums[each, name] += max(sum(counts), 0)

    def total(self, service: str, account: str, now_s: float) -> int:
        """Return what all entries have in flight for an account."""
        key = service, account
        own = self._calls[key] + self._streams[key]
        return own + self.reported(service, account, now_s)

    def relative_use(self, service: str, account: str, now_s: float) -> float:
        """Return the use of an account over that of the mean account.

        Accounts without a request in flight are not counted in the mean. The
        result is 1.0 while the service is not full, states no pace, or is
        used about evenly.
        """
        if not (self.is_full(service, now_s) and self._is_stated(service)):
            return 1.0
        self._update_sums(now_s)
        names = {
            name
            for each, name in {*self._calls, *self._streams, *self._sums}
            if each == service
        }
        uses = [self.total(service, each, now_s) for each in names]
        mean = sum(uses) / max(sum(use > 0 for use in uses), 1)
        chance = CHANCE_DEVIATIONS * math.sqrt(mean)
        if max(uses, default=0) < mean + max(mean, chance):
            return 1.0
        return self.total(service, account, now_s) / max(mean, 1.0)

    def report(self, now_s: float) -> dict[str, dict[str, tuple[int, int]]]:
        """Return the own use of services that are full, the largest first.

        At most ``MAX_REPORT_BYTES`` of names and counts are returned. Which
        of equal ones are left out is drawn anew each time.
        """
        use = {
            key: (self._calls[key], self._streams[key])
            for key in self._calls.keys() | self._streams.keys()
            if self.is_full(key[0], now_s) and self._is_stated(key[0])
        }
        found: dict[str, dict[str, tuple[int, int]]] = {}
        left_bytes = MAX_REPORT_BYTES
        for key in sorted(
            use, key=lambda each: (-sum(use[each]), self._rng.random())
        ):
            service, account = key
            size_bytes = _ITEM_BYTES + len(account.encode())
            if service not in found:
                size_bytes += _ITEM_BYTES + len(service.encode())
            if size_bytes > left_bytes:
                continue
            left_bytes -= size_bytes
            found.setdefault(service, {})[account] = use[key]
        return found

    def changes(self, now_s: float) -> list[tuple[str, str, int]]:
        """Return services, accounts and their use for the gauge.

        What was returned before and is no longer in use is returned with 0.
        """
        keys = {
            key
            for key in {*self._calls, *self._streams, *self._sums}
            if self.is_full(key[0], now_s)
        }
        ended = self._shown - keys
        self._shown = keys
        return [(*key, self.total(*key, now_s)) for key in sorted(keys)] + [
            (*key, 0) for key in sorted(ended)
        ]
