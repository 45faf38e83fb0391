"""Model of the at-most-once protocol for one key.

The transitions call the decision functions of the product:
``begin_record``, ``finish_record``, ``decide_claim`` and ``is_own_write``.
Around them the model loses or delays messages, crashes processes, and lets
a paused process continue after its replacement has started. A pause needs
no state, because steps of others may come between any two steps of a
process.
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
    """Guards of the protocol; a guard that is False is removed."""

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


class Execution(NamedTuple):
    """A permitted run in progress at a process."""

    process: int
    step: str
    nonce: bytes
    version: int
    is_retry: bool
    reported_not_run: bool


class Write(NamedTuple):
    """A write that the table service may still apply."""

    expected: int
    record: claim_record.ClaimRecord


class State(NamedTuple):
    """State of the whole system."""

    alive: tuple[bool, ...]
    records: tuple[ledger.KeyRecord | None, ...]
    executions: tuple[Execution, ...]
    row: claim_record.ClaimRecord | None
    version: int
    writes: tuple[Write, ...]
    requests_left: int
    losses_left: int
    crashes_left: int
    wall_s: float
    latest_s: float
    store_up: bool
    outages_left: int
    runs: int
    false_not_run: bool


def initial(requests, losses, crashes, outages):
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
        crashes,
        0.0,
        0.0,
        True,
        outages,
        0,
        False,
    )


def _replace_at(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def _replaced(state, old, *new):
    executions = list(state.executions)
    executions.remove(old)
    return state._replace(executions=tuple(sorted([*executions, *new])))


def _clock_s(state, guards):
    return state.latest_s if guards.clock_never_goes_back else state.wall_s


def _begin(state, guards, process, is_claimed):
    """Handle a request at a process that may own the key."""
    record = state.records[process]
    is_running = record and record.state is ledger.KeyState.RUNNING
    if is_running and not guards.waits_for_running:
        record = record._replace(state=ledger.KeyState.NOT_RUN)
    record, decision = ledger.begin_record(
        record, DIGEST, EXPIRES_S, _clock_s(state, guards)
    )
    state = state._replace(records=_replace_at(state.records, process, record))
    if not isinstance(decision, ledger.Run):
        return state
    number = len(state.executions) + 10 * state.requests_left
    nonce = bytes([process, number])
    step = 'read' if is_claimed else 'ready'
    execution = Execution(process, step, nonce, 0, decision.is_retry, False)
    return state._replace(
        executions=tuple(sorted([*state.executions, execution]))
    )


def _finish(state, guards, execution, result, is_claimed):
    """End an execution with the outcome of its send."""
    recorded = result
    if isinstance(result, outcome.Unknown) and not guards.unknown_is_final:
        recorded = NOT_RUN
    record = state.records[execution.process]
    if record is not None:
        record = ledger.finish_record(record, recorded)
    state = _replaced(state, execution)
    state = state._replace(
        records=_replace_at(state.records, execution.process, record)
    )
    if is_claimed:
        recorded_claim = _claim(execution)._replace(outcome=result)
        state = _add_write(state, Write(execution.version, recorded_claim))
    return state


def _add_write(state, write):
    writes = tuple(sorted({*state.writes, write}, key=repr))
    return state._replace(writes=writes)


def _allow_retry(state, execution):
    record = state.records[execution.process]
    if record and record.state is ledger.KeyState.RUNNING:
        record = record._replace(state=ledger.KeyState.NOT_RUN)
    state = _replaced(state, execution)
    return state._replace(
        records=_replace_at(state.records, execution.process, record)
    )


def _claim(execution):
    owner_id, incarnation = PROCESSES[execution.process]
    return claim_record.ClaimRecord(
        owner_id, incarnation, execution.nonce, DIGEST, EXPIRES_S, None
    )


def _apply(state, guards, write):
    """Apply a write at the table service.

    :returns: the new state and whether the write was applied.
    """
    is_applied = (
        state.version == write.expected or not guards.compares_and_sets
    )
    if is_applied:
        state = state._replace(row=write.record, version=state.version + 1)
    return state, is_applied


def _read_steps(state, guards, execution):
    is_retry = execution.is_retry or not guards.remembers_unsent
    claimant = claim_record.Claimant(
        *PROCESSES[execution.process], DIGEST, is_retry
    )
    decision = claim_record.decide_claim(state.row, state.version, claimant)
    if isinstance(decision, claim_record.ClaimHeld):
        owner = PROCESSES.index(tuple(decision.record[:2]))
        if not guards.never_takes_over and decision.record.outcome is None:
            writing = execution._replace(step='write', version=state.version)
            yield 'take over', _replaced(state, execution, writing)
        discarded = state._replace(
            records=_replace_at(state.records, execution.process, None)
        )
        discarded = _replaced(discarded, execution)
        yield 'held', discarded
        if state.alive[owner] and owner != execution.process:
            yield 'forward', _begin(discarded, guards, owner, True)
        return
    writing = execution._replace(
        step='write', version=decision.expected_version
    )
    yield 'decide', _replaced(state, execution, writing)


def _write_steps(state, guards, execution):
    write = Write(execution.version, _claim(execution))
    applied, is_applied = _apply(state, guards, write)
    if is_applied:
        owned = execution._replace(step='ready', version=applied.version)
        yield 'claimed', _replaced(applied, execution, owned)
    else:
        yield (
            'conflict',
            _replaced(state, execution, execution._replace(step='read')),
        )
    if state.losses_left:
        lost = state._replace(losses_left=state.losses_left - 1)
        unconfirmed = execution._replace(step='unconfirmed')
        late = _add_write(lost, write)
        yield 'write is late', _replaced(late, execution, unconfirmed)
        after, _ = _apply(lost, guards, write)
        yield 'answer lost', _replaced(after, execution, unconfirmed)


def _unconfirmed_steps(state, guards, execution):
    if not guards.confirms_lost_claim:
        owned = execution._replace(step='ready', version=execution.version + 1)
        yield 'assume', _replaced(state, execution, owned)
        return
    is_own = claim_record.is_own_write(state.row, execution.nonce)
    if not guards.reads_back_nonce and state.row is not None:
        is_own = state.row.owner_id == PROCESSES[execution.process][0]
    if is_own:
        owned = execution._replace(step='ready', version=state.version)
        yield 'read back', _replaced(state, execution, owned)
    elif state.version != execution.version:
        retried = execution._replace(step='read')
        yield 'row changed', _replaced(state, execution, retried)
    else:
        yield 'still absent', _allow_retry(state, execution)


def _send_steps(state, guards, execution, is_claimed):
    finish = functools.partial(_finish, is_claimed=is_claimed)
    if execution.step == 'ready':
        sending = execution._replace(step='checked')
        yield 'deadline checked', _replaced(state, execution, sending)
        yield 'deadline passed', finish(state, guards, execution, NOT_RUN)
        return
    yield 'refused', finish(state, guards, execution, NOT_RUN)
    ran = state._replace(
        runs=min(2, state.runs + 1),
        false_not_run=state.false_not_run or execution.reported_not_run,
    )
    yield 'answered', finish(ran, guards, execution, COMPLETED)
    if guards.sent_is_never_not_run:
        yield 'unanswered', finish(ran, guards, execution, UNKNOWN)
    else:
        misreported = ran._replace(false_not_run=True)
        yield 'unanswered', finish(misreported, guards, execution, NOT_RUN)


def _execution_steps(state, guards, execution, is_claimed):
    if not guards.timeout_is_unknown and not execution.reported_not_run:
        reported = execution._replace(reported_not_run=True)
        yield 'reported as not run', _replaced(state, execution, reported)
    steps = {
        'read': _read_steps,
        'write': _write_steps,
        'unconfirmed': _unconfirmed_steps,
    }
    # During an outage nothing is sent for a key that must be claimed.
    if execution.step not in steps:
        yield from _send_steps(state, guards, execution, is_claimed)
    elif state.store_up:
        yield from steps[execution.step](state, guards, execution)
    else:
        yield 'store down', _allow_retry(state, execution)


def _fault_steps(state, guards):
    for write in state.writes:
        others = tuple(each for each in state.writes if each != write)
        rest = state._replace(writes=others)
        yield 'late write', _apply(rest, guards, write)[0]
    if not state.alive[2]:
        yield (
            'replace A',
            state._replace(alive=_replace_at(state.alive, 2, True)),
        )
    for process, alive in enumerate(state.alive):
        if alive and state.crashes_left:
            yield (
                f'crash {PROCESSES[process]}',
                state._replace(
                    alive=_replace_at(state.alive, process, False),
                    records=_replace_at(state.records, process, None),
                    crashes_left=state.crashes_left - 1,
                    executions=tuple(
                        each
                        for each in state.executions
                        if each.process != process
                    ),
                ),
            )
    if state.outages_left:
        left = state.outages_left - state.store_up
        yield (
            'outage starts or ends',
            state._replace(store_up=not state.store_up, outages_left=left),
        )


def _discard_steps(state):
    for process, record in enumerate(state.records):
        if record and record.state is not ledger.KeyState.RUNNING:
            yield (
                'discard',
                state._replace(
                    records=_replace_at(state.records, process, None)
                ),
            )


def _time_steps(state):
    if state.wall_s < EXPIRES_S:
        yield 'key expires', state._replace(wall_s=EXPIRES_S, latest_s=1.0)
    else:
        yield 'clock set back', state._replace(wall_s=0.0)
        yield from _discard_steps(state)


def _client_transitions(state, guards):
    steps = list(_fault_steps(state, guards)) + list(_discard_steps(state))
    if state.requests_left:
        requested = state._replace(requests_left=state.requests_left - 1)
        for process, alive in enumerate(state.alive):
            if alive:
                begun = _begin(requested, guards, process, True)
                steps.append((f'request to {PROCESSES[process]}', begun))
    for execution in state.executions:
        steps += _execution_steps(state, guards, execution, True)
    return steps


def _issued_transitions(state, guards):
    steps = list(_fault_steps(state, guards)) + list(_time_steps(state))
    owner = PROCESSES[0]
    if state.requests_left:
        requested = state._replace(requests_left=state.requests_left - 1)
        for process, identity in enumerate(PROCESSES):
            is_owner = identity == owner
            if not guards.checks_incarnation:
                is_owner = identity[0] == owner[0]
            if not guards.checks_owner:
                is_owner = True
            if state.alive[process] and is_owner:
                begun = _begin(requested, guards, process, False)
                steps.append((f'request to {identity}', begun))
    for execution in state.executions:
        steps += _execution_steps(state, guards, execution, False)
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
            '"not run" means no run': lambda s: not s['false_not_run'],
        },
    )
