"""Runs calls with an idempotency key at most once."""

from __future__ import annotations

import asyncio
from collections import abc
from typing import Any

from godwitvalve import clock as clock_model
from godwitvalve.idempotency import claim_record
from godwitvalve.idempotency import claims as claim_store
from godwitvalve.idempotency import keyed_calls
from godwitvalve.idempotency import keys
from godwitvalve.idempotency import ledger as ledger_model
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcome_model
from godwitvalve.store import port as store_port

_LOG = logs.get('idempotency')
# The send ends at the same deadline and may then still report NotRun.
_ANSWER_GRACE_S = 0.25
_OWNER_UNAVAILABLE = (
    codes.ResultCode.OWNER_UNREACHABLE,
    codes.ResultCode.OWNER_GONE,
)


class AtMostOnceExecutor:
    """Runs, awaits, replays, forwards or refuses calls with a key.

    :param instance_id: this entry instance.
    :param incarnation: incarnation of this entry instance.
    :param sealing_keys: secrets that authenticate issued keys, the current
        one first.
    :param claims: claims of client-chosen keys.
    :param forwarder: forwards calls to the owners of their keys.
    :param ledger: keys that this incarnation owns; a new one by default.
    """

    def __init__(
        self,
        instance_id: str,
        incarnation: int,
        sealing_keys: abc.Sequence[bytes],
        claims: claim_store.ClaimStore,
        forwarder: keyed_calls.KeyOwnerForwarder,
        clock: clock_model.Clock,
        ledger: ledger_model.IdempotencyLedger | None = None,
    ) -> None:
        self._identity = (instance_id, incarnation)
        self._sealing_keys = sealing_keys
        self._claims = claims
        self._forwarder = forwarder
        self._clock = clock
        if ledger is None:
            ledger = ledger_model.IdempotencyLedger()
        self._ledger = ledger
        self._running_calls: dict[
            keys.KeyScope, asyncio.Task[keyed_calls.CallAnswer]
        ] = {}
        self._background: set[asyncio.Task[None]] = set()

    def issue_key(self, client_account: str) -> str:
        """Issue a key that this incarnation owns."""
        return keys.issue(
            *self._identity,
            client_account,
            self._expiry_wall_s(),
            self._sealing_keys[0],
        )

    @property
    def running(self) -> int:
        """Return the number of calls in flight."""
        return len(self._running_calls)

    async def close(self) -> None:
        """Wait for calls in flight and for writes of their outcomes."""
        pending: list[asyncio.Task[Any]] = [
            *self._running_calls.values(),
            *self._background,
        ]
        while pending:
            await asyncio.wait(pending)
            pending = [*self._running_calls.values(), *self._background]

    async def execute(
        self,
        call: keyed_calls.KeyedCall,
        send: keyed_calls.SendFunction,
        forwarded: bool = False,
    ) -> keyed_calls.CallAnswer:
        """Answer a call, which runs at most once across all entries.

        Cancelling this coroutine neither stops the call nor discards its
        outcome.

        :param send: sends the call; it is awaited at most once for each
            run that the ledger permits.
        :param forwarded: whether another entry forwarded the call to this
            one as the owner; the call is then not forwarded again.
        """
        parsed = keys.parse(call.key, call.client_account, self._sealing_keys)
        match parsed:
            case keys.IssuedKey(instance_id, incarnation, expires_wall_s, _):
                if (instance_id, incarnation) == self._identity:
                    return await self._begin(
                        call, send, expires_wall_s, False, forwarded
                    )
                return await self._forward(
                    call, instance_id, incarnation, forwarded
                )
            case keys.ClientKey():
                return await self._begin(
                    call, send, self._expiry_wall_s(), True, forwarded
                )
            case _:
                return keyed_calls.failure(parsed)

    def _expiry_wall_s(self) -> float:
        # Uses the clock of the ledger: if the wall clock is set back, keys
        # issued by it would be refused as expired.
        now_wall_s = self._ledger.advance_clock(self._clock.wall_s())
        return now_wall_s + keys.ISSUED_VALIDITY_S

    async def _begin(
        self,
        call: keyed_calls.KeyedCall,
        send: keyed_calls.SendFunction,
        expires_wall_s: float,
        must_claim: bool,
        forwarded: bool,
    ) -> keyed_calls.CallAnswer:
        decision = self._ledger.begin(
            call.scope, call.body_digest, expires_wall_s, self._clock.wall_s()
        )
        match decision:
            case ledger_model.Refuse(code):
                return keyed_calls.failure(code)
            case ledger_model.Replay(outcome):
                return keyed_calls.CallAnswer(outcome, replayed=True)
            case ledger_model.Wait():
                answer = await self._await_running(call)
                return answer._replace(replayed=True)
            case ledger_model.Run(is_retry):
                run = _PermittedRun(
                    call, send, expires_wall_s, is_retry, forwarded
                )
                task = asyncio.create_task(self._execute_run(run, must_claim))
                self._running_calls[call.scope] = task
                return await self._await_running(call)

    async def _await_running(
        self, call: keyed_calls.KeyedCall
    ) -> keyed_calls.CallAnswer:
        task = self._running_calls[call.scope]
        remaining_s = call.request.deadline_wall_s - self._clock.wall_s()
        await asyncio.wait(
            {task}, timeout=max(0.0, remaining_s) + _ANSWER_GRACE_S
        )
        if task.done():
            return task.result()
        return keyed_calls.failure(
            codes.ResultCode.OUTCOME_UNKNOWN,
            'the call is still running',
        )

    async def _execute_run(
        self, run: _PermittedRun, must_claim: bool
    ) -> keyed_calls.CallAnswer:
        try:
            if must_claim:
                return await self._claim_and_run(run)
            return keyed_calls.CallAnswer(await self._run(run))
        except Exception:
            _LOG.exception('A call failed before it was sent.')
            self._ledger.allow_retry(run.call.scope)
            return keyed_calls.failure(codes.ResultCode.CLAIM_UNKNOWN)
        finally:
            del self._running_calls[run.call.scope]

    async def _claim_and_run(
        self, run: _PermittedRun
    ) -> keyed_calls.CallAnswer:
        claimant = claim_record.Claimant(
            *self._identity, run.call.body_digest, run.is_retry
        )
        result = await self._claims.claim(
            run.call.scope, claimant, run.expires_wall_s
        )
        match result:
            case claim_store.ClaimFailed(outcome):
                self._ledger.allow_retry(run.call.scope)
                return keyed_calls.CallAnswer(outcome)
            case claim_record.ClaimHeld(record):
                # Repeated calls await this answer until the key is discarded.
                answer = await self._resolve_held(run, record)
                self._ledger.discard(run.call.scope)
                return answer
            case claim_store.Claimed():
                run_outcome = await self._run(run)
                self._write_back(run.call.scope, result, run_outcome)
                return keyed_calls.CallAnswer(run_outcome)

    async def _run(self, run: _PermittedRun) -> outcome_model.Outcome:
        deadline_wall_s = run.call.request.deadline_wall_s
        outcome: outcome_model.Outcome
        if self._clock.wall_s() >= deadline_wall_s:
            outcome = outcome_model.NotRun(
                codes.ResultCode.DEADLINE_BEFORE_SEND
            )
        else:
            outcome = await _send_safely(run.send)
        self._ledger.finish(run.call.scope, outcome)
        return outcome

    def _write_back(
        self,
        scope: keys.KeyScope,
        claimed: claim_store.Claimed,
        outcome: outcome_model.Outcome,
    ) -> None:
        async def write() -> None:
            try:
                await self._claims.record_outcome(scope, claimed, outcome)
            except Exception:
                _LOG.exception('Could not write an outcome to its claim.')

        task = asyncio.create_task(write())
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _resolve_held(
        self, run: _PermittedRun, record: claim_record.ClaimRecord
    ) -> keyed_calls.CallAnswer:
        if record.body_digest != run.call.body_digest:
            return keyed_calls.failure(codes.ResultCode.KEY_BODY_MISMATCH)
        if record.outcome is not None:
            return keyed_calls.CallAnswer(record.outcome, replayed=True)
        if (record.owner_id, record.incarnation) == self._identity:
            return keyed_calls.failure(codes.ResultCode.KEY_EXPIRED)
        answer = await self._forward(
            run.call, record.owner_id, record.incarnation, run.forwarded
        )
        match answer.outcome:
            case outcome_model.Unknown(code) if code in _OWNER_UNAVAILABLE:
                return await self._read_recorded(run.call, answer)
        return answer

    async def _read_recorded(
        self, call: keyed_calls.KeyedCall, default: keyed_calls.CallAnswer
    ) -> keyed_calls.CallAnswer:
        """Return the outcome that the claim row holds by now, if any."""
        try:
            record, _ = await self._claims.read(call.scope)
        except store_port.PlatformUnavailable:
            return default
        if record is None or record.outcome is None:
            return default
        return keyed_calls.CallAnswer(record.outcome, replayed=True)

    async def _forward(
        self,
        call: keyed_calls.KeyedCall,
        owner_id: str,
        incarnation: int,
        forwarded: bool,
    ) -> keyed_calls.CallAnswer:
        if owner_id == self._identity[0]:
            return keyed_calls.failure(codes.ResultCode.OWNER_GONE)
        if forwarded:
            return keyed_calls.failure(
                codes.ResultCode.OWNER_UNREACHABLE,
                'the owner has changed',
            )
        return await self._forwarder.forward(owner_id, incarnation, call)


class _PermittedRun:
    """A run of a call that the ledger has permitted."""

    def __init__(
        self,
        call: keyed_calls.KeyedCall,
        send: keyed_calls.SendFunction,
        expires_wall_s: float,
        is_retry: bool,
        forwarded: bool,
    ) -> None:
        self.call = call
        self.send = send
        self.expires_wall_s = expires_wall_s
        self.is_retry = is_retry
        self.forwarded = forwarded


async def _send_safely(
    send: keyed_calls.SendFunction,
) -> outcome_model.Outcome:
    try:
        return await send()
    except Exception as error:
        _LOG.exception('Sending a call raised an exception.')
        return outcome_model.Unknown(
            codes.ResultCode.OUTCOME_UNKNOWN, type(error).__name__
        )
    except asyncio.CancelledError:
        return outcome_model.Unknown(
            codes.ResultCode.OUTCOME_UNKNOWN, 'the send was cancelled'
        )
