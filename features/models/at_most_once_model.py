"""Model of the at-most-once protocol for one key.

The transitions call the product's own decisions: ``begin_record``,
``finish_record``, ``decide_claim`` and ``is_own_write``. Around them the
model lets messages be lost or late, processes die, and a paused process go
on after its replacement has started. A pause needs no state of its own: any
other step may come between two steps of a process.
"""

from __future__ import annotations

import functools
from typing import NamedTuple

from godwitvalve.idempotency import claim_record
from godwitvalve.idempotency import ledger
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome
import minicheck

EXPIRES_S = 1.0
DIGEST = 'digest'
COMPLETED = outcome.Completed(200, (), b'')
UNKNOWN = outcome.Unknown(codes.ResultCode.OUTCOME_UNKNOWN)
NOT_RUN = outcome.NotRun(codes.ResultCode.CONNECT_FAILED)
# A1 may be replaced by A2 while it is paused; B1 is another instance.
PROCESSES = (('A', 1), ('B', 1), ('A', 2))


class Guards(NamedTuple):
    """Guards of the protocol; a false one is removed."""

    waits_for_running: bool = True
    unknown_is_final: bool = True
    sent_is_never_not_run: bool = True
    timeout_is_unknown: bool = True
    compares_and_sets: bool = True
    confirms_lost_claim: bool = True
    reads_back_nonce: bool = True
    never_takes_over: bool = True
    checks_owner: bool = True
    checks_incarnation: bool = True
    clock_never_goes_back: bool = True
    remembers_unsent: bool = True


class Flight(NamedTuple):
    """One permitted run under way at a process."""

    process: int
    step: str
    nonce: bytes
    version: int
    is_retry: bool
    told_not_run: bool


class Write(NamedTuple):
    """A row write that the store may still receive."""

    expected: int
    record: claim_record.ClaimRecord


class State(NamedTuple):
    """State of the whole system."""

    alive: tuple[bool, ...]
    records: tuple[ledger.KeyRecord | None, ...]
    flights: tuple[Flight, ...]
    row: claim_record.ClaimRecord | None
    version: int
    writes: tuple[Write, ...]
    requests_left: int
    losses_left: int
    deaths_left: int
    wall_s: float
    latest_s: float
    store_up: bool
    outages_left: int
    runs: int
    lied: bool


def initial(requests, losses, deaths, outages):
    """Return the state before the first request."""
    return State(
        (True, True, False),
        (None,) * 3,
        (),
        None,
        0,
        (),
        requests,
        losses,
        deaths,
        0.0,
        0.0,
        True,
        outages,
        0,
        False,
    )


def _set(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def _swap(state, old, *new):
    flights = list(state.flights)
    flights.remove(old)
    return state._replace(flights=tuple(sorted([*flights, *new])))


def _clock_s(state, guards):
    return state.latest_s if guards.clock_never_goes_back else state.wall_s


def _begin(state, guards, process, is_claimed):
    """A request reaches a process that may own the key."""
    record = state.records[process]
    is_running = record and record.state is ledger.KeyState.RUNNING
    if is_running and not guards.waits_for_running:
        record = record._replace(state=ledger.KeyState.NOT_RUN)
    record, decision = ledger.begin_record(
        record, DIGEST, EXPIRES_S, _clock_s(state, guards)
    )
    state = state._replace(records=_set(state.records, process, record))
    if not isinstance(decision, ledger.Run):
        return state
    number = len(state.flights) + 10 * state.requests_left
    nonce = bytes([process, number])
    step = 'read' if is_claimed else 'ready'
    flight = Flight(process, step, nonce, 0, decision.is_retry, False)
    return state._replace(flights=tuple(sorted([*state.flights, flight])))


def _finish(state, guards, flight, result, is_claimed):
    """A flight ends with an outcome of its send."""
    kept = result
    if isinstance(result, outcome.Unknown) and not guards.unknown_is_final:
        kept = NOT_RUN
    record = state.records[flight.process]
    if record is not None:
        record = ledger.finish_record(record, kept)
    state = _swap(state, flight)
    state = state._replace(records=_set(state.records, flight.process, record))
    if is_claimed:
        held = _claim(flight)._replace(outcome=result)
        state = _post(state, Write(flight.version, held))
    return state


def _post(state, write):
    writes = tuple(sorted({*state.writes, write}, key=repr))
    return state._replace(writes=writes)


def _reopen(state, flight):
    record = state.records[flight.process]
    if record and record.state is ledger.KeyState.RUNNING:
        record = record._replace(state=ledger.KeyState.NOT_RUN)
    state = _swap(state, flight)
    return state._replace(records=_set(state.records, flight.process, record))


def _claim(flight):
    owner_id, incarnation = PROCESSES[flight.process]
    return claim_record.ClaimRecord(
        owner_id, incarnation, flight.nonce, DIGEST, EXPIRES_S, None
    )


def _apply(state, guards, write):
    """The store receives a write; returns the state and whether it won."""
    won = state.version == write.expected or not guards.compares_and_sets
    if won:
        state = state._replace(row=write.record, version=state.version + 1)
    return state, won


def _read_steps(state, guards, flight):
    is_retry = flight.is_retry or not guards.remembers_unsent
    claimant = claim_record.Claimant(
        *PROCESSES[flight.process], DIGEST, is_retry
    )
    decision = claim_record.decide_claim(state.row, state.version, claimant)
    if isinstance(decision, claim_record.ClaimHeld):
        owner = PROCESSES.index(tuple(decision.record[:2]))
        if not guards.never_takes_over and decision.record.outcome is None:
            taken = flight._replace(step='write', version=state.version)
            yield 'take over', _swap(state, flight, taken)
        forgotten = state._replace(
            records=_set(state.records, flight.process, None)
        )
        forgotten = _swap(forgotten, flight)
        yield 'held', forgotten
        if state.alive[owner] and owner != flight.process:
            yield 'forward', _begin(forgotten, guards, owner, True)
        return
    taken = flight._replace(step='write', version=decision.expected_version)
    yield 'decide', _swap(state, flight, taken)


def _write_steps(state, guards, flight):
    write = Write(flight.version, _claim(flight))
    applied, won = _apply(state, guards, write)
    if won:
        owned = flight._replace(step='ready', version=applied.version)
        yield 'claimed', _swap(applied, flight, owned)
    else:
        yield 'conflict', _swap(state, flight, flight._replace(step='read'))
    if state.losses_left:
        lost = state._replace(losses_left=state.losses_left - 1)
        doubt = flight._replace(step='doubt')
        late = _post(lost, write)
        yield 'write is late', _swap(late, flight, doubt)
        after, _ = _apply(lost, guards, write)
        yield 'answer lost', _swap(after, flight, doubt)


def _doubt_steps(state, guards, flight):
    if not guards.confirms_lost_claim:
        owned = flight._replace(step='ready', version=flight.version + 1)
        yield 'assume', _swap(state, flight, owned)
        return
    is_own = claim_record.is_own_write(state.row, flight.nonce)
    if not guards.reads_back_nonce and state.row is not None:
        is_own = state.row.owner_id == PROCESSES[flight.process][0]
    if is_own:
        owned = flight._replace(step='ready', version=state.version)
        yield 'read back', _swap(state, flight, owned)
    elif state.version != flight.version:
        again = flight._replace(step='read')
        yield 'row changed', _swap(state, flight, again)
    else:
        yield 'still absent', _reopen(state, flight)


def _send_steps(state, guards, flight, is_claimed):
    finish = functools.partial(_finish, is_claimed=is_claimed)
    if flight.step == 'ready':
        sending = flight._replace(step='checked')
        yield 'deadline checked', _swap(state, flight, sending)
        yield 'deadline passed', finish(state, guards, flight, NOT_RUN)
        return
    yield 'refused', finish(state, guards, flight, NOT_RUN)
    ran = state._replace(
        runs=min(2, state.runs + 1),
        lied=state.lied or flight.told_not_run,
    )
    yield 'answered', finish(ran, guards, flight, COMPLETED)
    if guards.sent_is_never_not_run:
        yield 'unanswered', finish(ran, guards, flight, UNKNOWN)
    else:
        false = ran._replace(lied=True)
        yield 'unanswered', finish(false, guards, flight, NOT_RUN)


def _flight_steps(state, guards, flight, is_claimed):
    if not guards.timeout_is_unknown and not flight.told_not_run:
        told = flight._replace(told_not_run=True)
        yield 'caller told not run', _swap(state, flight, told)
    steps = {
        'read': _read_steps,
        'write': _write_steps,
        'doubt': _doubt_steps,
    }
    # Without the store, nothing is sent for a key that must be claimed.
    if flight.step not in steps:
        yield from _send_steps(state, guards, flight, is_claimed)
    elif state.store_up:
        yield from steps[flight.step](state, guards, flight)
    else:
        yield 'store down', _reopen(state, flight)


def _world_steps(state, guards):
    for write in state.writes:
        others = tuple(each for each in state.writes if each != write)
        rest = state._replace(writes=others)
        yield 'late write', _apply(rest, guards, write)[0]
    if not state.alive[2]:
        yield 'replace A', state._replace(alive=_set(state.alive, 2, True))
    for process, alive in enumerate(state.alive):
        if alive and state.deaths_left:
            yield (
                f'kill {PROCESSES[process]}',
                state._replace(
                    alive=_set(state.alive, process, False),
                    records=_set(state.records, process, None),
                    deaths_left=state.deaths_left - 1,
                    flights=tuple(
                        each
                        for each in state.flights
                        if each.process != process
                    ),
                ),
            )
    if state.outages_left:
        left = state.outages_left - state.store_up
        yield (
            'store changes',
            state._replace(store_up=not state.store_up, outages_left=left),
        )


def _forget_steps(state):
    for process, record in enumerate(state.records):
        if record and record.state is not ledger.KeyState.RUNNING:
            yield (
                'forget',
                state._replace(records=_set(state.records, process, None)),
            )


def _time_steps(state):
    if state.wall_s < EXPIRES_S:
        yield 'key expires', state._replace(wall_s=EXPIRES_S, latest_s=1.0)
    else:
        yield 'clock set back', state._replace(wall_s=0.0)
        yield from _forget_steps(state)


def _client_transitions(state, guards):
    steps = list(_world_steps(state, guards)) + list(_forget_steps(state))
    if state.requests_left:
        asked = state._replace(requests_left=state.requests_left - 1)
        for process, alive in enumerate(state.alive):
            if alive:
                begun = _begin(asked, guards, process, True)
                steps.append((f'ask {PROCESSES[process]}', begun))
    for flight in state.flights:
        steps += _flight_steps(state, guards, flight, True)
    return steps


def _issued_transitions(state, guards):
    steps = list(_world_steps(state, guards)) + list(_time_steps(state))
    owner = PROCESSES[0]
    if state.requests_left:
        asked = state._replace(requests_left=state.requests_left - 1)
        for process, own in enumerate(PROCESSES):
            is_owner = own == owner
            if not guards.checks_incarnation:
                is_owner = own[0] == owner[0]
            if not guards.checks_owner:
                is_owner = True
            if state.alive[process] and is_owner:
                begun = _begin(asked, guards, process, False)
                steps.append((f'ask {own}', begun))
    for flight in state.flights:
        steps += _flight_steps(state, guards, flight, False)
    return steps


def protocol(kind, guards, start):
    """Return the model of a kind of key, ``client`` or ``issued``."""
    transitions = _client_transitions
    if kind == 'issued':
        transitions = _issued_transitions
    return minicheck.Protocol(
        name=f'at most once, {kind} key',
        candidate=False,
        fields=State._fields,
        initial=start,
        transitions=lambda state: transitions(state, guards),
        invariants={
            'runs at most once': lambda s: s['runs'] <= 1,
            '"not run" is true': lambda s: not s['lied'],
        },
    )
