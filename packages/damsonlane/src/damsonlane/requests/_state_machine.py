"""The state machine of one request, from arrival through its stages to its outcome."""

from collections.abc import Mapping
from typing import Final

from damsonlane.costs import AttemptOutcome, CostLine
from damsonlane.ledger import ClaimJob, DropJob, FinishJob, JobReply, StartJob
from damsonlane.requests._budget import RetryBudget
from damsonlane.requests._effects import CommitToLedger, Effect, End, Send, Wait
from damsonlane.requests._encoding import encode_answer
from damsonlane.requests._models import (
    Answer,
    AttemptKey,
    AttemptResult,
    BilledOutcome,
    ExecutionState,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
    StageReport,
    StoredAnswer,
)

#: First wait before claiming a job again that another handling holds, in seconds.
FIRST_BUSY_WAIT: Final = 0.05
#: Growth factor of further waits; every claim costs a commit of control.
BUSY_WAIT_GROWTH: Final = 1.5
#: Longest of these waits, in seconds.
MAX_BUSY_WAIT: Final = 0.5
#: Seconds after which another handling takes over a claim that was not started.
CLAIM_TIMEOUT: Final = 0.5
#: Seconds before the deadline that are reserved for sending the answer to the caller.
ANSWER_RESERVE: Final = 0.02
#: Least remaining time for an attempt, in seconds.
MIN_ATTEMPT_SECONDS: Final = 0.005
#: Seconds after which a refused caller may retry if no estimate exists.
DEFAULT_RETRY_AFTER: Final = 1.0

#: Reason of a refusal by the outcome of the last attempt.
_REASONS: Final[Mapping[str, RefusalReason]] = {
    "answered": "target-failed",
    "failed": "target-failed",
    "refused": "overloaded",
    "unsent": "no-target",
}


class RequestStateMachine:
    """State machine of one request; each method returns the next effect to carry out.

    Args:
        request: the request.
        token: token of this handling in the ledger; never reused.
        wall_clock: Unix time at the start, in seconds, for the horizon of the ledger.
        budget: retry budget of this entry, shared by its requests.
    """

    def __init__(
        self, request: Request, *, token: str, wall_clock: float, budget: RetryBudget
    ) -> None:
        self._request: Final = request
        self._token: Final = token
        self._wall_clock: Final = wall_clock
        self._budget: Final = budget
        self._stage = 0
        self._text = request.text
        self._attempts = 0
        self._stage_attempts = 0
        self._stage_began = 0.0
        self._sent_at = 0.0
        self._avoid: tuple[str, ...] = ()
        self._reports: list[StageReport] = []
        self._costs: list[CostLine] = []
        self._is_started = False
        self._may_have_run = False
        self._busy_since: float | None = None
        self._busy_token = ""
        self._busy_wait = FIRST_BUSY_WAIT
        self._pending_refusal: Refusal | None = None
        self._answer: Answer | None = None

    @property
    def is_at_most_once(self) -> bool:
        """Whether the request must run at most once."""
        return self._request.job is not None

    def begin(self, now: float) -> Effect:
        """Claim the job if the request has one, or send the first stage."""
        if self._request.deadline_at <= now:
            return self._refuse("deadline-passed", "the deadline had passed on arrival")
        if self.is_at_most_once:
            return self._claim(now)
        return self._send(now)

    def take_reply(self, now: float, reply: JobReply | None) -> Effect:
        """Process the reply of the ledger; None if there was none in time."""
        if self._pending_refusal is not None:
            return self._take_drop_reply(reply)
        if self._is_started:
            return self._take_finish_reply()
        if reply is None:
            return self._refuse_unconfirmed(now)
        if reply.verdict == "done" and reply.phase == "claimed":
            return self._take_claim(now, reply)
        if reply.verdict == "done" and reply.phase == "started":
            self._is_started = True
            return self._send(now)
        return self._take_conflict(now, reply)

    def resume(self, now: float) -> Effect:
        """Continue after a wait: claim the job again that another handling held."""
        return self._claim(now)

    def take_result(self, now: float, target: str, result: AttemptResult) -> Effect:
        """Process the result of the last `Send`."""
        outcome = result.outcome
        if outcome == "answered" and result.answers != self._key():
            # An answer to another attempt does not show the outcome of this one.
            outcome = "failed"
        self._record_cost(now, target, result, outcome == "answered")
        if outcome in ("answered", "failed"):
            self._may_have_run = True
        if outcome == "answered":
            return self._complete_stage(now, target, result.output)
        return self._recover(now, target, result)

    def abandon(self, now: float) -> Effect:
        """Refuse the request, which cannot meet its deadline, instead of carrying out a `Send`."""
        return self._fail(now, "deadline", "the remaining stages can't end in time")

    def refuse_quarantined(self, now: float, detail: str) -> Effect:
        """Refuse the request instead of carrying out a `Send`.

        It is quarantined, since it would make targets exit.
        """
        return self._fail(now, "held", detail)

    # Requests that must run at most once.

    def _claim(self, now: float) -> Effect:
        job = self._request.job
        assert job is not None
        remaining = self._remaining(now)
        if remaining <= 0:
            if self._busy_since is not None:
                return self._refuse("key-busy", "the same job is still running", "unknown")
            return self._refuse("deadline", "the deadline passed", self._unconfirmed_run())
        command = ClaimJob(
            name=job,
            digest=self._request.digest,
            token=self._token,
            at=self._wall_clock,
        )
        return CommitToLedger(command=command, seconds=remaining)

    def _take_claim(self, now: float, reply: JobReply) -> Effect:
        job = self._request.job
        assert job is not None
        if reply.token != self._token:
            return self._claim(now)
        return CommitToLedger(
            command=StartJob(name=job, token=self._token), seconds=self._remaining(now)
        )

    def _take_conflict(self, now: float, reply: JobReply) -> Effect:
        """Process a reply about a job that this handling does not hold."""
        if reply.verdict == "mismatch":
            detail = "the key was used before with another request"
            return self._refuse("key-mismatch", detail, "no")
        if reply.verdict == "too-old":
            return self._refuse("key-too-old", "the key is past its horizon", "unknown")
        if reply.phase == "finished":
            return self._end(StoredAnswer(answer=reply.answer))
        if reply.phase == "dropped":
            return self._claim(now)
        return self._await_holder(now, reply)

    def _await_holder(self, now: float, reply: JobReply) -> Effect:
        if self._busy_since is None or self._busy_token != reply.token:
            self._busy_since = now
            self._busy_token = reply.token
        is_claim_stale = now - self._busy_since >= CLAIM_TIMEOUT
        if reply.phase == "started" and reply.is_holder_gone:
            detail = "the box that ran the job is gone, and how far it came is not known"
            return self._refuse("holder-gone", detail, "unknown")
        is_claim_stale = is_claim_stale or reply.is_holder_gone
        if reply.phase == "claimed" and is_claim_stale and self._remaining(now) > 0:
            # Once the drop is committed, the holder cannot start the job, so taking over is safe.
            job = self._request.job
            assert job is not None
            command = DropJob(name=job, token=reply.token)
            return CommitToLedger(command=command, seconds=self._remaining(now))
        wait = self._busy_wait
        if self._remaining(now) <= wait:
            return self._refuse("key-busy", "the same job is still running", "unknown")
        self._busy_wait = min(MAX_BUSY_WAIT, wait * BUSY_WAIT_GROWTH)
        return Wait(seconds=wait)

    def _refuse_unconfirmed(self, now: float) -> Effect:
        if self._busy_since is not None:
            return self._refuse("key-busy", "the same job is still running", "unknown")
        detail = "control could not confirm the job in time"
        return self._refuse("no-quorum", detail, self._unconfirmed_run())

    def _unconfirmed_run(self) -> ExecutionState:
        """Return whether the job ran if this handling sent nothing and the ledger is unavailable.

        Only the caller knows whether an earlier handling of the key may have run.
        """
        return "no" if self._request.is_first_send or not self.is_at_most_once else "unknown"

    def _take_finish_reply(self) -> Effect:
        """Complete with the answer, whether or not the ledger has stored it."""
        assert self._answer is not None
        return self._end(self._answer)

    def _take_drop_reply(self, reply: JobReply | None) -> Effect:
        """Refuse a started job of which nothing was sent.

        Only if the ledger confirms the drop is it certain that the job did not run.
        """
        pending = self._pending_refusal
        assert pending is not None
        is_dropped = reply is not None and reply.verdict == "done" and reply.phase == "dropped"
        if is_dropped:
            return self._end(pending)
        return self._refuse(pending.reason, pending.detail, "unknown", pending.retry_after)

    # Stages.

    def _send(self, now: float) -> Effect:
        remaining = self._remaining(now)
        if remaining < MIN_ATTEMPT_SECONDS:
            return self._fail(now, "deadline", "the deadline came before the last stage")
        if self._stage_attempts == 0:
            self._stage_began = now
        self._attempts += 1
        self._stage_attempts += 1
        self._sent_at = now
        return Send(
            key=self._key(),
            stage=self._request.stages[self._stage],
            text=self._text,
            avoid=self._avoid,
            seconds=remaining,
            is_last=self._stage == len(self._request.stages) - 1,
        )

    def _key(self) -> AttemptKey:
        return AttemptKey(
            request=self._request.request,
            organisation=self._request.organisation,
            stage=self._request.stages[self._stage].name,
            number=self._attempts,
        )

    def _complete_stage(self, now: float, target: str, output: str) -> Effect:
        stage = self._request.stages[self._stage]
        report = StageReport(
            name=stage.name,
            target=target,
            attempts=self._stage_attempts,
            seconds=round(now - self._stage_began, 6),
        )
        self._reports.append(report)
        self._text = output
        self._stage += 1
        self._stage_attempts = 0
        self._avoid = ()
        if self._stage < len(self._request.stages):
            return self._send(now)
        return self._complete(now, output)

    def _complete(self, now: float, output: str) -> Effect:
        answer = Answer(
            request=self._request.request,
            output=output,
            stages=tuple(self._reports),
            remaining=round(self._request.deadline_at - now, 6),
        )
        job = self._request.job
        if job is None:
            return self._end(answer)
        self._answer = answer
        command = FinishJob(name=job, token=self._token, answer=encode_answer(answer))
        # The answer is complete: store it for retries of the caller, while the caller waits.
        return CommitToLedger(
            command=command, seconds=max(MIN_ATTEMPT_SECONDS, self._remaining(now))
        )

    def _recover(self, now: float, target: str, result: AttemptResult) -> Effect:
        """Retry at another target if that is safe and allowed, else refuse the request."""
        self._avoid = (*self._avoid, target)
        reason: RefusalReason = "leaving" if result.is_leaving else _REASONS[result.outcome]
        detail = f"stage '{self._request.stages[self._stage].name}': {result.fault}"
        if result.is_delivered:
            return self._refuse("not-whole", detail, "unknown")
        if self.is_at_most_once or not self._may_retry(now, target):
            return self._fail(now, reason, detail, result.retry_after)
        return self._send(now)

    def _may_retry(self, now: float, target: str) -> bool:
        has_attempts = self._stage_attempts < self._request.stages[self._stage].attempts
        has_time = self._remaining(now) > MIN_ATTEMPT_SECONDS
        return bool(target) and has_attempts and has_time and self._budget.try_spend()

    def _fail(
        self, now: float, reason: RefusalReason, detail: str, backoff_seconds: float = 0.0
    ) -> Effect:
        """Refuse the request; ``backoff_seconds`` is how long all targets back off."""
        wait = max(DEFAULT_RETRY_AFTER, backoff_seconds)
        if self._may_have_run:
            retry_after = 0.0 if self.is_at_most_once else wait
            return self._refuse(reason, detail, "unknown", retry_after)
        job = self._request.job
        if job is None:
            return self._refuse(reason, detail, "no", wait)
        self._pending_refusal = Refusal(
            request=self._request.request,
            reason=reason,
            detail=detail,
            run="no",
            retry_after=wait,
        )
        command = DropJob(name=job, token=self._token, is_unsent=True)
        return CommitToLedger(
            command=command, seconds=max(MIN_ATTEMPT_SECONDS, self._remaining(now))
        )

    # Outcomes.

    def _remaining(self, now: float) -> float:
        return self._request.deadline_at - now - ANSWER_RESERVE

    def _refuse(
        self,
        reason: RefusalReason,
        detail: str,
        run: ExecutionState = "no",
        retry_after: float = 0.0,
    ) -> Effect:
        refusal = Refusal(
            request=self._request.request,
            reason=reason,
            detail=detail,
            run=run,
            retry_after=retry_after,
        )
        return self._end(refusal)

    def _end(self, outcome: Outcome) -> End:
        return End(billed=BilledOutcome(outcome=outcome, costs=tuple(self._costs)))

    def _record_cost(
        self, now: float, target: str, result: AttemptResult, is_answered: bool
    ) -> None:
        if result.outcome == "unsent" or not target:
            return
        outcome: AttemptOutcome = "answered" if is_answered else "failed"
        line = CostLine(
            organisation=self._request.organisation,
            pipeline=self._request.pipeline,
            stage=self._request.stages[self._stage].name,
            target=target,
            request=self._request.request,
            attempt=self._attempts,
            outcome=outcome,
            seconds=round(now - self._sent_at, 6),
            tokens=result.tokens,
        )
        self._costs.append(line)
