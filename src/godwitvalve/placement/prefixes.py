"""Segments of prompts that endpoints have cached.

Performs no input or output.
"""

from __future__ import annotations

from collections import abc
import dataclasses
from typing import NamedTuple

from godwitvalve.placement import choose
from godwitvalve.platform import headers as wire

# Segments at endpoints that are remembered. An entry reads reports of some
# 21 new sessions a second in the largest deployment, 1,300 within the age
# below. An item takes about 400 bytes.
MAX_HOLDINGS = 4096
# Streams of entries that are cut off are not counted, so that what has not
# been used for this long may have been evicted by them.
MAX_AGE_S = 60.0
# The same for engines whose capacity is not known.
UNCOUNTED_AGE_S = 15.0
# A report that was not repeated for this long is that of another stream. In
# a large fleet most heartbeats arrive within this time.
REPORT_GAP_S = 2.5
# Weight of the newest stream in the usual number of tokens of a stream.
TOKENS_WEIGHT = 0.1


class Position(NamedTuple):
    """What has been placed at an endpoint so far.

    :param tokens: tokens of streams of this entry.
    :param streams: streams that other entries reported.
    """

    tokens: int = 0
    streams: int = 0


@dataclasses.dataclass
class _Holding:
    """A segment at an endpoint.

    :param tokens: None if only the end of the prompt was reported, whose
        earlier segments are there as well.
    """

    tokens: int | None
    position: Position
    used_s: float


class Demand(NamedTuple):
    """A stream that is to be placed.

    :param capacity_tokens: KV cache of an endpoint; 0 if not known.
    :param session_endpoint: endpoint that processed the prompt before.
    """

    service: str
    segments: tuple[wire.PromptSegment, ...]
    capacity_tokens: int
    session_endpoint: str | None = None


class PrefixTable:
    """Which segments of prompts are cached at which endpoint.

    Load pattern: sessions of several turns, whose prompt begins with the
    earlier turns, come back to any entry. Reading them anew keeps an engine
    busy for half a second. Engines evict the least recently used segments,
    and prompts that all go to the engine with their prefix wait there for
    longer than they take to be read elsewhere.
    """

    def __init__(self) -> None:
        # By endpoint and segment; the least recently used comes first.
        self._holdings: dict[tuple[str, str], _Holding] = {}
        self._positions: dict[str, Position] = {}
        self._usual_tokens: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._holdings)

    def record(
        self,
        endpoint_id: str,
        demand: Demand,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Record that an endpoint has the prompt of an own stream.

        :param output_tokens: tokens that the stream added there; 0 if it
            only begins.
        """
        if not demand.segments:
            return
        prompt_tokens = sum(each.tokens for each in demand.segments)
        held = self.held_tokens(endpoint_id, demand, now_s)
        before = self._positions.get(endpoint_id, Position())
        position = before._replace(
            tokens=before.tokens + prompt_tokens - held + output_tokens
        )
        self._positions[endpoint_id] = position
        for each in demand.segments:
            self._put(
                (endpoint_id, each.segment_id),
                _Holding(each.tokens, position, now_s),
            )
        if output_tokens:
            self._learn(demand.service, prompt_tokens + output_tokens)

    def _learn(self, service: str, tokens: int) -> None:
        usual = self._usual_tokens.setdefault(service, tokens)
        self._usual_tokens[service] = usual + TOKENS_WEIGHT * (tokens - usual)

    def merge(self, sessions: abc.Mapping[str, str], now_s: float) -> None:
        """Merge the running sessions that another entry reported.

        Reports are repeated while a stream runs, which counts once.
        """
        for session, endpoint_id in sessions.items():
            key = endpoint_id, session
            known = self._holdings.get(key)
            position = self._positions.get(endpoint_id, Position())
            if known is None or now_s - known.used_s > REPORT_GAP_S:
                position = position._replace(streams=position.streams + 1)
                self._positions[endpoint_id] = position
            self._put(key, _Holding(None, position, now_s))

    def _put(self, key: tuple[str, str], holding: _Holding) -> None:
        self._holdings.pop(key, None)
        self._holdings[key] = holding
        while len(self._holdings) > MAX_HOLDINGS:
            del self._holdings[next(iter(self._holdings))]

    def held_tokens(
        self, endpoint_id: str, demand: Demand, now_s: float
    ) -> int:
        """Return the tokens at the beginning of a prompt that are cached."""
        segments = demand.segments
        last = segments[-1].segment_id if segments else ''
        if (
            endpoint_id == demand.session_endpoint
            and (endpoint_id, last) not in self._holdings
        ):
            return sum(each.tokens for each in segments)
        held = chain = 0
        is_unbroken = True
        for each in segments:
            chain += each.tokens
            holding = self._holdings.get((endpoint_id, each.segment_id))
            if holding is None or not self._is_kept(
                endpoint_id, holding, chain, demand, now_s
            ):
                is_unbroken = False
            elif holding.tokens is None:
                held, is_unbroken = chain, True
            elif is_unbroken:
                held += min(holding.tokens, each.tokens)
                is_unbroken = holding.tokens >= each.tokens
        return held

    def _is_kept(
        self,
        endpoint_id: str,
        holding: _Holding,
        chain_tokens: int,
        demand: Demand,
        now_s: float,
    ) -> bool:
        """Tell whether what was placed since fits in beside a segment.

        :param chain_tokens: tokens up to the end of the segment.
        """
        age_s = now_s - holding.used_s
        if not demand.capacity_tokens:
            return age_s <= UNCOUNTED_AGE_S
        position = self._positions.get(endpoint_id, holding.position)
        since = position.tokens - holding.position.tokens
        reported = position.streams - holding.position.streams
        usual = self._usual_tokens.get(demand.service, chain_tokens)
        placed = since + reported * usual
        return (
            age_s <= MAX_AGE_S
            and placed + chain_tokens <= demand.capacity_tokens
        )

    def saving(
        self,
        endpoint_id: str,
        demand: Demand,
        now_s: float,
    ) -> float:
        """Return what cached tokens save, in the unit of ``stream_cost``.

        Reading them elsewhere takes as long as usual, so that the pace of
        this endpoint does not count: it would draw streams to slow ones.
        """
        prompt_tokens = sum(each.tokens for each in demand.segments)
        if not prompt_tokens:
            is_session = endpoint_id == demand.session_endpoint
            return choose.SESSION_SAVING * is_session
        held = self.held_tokens(endpoint_id, demand, now_s)
        return choose.SESSION_SAVING * held / prompt_tokens

    def forget(self, endpoint_id: str) -> None:
        """Drop what a removed or restarted endpoint had."""
        self._positions.pop(endpoint_id, None)
        for key in [each for each in self._holdings if each[0] == endpoint_id]:
            del self._holdings[key]

    def expire(self, now_s: float) -> None:
        """Drop what is too old, and the counts that nothing refers to."""
        while self._holdings:
            key, holding = next(iter(self._holdings.items()))
            if now_s - holding.used_s <= MAX_AGE_S:
                break
            del self._holdings[key]
        used = {endpoint_id for endpoint_id, _ in self._holdings}
        for endpoint_id in self._positions.keys() - used:
            del self._positions[endpoint_id]
