"""Carrying out what a request's run asks for."""

import logging
import secrets
import threading
import time
from collections.abc import Generator
from dataclasses import replace
from typing import Final

from damsonlane.admission import STAGE_SHARE
from damsonlane.quarantine import HeldRequest, find_fingerprint
from damsonlane.requests import (
    Answer,
    AskLedger,
    AttemptResult,
    Billed,
    Effect,
    End,
    Ending,
    Refusal,
    RequestRun,
    RetryBudget,
    Send,
    Wait,
)
from damsonlaned.clock import read_clock
from damsonlaned.entry._control_link import Uplink
from damsonlaned.entry._dispatcher import Dispatch
from damsonlaned.entry._request_parser import TakenRequest

_LOG: Final = logging.getLogger(__name__)


class RequestRunner:
    """Runs requests, each in the thread of its caller."""

    def __init__(self, uplink: Uplink, dispatch: Dispatch) -> None:
        self._uplink: Final = uplink
        self._dispatch: Final = dispatch
        self._budget: Final = _SharedBudget()

    def live_entries(self) -> int:
        """Return how many entries share the fleet's limits."""
        return self._uplink.settings.live_entries

    def count_ending(self, taken: TakenRequest, ending: Ending) -> None:
        """Count how a request ended, for the report on burn."""
        request = taken.request
        self._uplink.accounts.count_ending(
            request.organisation,
            request.pipeline,
            is_attained=not isinstance(ending, Refusal) and read_clock() <= request.due_at,
        )

    def find_held(self, taken: TakenRequest) -> HeldRequest | None:
        """Return a request as it is held, or None if it may go to targets."""
        return self._uplink.quarantine.find_held(_find_fingerprint(taken))

    def forecast(self, taken: TakenRequest) -> float:
        """Return the predicted seconds of a request."""
        return self._dispatch.forecast(taken.request, taken.settings)

    def run(self, taken: TakenRequest) -> Generator[str, None, Billed]:
        """Run a request, yielding pieces of the last stage's output if it is streamed."""
        run = RequestRun(
            taken.request,
            token=self._uplink.holder.make_token(secrets.token_hex(8)),
            wall_clock=time.time(),
            budget=self._budget,
        )
        effect = run.begin(read_clock())
        while not isinstance(effect, End):
            effect = yield from self._carry_out(run, effect, taken)
        self._uplink.accounts.add_costs(effect.billed.costs)
        if isinstance(effect.billed.ending, Answer):
            self._uplink.quarantine.note_served(_find_fingerprint(taken))
        return effect.billed

    def _carry_out(
        self, run: RequestRun, effect: Effect, taken: TakenRequest
    ) -> Generator[str, None, Effect]:
        if isinstance(effect, Send):
            return (yield from self._send(run, effect, taken))
        if isinstance(effect, AskLedger):
            reply = self._uplink.jobs.ask(effect.command, effect.seconds)
            return run.take_reply(read_clock(), reply)
        assert isinstance(effect, Wait)
        time.sleep(effect.seconds)
        return run.resume(read_clock())

    def _is_hopeless(self, send: Send, taken: TakenRequest) -> bool:
        """Tell whether what is left of a request that has run in part can't end in time."""
        names = [stage.name for stage in taken.request.stages]
        first = names.index(send.stage.name)
        if first == 0:
            return False
        needed = self._dispatch.forecast(taken.request, taken.settings, first)
        return needed > STAGE_SHARE * send.seconds

    def _send(
        self, run: RequestRun, send: Send, taken: TakenRequest
    ) -> Generator[str, None, Effect]:
        held = self.find_held(taken)
        if held is not None:
            return run.hold(read_clock(), describe_held(held))
        if self._is_hopeless(send, taken):
            return run.give_up(read_clock())
        if send.key.number == 1:
            self._budget.count_first(send.stage.retry_share)
        attempt = self._dispatch.send(
            send, taken.settings, taken.request.pipeline, _find_fingerprint(taken)
        )
        is_delivered = False
        while True:
            try:
                piece = next(attempt)
            except StopIteration as stop:
                target, result = stop.value
                break
            if send.is_last and taken.is_streaming:
                is_delivered = True
                yield piece
        _log_attempt(send, taken.request.pipeline, target, result)
        result = replace(result, is_delivered=is_delivered)
        return run.take_result(read_clock(), target, result)


def describe_held(held: HeldRequest) -> str:
    """Return why a request is kept from targets, as its caller is told."""
    return f"{held.ends} targets ended while they had this request"


def _find_fingerprint(taken: TakenRequest) -> str:
    """Return what makes two requests of one organisation the same, whatever their keys."""
    request = taken.request
    return find_fingerprint(
        organisation=request.organisation,
        method="",
        host="",
        target=request.pipeline,
        body=request.text.encode(),
    )


class _SharedBudget(RetryBudget):
    """The retry budget of an entry, safe for many threads."""

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
