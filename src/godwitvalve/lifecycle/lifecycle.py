"""States of an entry instance from start to planned stop."""

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
    """State of one entry instance and what a drain waits for.

    :param peer_answer_lifetime_s: how long after the begin of a drain other
        entries may still give out answers that name this one, plus the
        time for which callers keep such an answer.
    """

    state: str

    def __init__(self, peer_answer_lifetime_s: float = 0.0) -> None:
        self._peer_answer_lifetime_s = peer_answer_lifetime_s
        self._answers_valid_until_wall_s = 0.0
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

    @property
    def accepts_until_wall_s(self) -> float:
        """Return when the last address answer given out lapses."""
        return self._answers_valid_until_wall_s

    def on_change(self, listener: Listener) -> None:
        """Call a function with the new state after each change."""
        self._listeners.append(listener)

    def begin_serving(self) -> None:
        """Leave ``starting``; no effect in any later state."""
        if self.state == STARTING:
            self._machine.dispatch('to_serving')

    def begin_drain(self, now_wall_s: float) -> None:
        """Stop being named in answers; no effect once draining.

        :param now_wall_s: Unix seconds.
        """
        if self.state not in (STARTING, SERVING):
            return
        if self.state == SERVING:
            self.record_address_answer(
                now_wall_s + self._peer_answer_lifetime_s
            )
        self._machine.dispatch('to_draining')

    def record_address_answer(self, valid_until_wall_s: float) -> None:
        """Record an answer that names this instance."""
        self._answers_valid_until_wall_s = max(
            self._answers_valid_until_wall_s, valid_until_wall_s
        )

    def is_advertised(self) -> bool:
        """Tell whether new address answers may name this instance."""
        return self.state == SERVING

    def accepts_new_work(self, now_wall_s: float) -> bool:
        """Tell whether a new request is served.

        While draining it is, until the last answer given out lapses.
        """
        if self.state == DRAINING:
            return now_wall_s < self._answers_valid_until_wall_s
        return bool(self.state == SERVING)

    @contextlib.contextmanager
    def request(self) -> abc.Iterator[None]:
        """Count a request in flight, from its arrival to its last byte."""
        self.request_started()
        try:
            yield
        finally:
            self.request_finished()

    def request_started(self) -> None:
        """Count a request in flight."""
        self._requests_in_flight += 1

    def request_finished(self) -> None:
        """Count a request as ended."""
        self._requests_in_flight -= 1

    def is_drained(self, now_wall_s: float) -> bool:
        """Tell whether the process may stop without cutting a request."""
        if self.state == STOPPED:
            return True
        if self.state != DRAINING:
            return False
        return not self._requests_in_flight and not self.accepts_new_work(
            now_wall_s
        )

    def stop(self, now_wall_s: float) -> bool:
        """Enter ``stopped`` if drained; tell whether it did."""
        if not self.is_drained(now_wall_s):
            return False
        if self.state == DRAINING:
            self._machine.dispatch('to_stopped')
        return True

    def _notify(self) -> None:
        for listener in self._listeners:
            listener(self.state)
