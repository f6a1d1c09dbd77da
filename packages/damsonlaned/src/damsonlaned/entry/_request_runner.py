"""Run requests: perform the effects that their state machines return."""

import logging
import secrets
import threading
import time
from collections.abc import Generator
from dataclasses import replace
from typing import Final

from damsonlane.admission import STAGE_SHARE
from damsonlane.quarantine import QuarantinedRequest, find_fingerprint
from damsonlane.requests import (
    Answer,
    AttemptResult,
    BilledOutcome,
    CommitToLedger,
    Effect,
    End,
    Outcome,
    Refusal,
    RequestStateMachine,
    RetryBudget,
    Send,
    Wait,
)
from damsonlaned.clock import read_clock
from damsonlaned.entry._control_link import ControlLink
from damsonlaned.entry._dispatcher import Dispatcher
from damsonlaned.entry._request_parser import ParsedRequest
from damsonlaned.quarantine import describe_quarantined

_LOG: Final = logging.getLogger(__name__)


class RequestRunner:
    """Runs requests, each in the thread of its caller."""

    def __init__(self, control: ControlLink, dispatcher: Dispatcher) -> None:
        self._control: Final = control
        self._dispatcher: Final = dispatcher
        self._budget: Final = _ThreadSafeRetryBudget()

    def live_entries(self) -> int:
        """Return how many entries share the fleet's limits."""
        return self._control.settings.live_entries

    def count_completion(self, parsed: ParsedRequest, outcome: Outcome) -> None:
        """Count a completed request, from which the burn rate is computed."""
        request = parsed.request
        self._control.usage.count_completion(
            request.organisation,
            request.pipeline,
            is_attained=not isinstance(outcome, Refusal) and read_clock() <= request.deadline_at,
        )

    def find_quarantined(self, parsed: ParsedRequest) -> QuarantinedRequest | None:
        """Return the record of a quarantined request, or None if it may be sent to targets."""
        return self._control.quarantine.find_quarantined(_find_fingerprint(parsed))

    def forecast(self, parsed: ParsedRequest) -> float:
        """Return the predicted seconds of a request."""
        return self._dispatcher.forecast(parsed.request, parsed.settings)

    def run(self, parsed: ParsedRequest) -> Generator[str, None, BilledOutcome]:
        """Run a request, yielding parts of the last stage's output if it is streamed."""
        machine = RequestStateMachine(
            parsed.request,
            token=self._control.holder.make_token(secrets.token_hex(8)),
            wall_clock=time.time(),
            budget=self._budget,
        )
        effect = machine.begin(read_clock())
        while not isinstance(effect, End):
            effect = yield from self._perform(machine, effect, parsed)
        self._control.usage.add_costs(effect.billed.costs)
        if isinstance(effect.billed.outcome, Answer):
            self._control.quarantine.record_served(_find_fingerprint(parsed))
        return effect.billed

    def _perform(
        self, machine: RequestStateMachine, effect: Effect, parsed: ParsedRequest
    ) -> Generator[str, None, Effect]:
        if isinstance(effect, Send):
            return (yield from self._send(machine, effect, parsed))
        if isinstance(effect, CommitToLedger):
            reply = self._control.jobs.submit(effect.command, effect.seconds)
            return machine.take_reply(read_clock(), reply)
        assert isinstance(effect, Wait)
        time.sleep(effect.seconds)
        return machine.resume(read_clock())

    def _cannot_meet_deadline(self, send: Send, parsed: ParsedRequest) -> bool:
        """Return whether the stages left of a partly run request cannot complete in time."""
        names = [stage.name for stage in parsed.request.stages]
        first = names.index(send.stage.name)
        if first == 0:
            return False
        needed = self._dispatcher.forecast(parsed.request, parsed.settings, first)
        return needed > STAGE_SHARE * send.seconds

    def _send(
        self, machine: RequestStateMachine, send: Send, parsed: ParsedRequest
    ) -> Generator[str, None, Effect]:
        quarantined = self.find_quarantined(parsed)
        if quarantined is not None:
            return machine.refuse_quarantined(read_clock(), describe_quarantined(quarantined))
        if self._cannot_meet_deadline(send, parsed):
            return machine.abandon(read_clock())
        if send.key.number == 1:
            self._budget.count_first(send.stage.retry_share)
        attempt = self._dispatcher.send(
            send, parsed.settings, parsed.request.pipeline, _find_fingerprint(parsed)
        )
        is_delivered = False
        while True:
            try:
                part = next(attempt)
            except StopIteration as stop:
                target, result = stop.value
                break
            if send.is_last and parsed.is_streaming:
                is_delivered = True
                yield part
        _log_attempt(send, parsed.request.pipeline, target, result)
        result = replace(result, is_delivered=is_delivered)
        return machine.take_result(read_clock(), target, result)


def _find_fingerprint(parsed: ParsedRequest) -> str:
    """Return the fingerprint that identical requests of one organisation share.

    It does not depend on their idempotency keys.
    """
    request = parsed.request
    return find_fingerprint(
        organisation=request.organisation,
        method="",
        host="",
        target=request.pipeline,
        body=request.text.encode(),
    )


class _ThreadSafeRetryBudget(RetryBudget):
    """The retry budget of an entry; safe for use by many threads."""

    def __init__(self) -> None:
        super().__init__()
        self._lock = threading.Lock()

    def count_first(self, share: float) -> None:
        with self._lock:
            super().count_first(share)

    def try_spend(self) -> bool:
        with self._lock:
            return super().try_spend()


def _log_attempt(send: Send, pipeline: str, target: str, result: AttemptResult) -> None:
    level = logging.INFO if result.outcome == "answered" else logging.WARNING
    _LOG.log(
        level,
        "attempt",
        extra={
            "request": send.key.request,
            "organisation": send.key.organisation,
            "pipeline": pipeline,
            "stage": send.key.stage,
            "target": target,
            "attempt": send.key.number,
            "outcome": result.outcome,
            "fault": result.fault,
        },
    )
