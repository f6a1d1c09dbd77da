"""Wait for a target that accepts a request, or end the request while none does."""

import asyncio
import logging
from typing import Final

from damsonlaned.gateway._attempts import Attempts
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._limited_targets import MIN_PERMIT_INTERVAL_SECONDS, NoTarget
from damsonlaned.gateway._stage_attempt import StageResults
from damsonlaned.gateway._stage_runner import StageRunner
from damsonlaned.gateway._target_selector import ChosenTarget
from damsonlaned.lateness import LateRequests
from damsonlaned.quarantine import RequestQuarantine
from damsonlaned.requests._attempt_history import AttemptHistory
from damsonlaned.requests._failed_attempt import FailedAttempt
from damsonlaned.requests._failure_responder import FailureResponder
from damsonlaned.requests._final_response import FinalResponse
from damsonlaned.requests._stop_limit import StopLimit
from damsonlaned.versions import StreamOrigins

_LOG: Final = logging.getLogger(__name__)

#: Share of the latency objective for which a request waits for room at a target.
BRIEF_WAIT_SHARE: Final = 0.15
#: Seconds after which a request that waits for a connection looks for a target again in any case.
CONNECTION_WAIT_SECONDS: Final = 0.1
#: Seconds after which the caller of a stream should return when no target has its version.
VERSION_RETURN_SECONDS: Final = 1.0


class TargetWait:
    """Finds a target that accepts one request.

    While no target accepts it, the request is refused at once with the time until one will.  A
    request for which work was done already waits instead, if the wait is short enough.

    Args:
        call: the request.
        attempts: chooses targets.
        stages: runs the stages.
        history: attempts of the request so far.
        response: the response to the caller.
        responder: ends the request.
        late_requests: the policy for late requests.
        origins: counts streams that no target can go on with.
        quarantine: finds the versions whose targets may not get the request.
        stop_limit: the end of the entry, if it stops.
    """

    def __init__(
        self,
        call: Call,
        attempts: Attempts,
        stages: StageRunner,
        history: AttemptHistory,
        response: FinalResponse,
        responder: FailureResponder,
        late_requests: LateRequests,
        origins: StreamOrigins,
        quarantine: RequestQuarantine,
        stop_limit: StopLimit,
    ) -> None:
        self._stop_limit: Final = stop_limit
        self._quarantine: Final = quarantine
        self._origins: Final = origins
        self._late_requests: Final = late_requests
        self._call: Final = call
        self._attempts: Final = attempts
        self._stages: Final = stages
        self._history: Final = history
        self._response: Final = response
        self._responder: Final = responder

    async def end_if_unavailable(self, results: StageResults | None) -> bool:
        """End the request if it should not be sent or begun now; return whether it ended.

        Args:
            results: results of its stages; None where they are not computed yet.
        """
        return (
            self._end_if_version_gone()
            or self._end_if_too_long(results)
            or await self._end_if_backed_off(results)
            or await self._end_if_rate_limited(results)
        )

    async def find_target(self, results: StageResults) -> ChosenTarget | NoTarget:
        """Choose a target; wait for one if otherwise work for the request would be lost.

        There is none for a request whose answer can't end before its deadline.
        """
        give_up_at = asyncio.get_running_loop().time() + self._brief_wait_seconds()
        while True:
            if (overrun := self._find_overrun(results)) is not None:
                return NoTarget(detail=overrun)
            chosen = await self._attempts.choose(
                self._call,
                self._history.tried_targets,
                results.input_locations,
                self._history.origin,
                self._quarantine.list_excluded_versions(),
            )
            if not isinstance(chosen, NoTarget) or chosen.wait_seconds <= 0:
                return chosen
            is_brief = chosen.is_brief and asyncio.get_running_loop().time() < give_up_at
            may_wait = is_brief or self._has_progress(results)
            if not may_wait or chosen.wait_seconds >= self._max_wait_seconds():
                return chosen
            if chosen.lacks_connection:
                await self._attempts.wait_for_connection(self._call, CONNECTION_WAIT_SECONDS)
            else:
                await asyncio.sleep(max(MIN_PERMIT_INTERVAL_SECONDS, chosen.wait_seconds))

    def _find_overrun(self, results: StageResults | None) -> str | None:
        """Return why a request can't end before its deadline or its entry; None if it can."""
        if self._response.has_started():
            return None
        call = self._call
        seconds = self._stages.estimate_last_step(call)
        if seconds is None or seconds <= call.remaining():
            return self._find_stop_overrun(results)
        detail = f"its answer would take {seconds:.2f} s, longer than the time to its deadline"
        fields = call.log_fields()
        self._late_requests.record_refused(call.route.name, fields, call.remaining(), detail)
        return detail

    def _end_if_version_gone(self) -> bool:
        """End a stream that no target can go on with; return whether it ended."""
        origin = self._history.origin
        versions = self._attempts.count_versions(self._call) if origin is not None else {}
        if origin is None or versions.get(origin.version):
            return False
        fields = {
            **self._call.log_fields(),
            "first_attempt": origin.attempt,
            "service": origin.service,
            "target_version": origin.version,
            "targets": versions,
        }
        _LOG.warning("no target has the version of the stream", extra=fields)
        self._origins.count("no-target")
        detail = "no target is left of the version that began the stream"
        no_target = NoTarget(detail=detail, return_seconds=VERSION_RETURN_SECONDS)
        self._responder.end_failed(make_no_target_failure(no_target), no_target.return_seconds)
        return True

    def _find_stop_overrun(self, results: StageResults | None) -> str | None:
        """Return why a request can't end before its entry; None if it can or the entry goes on."""
        if not self._stop_limit.has_begun():
            return None
        return self._stop_limit.find_overrun(self._call, self._expected_stage_seconds(results))

    def _end_if_too_long(self, results: StageResults | None) -> bool:
        """End the request if it can't end before its deadline or its entry; return whether."""
        overrun = self._find_overrun(results)
        if overrun is not None:
            self._responder.end_failed(make_no_target_failure(NoTarget(detail=overrun)))
        return overrun is not None

    async def _end_if_backed_off(self, results: StageResults | None) -> bool:
        """End the request if all targets back off for too long; return whether it ended."""
        backoff = self._attempts.find_backoff_seconds(self._call)
        # The duration of the stages is estimated only where it matters, since that is expensive.
        if backoff <= 0 or backoff <= self._expected_stage_seconds(results):
            return False
        if self._has_progress(results) and backoff < self._max_wait_seconds():
            await asyncio.sleep(backoff)
            return False
        self._responder.end_backed_off(backoff)
        return True

    async def _end_if_rate_limited(self, results: StageResults | None) -> bool:
        """End the request before its stages if its targets are at their rate limits.

        Otherwise its stages would be computed in vain.
        """
        is_begun = results is not None or self._response.has_started()
        if is_begun or not self._stages.has_stages(self._call):
            return False
        limited = await self._attempts.check_admission(self._call)
        if limited is None:
            return False
        self._responder.end_failed(make_no_target_failure(limited), limited.return_seconds)
        return True

    def _expected_stage_seconds(self, results: StageResults | None) -> float:
        """Return the expected time until the request is sent, which is that of its stages."""
        return 0.0 if results is not None else self._stages.estimate_seconds(self._call)

    def _brief_wait_seconds(self) -> float:
        """Return for how long a request without progress waits for room at a target."""
        return BRIEF_WAIT_SHARE * self._call.route.aim_seconds

    def _has_progress(self, results: StageResults | None) -> bool:
        """Return whether refusing the request would lose stage results or a begun response."""
        return (results is not None and bool(results.inputs)) or self._response.has_started()

    def _max_wait_seconds(self) -> float:
        """Return for how long the request may wait for a target."""
        if self._response.has_started():
            return self._call.remaining()
        if self._late_requests.are_served:
            return self._call.remaining() - (self._stages.estimate_last_step(self._call) or 0.0)
        return self._call.objective_at - asyncio.get_running_loop().time()


def make_no_target_failure(no_target: NoTarget) -> FailedAttempt:
    """Return the failed attempt of a request for which there is no target."""
    return FailedAttempt(
        detail=no_target.detail,
        may_have_run=False,
        has_no_target=True,
        return_seconds=no_target.return_seconds,
    )
