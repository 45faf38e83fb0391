"""Simulates one seeded move, decided by the baseline policy."""

from __future__ import annotations

import heapq
import random

from bench import move_runs
from bench import naive_policy
from bench import sites
from bench import streams


def run_naive(site: sites.Site, case: sites.Case, seed: int) -> move_runs.Run:
    """Run the baseline on the request stream of the measured move."""
    stream = streams.Stream(site, case, seed)
    rng = random.Random(f'entries {site.name} {case.name} {seed}')
    policy = naive_policy.NaivePolicy()
    replicas = tuple(
        sites.endpoint_id('v2', index) for index in range(site.replicas)
    )
    running: list[streams.Ended] = []
    new_requests = requests = blamed = 0
    at_s = 0.0
    taken_back_s: float | None = None
    end_s = max(site.move_s, stream.onset_s) + move_runs.AFTER_BAD_S
    while at_s < end_s and taken_back_s is None:
        share = policy.share(at_s / site.move_s)
        stream.update_load([(share, replicas)], move_runs.TICK_S)
        for time_s in stream.arrivals(at_s, move_runs.TICK_S):
            version = 'v2' if rng.random() < share else 'v1'
            index = rng.choice(stream.live(version, time_s))
            name = sites.endpoint_id(version, index)
            for ended in stream.run(time_s, 0, version, name, 0):
                heapq.heappush(running, ended)
            requests += 1
            new_requests += version == 'v2'
        at_s += move_runs.TICK_S
        while running and running[0].at_s < at_s:
            ended = heapq.heappop(running)
            blamed += ended.blamed
            is_new = ended.version == 'v2'
            if ended.is_end:
                policy.record(is_new, ended.ok)
            if ended.time_s is not None:
                policy.record_time(is_new, ended.time_s)
        if policy.is_bad():
            taken_back_s = at_s
        elif at_s >= site.move_s and not case.is_bad:
            break
    done_s = site.move_s if taken_back_s is None else None
    return move_runs.Run(
        site.name,
        case.name,
        seed,
        taken_back_s,
        done_s,
        stream.onset_s,
        new_requests,
        requests,
        blamed,
        0,
        True,
        '',
    )
