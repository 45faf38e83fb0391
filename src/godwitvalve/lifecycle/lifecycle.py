"""States of an entry instance from its start to a planned stop."""

from __future__ import annotations

from collections import abc
import contextlib
from typing import Any

import transitions

STARTING = 'starting'
SERVING = 'serving'
DRAINING = 'draining'
STOPPED = 'stopped'

_TRANSITIONS: list[Any] = [
    {'trigger': 'to_serving', 'source': STARTING, 'dest': SERVING},
    {
        'trigger': 'to_draining',
        'source': [STARTING, SERVING],
        'dest': DRAINING,
    },
    {'trigger': 'to_stopped', 'source': DRAINING, 'dest': STOPPED},
]

Listener = abc.Callable[[str], None]


class Lifecycle:
    """State of one entry instance and the conditions for its stop.

    A drain waits until no request is in flight and no address answer that
    names this instance is valid any more.

    :param peer_answer_lifetime_s: seconds from the start of a drain until
        the last address answer of another entry that names this one has
        expired: the time for which others may still give out such answers,
        plus the validity of an answer.
    """

    state: str

    def __init__(self, peer_answer_lifetime_s: float = 0.0) -> None:
        self._peer_answer_lifetime_s = peer_answer_lifetime_s
        self._answers_valid_until_s = 0.0
        self._requests_in_flight = 0
        self._listeners: list[Listener] = []
        self._machine: Any = transitions.Machine(
            model=self,
            states=[STARTING, SERVING, DRAINING, STOPPED],
            transitions=_TRANSITIONS,
            initial=STARTING,
            auto_transitions=False,
            after_state_change='_notify',
        )

    @property
    def requests_in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._requests_in_flight

    def on_change(self, listener: Listener) -> None:
        """Call a function with the new state after each change."""
        self._listeners.append(listener)

    def begin_serving(self) -> None:
        """Change from ``starting`` to ``serving``; else no effect."""
        if self.state == STARTING:
            self._machine.dispatch('to_serving')

    def begin_drain(self, now_s: float) -> None:
        """Start to drain; no effect if draining or stopped.

        :param now_s: seconds of the clock that all calls use.
        """
        if self.state not in (STARTING, SERVING):
            return
        if self.state == SERVING:
            self.record_address_answer(now_s + self._peer_answer_lifetime_s)
        self._machine.dispatch('to_draining')

    def record_address_answer(self, valid_until_s: float) -> None:
        """Record an address answer that names this instance.

        :param valid_until_s: seconds at which the answer expires.
        """
        self._answers_valid_until_s = max(
            self._answers_valid_until_s, valid_until_s
        )

    def is_advertised(self) -> bool:
        """Tell whether new address answers may name this instance."""
        return self.state == SERVING

    def accepts_requests(self, now_s: float) -> bool:
        """Tell whether new requests are accepted.

        A draining instance accepts them until the last address answer that
        names it expires, as callers may use its address until then.
        """
        if self.state == DRAINING:
            return now_s < self._answers_valid_until_s
        return bool(self.state == SERVING)

    @contextlib.contextmanager
    def request(self) -> abc.Iterator[None]:
        """Count a request as in flight while the context is entered."""
        self.request_started()
        try:
            yield
        finally:
            self.request_finished()

    def request_started(self) -> None:
        """Count a request as in flight."""
        self._requests_in_flight += 1

    def request_finished(self) -> None:
        """Count a request as finished."""
        self._requests_in_flight -= 1

    def is_drained(self, now_s: float) -> bool:
        """Tell whether a stop interrupts no request."""
        if self.state == STOPPED:
            return True
        if self.state != DRAINING:
            return False
        return not self._requests_in_flight and not self.accepts_requests(
            now_s
        )

    def stop(self, now_s: float) -> bool:
        """Change to ``stopped`` if drained.

        :returns: whether the instance is stopped.
        """
        if not self.is_drained(now_s):
            return False
        if self.state == DRAINING:
            self._machine.dispatch('to_stopped')
        return True

    def _notify(self) -> None:
        for listener in self._listeners:
            listener(self.state)
