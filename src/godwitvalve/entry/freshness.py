"""Exchange of confirmation ages with the neighbours in the overlay."""

from __future__ import annotations

from collections import abc
import dataclasses

from godwitvalve.configuration import last_seen_table
from godwitvalve.configuration import tracker as trackers
from godwitvalve.peers import messages

# At each hop an age grows by at most this interval and the bound of the
# link's delay. 420 entries with six links each are at most five hops apart.
INTERVAL_S = 1.0
# Age sent by an entry whose revision was never confirmed.
NEVER_CONFIRMED_AGE_S = 1e9


@dataclasses.dataclass
class _Neighbour:
    """State of a neighbour's lists according to its last message.

    :param list_digest: digest of its list; empty before the first message.
    :param names_requested: whether it needs ages by name, since it does not
        know this entry's list.
    """

    list_digest: bytes = b''
    names_requested: bool = False


class FreshnessExchange:
    """Builds and handles the messages between overlay neighbours.

    A message goes over one link and is not forwarded. Each further entry
    adds one byte to every message, one message per link and second.
    """

    def __init__(self, tracker: trackers.ConfigurationTracker) -> None:
        self._tracker = tracker
        self._neighbours: dict[str, _Neighbour] = {}

    def messages_for(
        self, neighbours: abc.Sequence[str], now_s: float
    ) -> list[tuple[str, messages.LastSeenAges]]:
        """Return the message for each neighbour.

        :param now_s: monotonic seconds.
        """
        self._neighbours = {
            each: self._neighbours.get(each, _Neighbour())
            for each in neighbours
        }
        encoded: dict[tuple[bytes, bool], last_seen_table.EncodedAges] = {}
        outgoing = []
        for each, state in self._neighbours.items():
            kind = (state.list_digest, state.names_requested)
            if kind not in encoded:
                encoded[kind] = self._encode(state, now_s)
            outgoing.append((each, self._message(state, encoded[kind], now_s)))
        return outgoing

    def _encode(
        self, state: _Neighbour, now_s: float
    ) -> last_seen_table.EncodedAges:
        table = self._tracker.last_seen
        if state.names_requested and not table.knows(state.list_digest):
            return table.encode_by_name(now_s)
        return table.encode(state.list_digest, now_s)

    def _message(
        self,
        state: _Neighbour,
        ages: last_seen_table.EncodedAges,
        now_s: float,
    ) -> messages.LastSeenAges:
        own = self._tracker.freshness(now_s)
        age_s = own.confirmed_age_s
        table = self._tracker.last_seen
        received_digest = state.list_digest
        return messages.LastSeenAges(
            own.revision,
            NEVER_CONFIRMED_AGE_S if age_s is None else age_s,
            0.0,
            self._tracker.known_revision,
            table.list_digest,
            received_digest != b'' and not table.knows(received_digest),
            *ages,
        )

    def handle_message(
        self, origin: str, message: messages.LastSeenAges, now_s: float
    ) -> None:
        """Merge a neighbour's message into the tracker.

        :param origin: instance id of the neighbour.
        :param now_s: monotonic seconds.
        """
        transit_s = max(message.transit_s, 0.0)
        never = message.age_s >= NEVER_CONFIRMED_AGE_S
        self._tracker.apply_peer_report(
            trackers.PeerFreshness(
                origin,
                message.revision,
                None if never else message.age_s,
                transit_s,
            ),
            now_s,
        )
        self._tracker.merge_last_seen(
            message.known_revision,
            last_seen_table.EncodedAges(
                message.order_digest, message.ages, message.names
            ),
            now_s - transit_s,
            now_s,
        )
        self._neighbours[origin] = _Neighbour(
            message.list_digest, message.names_requested
        )
