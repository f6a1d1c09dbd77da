"""Handle one request: its stages, the attempts at targets, and the final response."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Final

from damsonlane.quarantine import QuarantinedRequest, RequestCauses
from damsonlaned.attempts import AttemptSequence, AttemptTurn
from damsonlaned.dialects import Dialect
from damsonlaned.gateway._attempts import Attempts
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._exit_detector import ExitDetector
from damsonlaned.gateway._limited_targets import NoTarget
from damsonlaned.gateway._stage_runner import StageError, StageRunner
from damsonlaned.http import (
    CallerDisconnectedError,
    ResponseSink,
)
from damsonlaned.lateness import LateRequests
from damsonlaned.quarantine import Quarantine, RequestQuarantine
from damsonlaned.relay import Relay, RequestRelay
from damsonlaned.requests._attempt_history import AttemptHistory
from damsonlaned.requests._events import (
    EventSplitter,
)
from damsonlaned.requests._failed_attempt import FailedAttempt, make_relay_failure
from damsonlaned.requests._failure_responder import FailureResponder
from damsonlaned.requests._final_response import FinalResponse
from damsonlaned.requests._request_parts import HeldResults, RequestParts
from damsonlaned.requests._request_times import RequestTimes
from damsonlaned.requests._stop_limit import StopLimit
from damsonlaned.requests._target_attempt import TargetAttempt
from damsonlaned.requests._target_wait import TargetWait, make_no_target_failure
from damsonlaned.versions import StreamOrigins

_LOG: Final = logging.getLogger(__name__)


class RequestHandler:
    """Serves one request until its final response is sent.

    Args:
        call: the request.
        writer: where the response is written.
        attempts: sends the request to targets.
        stages: runs the stages.
        exit_detector: detects targets that exited.
        quarantine: lists requests under which targets exited.
        dialect: renders responses that are not a target's.
        count_entries: returns how many entries with the capacity of this one would share the
            fleet's retry budget.
        late_requests: the policy for late requests.
        relay: passes requests on to other entries.
        origins: records where streams began, and finds it.
        stop_limit: the end of the entry, if it stops.
    """

    def __init__(
        self,
        call: Call,
        writer: ResponseSink,
        attempts: Attempts,
        stages: StageRunner,
        exit_detector: ExitDetector,
        quarantine: Quarantine,
        dialect: Dialect,
        count_entries: Callable[[], float],
        late_requests: LateRequests,
        relay: Relay,
        origins: StreamOrigins,
        stop_limit: StopLimit,
    ) -> None:
        self._stop_limit: Final = stop_limit
        self._origins: Final = origins
        self._call: Final = call
        self._attempts: Final = attempts
        self._stages: Final = stages
        self._quarantine: Final = _make_quarantine(quarantine, call, attempts)
        self._sequence: Final = AttemptSequence[FailedAttempt](
            self._may_replace, self._replace_once, self._record_failure
        )
        #: Why the request was stopped while a target had it; None if it was not.
        self._stopped_by: QuarantinedRequest | None = None
        self._late_requests: Final = late_requests
        self._count_entries: Final = count_entries
        self._results: Final = HeldResults(stages)
        self._times: Final = RequestTimes(call.arrived_at)
        self._history: Final = AttemptHistory(call)
        self._response: Final = FinalResponse(call.request.request_id, writer, dialect)
        self._responder: Final = FailureResponder(self._response, self._history)
        self._relay: Final = RequestRelay(
            relay, call, self._history, self._response, EventSplitter().feed, origins.record
        )
        self._parts: Final = RequestParts(
            call=call,
            attempts=attempts,
            stages=stages,
            results=self._results,
            history=self._history,
            times=self._times,
            response=self._response,
            quarantine=self._quarantine,
            relay=self._relay,
            origins=origins,
            exit_detector=exit_detector,
            late_requests=late_requests,
            stop_limit=stop_limit,
        )
        self._target_wait: Final = TargetWait(
            call,
            attempts,
            stages,
            self._history,
            self._response,
            self._responder,
            late_requests,
            origins,
            self._quarantine,
            stop_limit,
        )

    @property
    def outcome(self) -> str:
        """Outcome of the request, for logs and metrics."""
        return self._response.outcome

    async def run(self) -> None:
        """Serve the request, or refuse it and report whether it may have run."""
        self._attempts.record_arrival(self._call)
        try:
            async with asyncio.timeout_at(self._call.deadline_at) as limit:
                with (
                    self._quarantine.watch(partial(self._stop, limit)),
                    self._stop_limit.apply(limit),
                ):
                    await self._serve()
        except TimeoutError:
            self._end_timed_out()
        except StageError as error:
            if not self._end_if_quarantined():
                self._responder.end_unstaged(error)
        except asyncio.CancelledError:
            self._response.outcome = "caller-gone"
            raise
        except CallerDisconnectedError:
            self._response.outcome = "caller-gone"
        finally:
            self._results.release()
            self._log_outcome()

    # Quarantine.

    def _stop(self, limit: asyncio.Timeout) -> None:
        """Abandon a request that was just quarantined, unless its response has begun.

        A target that has not begun it yet drops it from its queue, and so does not exit under it.
        """
        if not self._response.has_started() and not limit.expired():
            self._stopped_by = self._quarantine.find()
            limit.reschedule(asyncio.get_running_loop().time())

    def _end_timed_out(self) -> None:
        """End a request that reached its deadline or was quarantined."""
        if self._stopped_by is not None:
            self._end_quarantined(self._stopped_by, is_under_way=self._history.attempt_count > 0)
        elif self._stop_limit.has_ended():
            self._responder.end_stopped()
        else:
            self._responder.end_timed_out()

    def _end_if_quarantined(self) -> bool:
        """End the request if it is quarantined; return whether it is."""
        quarantined = self._quarantine.find()
        if quarantined is not None:
            self._end_quarantined(quarantined)
        return quarantined is not None

    def _end_quarantined(
        self, quarantined: QuarantinedRequest, *, is_under_way: bool = False
    ) -> None:
        _LOG.info(
            "request is quarantined",
            extra={
                **self._call.log_fields(),
                "held": quarantined.names,
                "exits": quarantined.ends,
                "targets": quarantined.targets,
            },
        )
        self._responder.end_quarantined(quarantined, is_under_way=is_under_way)

    # Attempts.

    async def _serve(self) -> None:
        # Every attempt passes this check: the first one, retries, and resumed streams.  Targets
        # may have exited under the same request at other entries, which the limits on the
        # attempts of one request do not cover.
        while not await self._end_if_unavailable():
            is_relayed = self._relay.is_due()
            failure = await self._sequence.run(
                self._relay_once if is_relayed else self._attempt_once
            )
            if failure is None:
                return
            self._record_failure(failure)
            if failure.has_no_target or not await self._may_continue(failure):
                backoff = self._attempts.find_backoff_seconds(self._call)
                self._responder.end_failed(failure, max(backoff, failure.return_seconds))
                return

    async def _end_if_unavailable(self) -> bool:
        """End the request if it may not be sent now; return whether it ended."""
        await self._quarantine.wait_until_confirmed()
        return self._end_if_quarantined() or await self._target_wait.end_if_unavailable(
            self._results.value
        )

    def _record_failure(self, failure: FailedAttempt) -> None:
        self._history.record_failure(
            may_have_run=failure.may_have_run, is_throttled=failure.is_throttled
        )
        if failure.needs_inputs:
            self._results.release()

    async def _attempt_once(self, turn: AttemptTurn) -> FailedAttempt | None:
        """Send the request to one target; return None once the response is complete."""
        if (elsewhere := self._find_other_service()) is not None:
            self._log_failure(elsewhere)
            return elsewhere
        if self._results.value is None:
            is_begun = self._response.has_started() or self._call.origin is not None
            self._results.value = await self._stages.run(self._call, is_begun=is_begun)
            self._times.record_staged()
        chosen = await self._target_wait.find_target(self._results.value)
        if isinstance(chosen, NoTarget):
            no_target = make_no_target_failure(chosen)
            self._log_failure(no_target)
            return no_target
        if (denied := self._find_denial(turn)) is not None:
            self._attempts.finish_unopened(chosen, "neutral")
            return denied
        if self._history.attempt_count == 0:
            self._attempts.count_first(self._call)
        return await TargetAttempt(self._parts, chosen, turn).run()

    def _find_other_service(self) -> FailedAttempt | None:
        """Return why a stream can't go on here that another entry began at another service."""
        origin = self._history.origin
        if origin is None or origin.service == self._call.service.name:
            return None
        detail = "the stream began at a service to which the route does not lead here"
        return FailedAttempt(detail=detail, may_have_run=False, was_sent=False, has_no_target=True)

    async def _relay_once(self, turn: AttemptTurn) -> FailedAttempt | None:
        """Have another entry serve the request; return None once the response is complete."""
        if not turn.is_replacement:
            self._results.release()
        elif (denied := self._find_denial(turn)) is not None:
            return denied
        turn.on_given_up = partial(self._record_lost_relay, "the other entry fell silent")
        turn.on_withdrawn = partial(self._record_lost_relay, "the silent target goes on")
        try:
            failed = await self._relay.run(turn)
        finally:
            if not turn.is_given_up:
                self._history.record_end()
        if failed is None:
            return None
        failure = make_relay_failure(failed)
        self._log_failure(failure)
        if self._response.has_started() and self._history.origin is None:
            # The other entry chose the target, and did not tell where the stream began.
            call = self._call
            self._history.origin = await self._origins.resolve(
                call.first_attempt, call.route, call.request.request_id
            )
            if self._history.origin is None:
                return replace(failure, has_no_target=True)
        return failure

    # Attempts beside a silent one.

    def _may_replace(self) -> bool:
        """Return whether another attempt may be prepared beside a silent one."""
        if self._stopped_by is not None:
            return False
        has_started = self._response.has_started()
        return self._history.may_retry(has_started=has_started) or self._relay.is_useful()

    async def _replace_once(self, turn: AttemptTurn) -> FailedAttempt | None:
        """Have another target or entry take the place of a silent one."""
        failure = await self._prepare_replacement(turn)
        if failure is not None and not turn.has_replaced:
            fields = {**self._call.log_fields(), "reason": failure.detail}
            _LOG.info("silent attempt not replaced", extra=fields)
        return failure

    async def _prepare_replacement(self, turn: AttemptTurn) -> FailedAttempt | None:
        if not self._attempts.may_spend_retry(self._call, self._count_entries()):
            return _make_denial("the retry budget is exhausted")
        await self._quarantine.wait_until_confirmed()
        backoff = self._attempts.find_backoff_seconds(self._call)
        if self._quarantine.is_quarantined() or backoff > 0:
            return _make_denial("no target may get it now")
        may_follow = await self._relay.may_follow(may_have_run=True)
        if may_follow and self._relay.is_due():
            return await self._relay_once(turn)
        if not self._history.may_retry(has_started=self._response.has_started()):
            return _make_denial("the targets that it may run at are used up")
        try:
            return await self._attempt_once(turn)
        except StageError as error:
            return _make_denial(str(error))

    def _find_denial(self, turn: AttemptTurn) -> FailedAttempt | None:
        """Charge the retry budget for a replacement; return why the request is not sent again."""
        if not turn.is_replacement:
            return None
        if not turn.take():
            return _make_denial("the silent target goes on")
        return None if self._spend_retry() else _make_denial("the retry budget is exhausted")

    def _record_lost_relay(self, detail: str) -> None:
        """Record that another entry is given up, for a third one or for a target."""
        failure = FailedAttempt(detail=detail, may_have_run=True)
        self._log_failure(failure)
        self._history.record_end()
        self._record_failure(failure)

    async def _may_continue(self, failure: FailedAttempt) -> bool:
        """Return whether the request may be passed on or retried after a failed attempt."""
        may_have_run = self._history.may_have_run
        if failure.response is None and await self._relay.may_follow(may_have_run=may_have_run):
            return not may_have_run or self._spend_retry()
        has_started = self._response.has_started()
        if not self._history.may_retry(has_started=has_started):
            return False
        return not failure.was_sent or self._spend_retry()

    def _spend_retry(self) -> bool:
        return self._attempts.try_spend_retry(self._call, self._count_entries())

    # The log.

    def _log_failure(self, failure: FailedAttempt) -> None:
        fields = {"target": "", "reason": failure.detail, "may_have_run": failure.may_have_run}
        _LOG.info("attempt failed", extra={**self._call.log_fields(), **fields})

    def _log_outcome(self) -> None:
        call = self._call
        late_seconds = call.arrived_at + self._times.seconds_to_answer() - call.objective_at
        if self.outcome == "answered" and late_seconds > 0:
            self._late_requests.record_served(call.route.name, call.log_fields(), late_seconds)
        _LOG.info(
            "ended",
            extra={
                **call.log_fields(),
                "outcome": self.outcome,
                "reason": self._response.detail,
                "seconds": round(self._times.age(), 3),
                "aim_seconds": call.route.aim_seconds,
                "pause_aim_seconds": call.route.pause_seconds,
                **self._times.log_fields(),
                "offers": self._history.attempt_count,
                "last_event": self._history.last_event,
            },
        )


def _make_denial(detail: str) -> FailedAttempt:
    """Return the outcome of an attempt that was not made beside a silent one."""
    return FailedAttempt(detail=detail, may_have_run=False, was_sent=False)


def _make_quarantine(quarantine: Quarantine, call: Call, attempts: Attempts) -> RequestQuarantine:
    """Return what the quarantine says about a request."""
    return RequestQuarantine(
        quarantine,
        causes=RequestCauses(
            request=call.fingerprint, shared=call.shared_causes, model=call.request.model
        ),
        service=call.service.name,
        stage_causes=RequestCauses(request=call.fingerprint, shared=call.stage_causes),
        stages=[stage.service for stage in call.route.stages],
        list_versions=lambda: attempts.list_versions(call),
    )
