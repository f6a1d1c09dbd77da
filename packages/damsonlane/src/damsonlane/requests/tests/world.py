"""Requests, targets and a ledger in memory, with a record of what ran."""

from collections import Counter
from dataclasses import dataclass, field, replace
from enum import Enum

from damsonlane.ledger import (
    ClaimJob,
    DropJob,
    JobCommand,
    JobKey,
    JobReply,
    Ledger,
)
from damsonlane.requests import (
    Answer,
    AttemptResult,
    CommitToLedger,
    Effect,
    End,
    Outcome,
    Refusal,
    Request,
    RequestStateMachine,
    ResolvedStage,
    RetryBudget,
    Send,
    StoredAnswer,
    Wait,
    decode_answer,
)

STAGES = ("encode", "confirm")
DEADLINE = 3.0


class Fault(Enum):
    """Faults that can be injected, to show that the state machine test finds them."""

    NONE = "none"
    RETRY_STARTED = "a started call is sent again"
    ANSWER_BY_POSITION = "an answer is taken without looking whose it is"
    NOT_RUN_TOO_EARLY = "'not run' is said before the ledger says so"
    SEND_UNCONFIRMED = "a job is sent although its start is not confirmed"
    TAKE_OVER_STARTED = "a started job is taken over as if it were only claimed"
    FORGET_ANSWER = "a finished job is claimed anew"


class _RetriesStarted(RequestStateMachine):
    @property
    def is_at_most_once(self) -> bool:
        return super().is_at_most_once and not self._is_started


class _TakesAnyAnswer(RequestStateMachine):
    def take_result(self, now: float, target: str, result: AttemptResult) -> Effect:
        return super().take_result(now, target, replace(result, answers=self._key()))


class _SaysNotRunEarly(RequestStateMachine):
    def _take_drop_reply(self, reply: JobReply | None) -> Effect:
        assert self._pending_refusal is not None
        return self._end(self._pending_refusal)

    def _unconfirmed_run(self) -> str:  # type: ignore[override]
        return "no"


class _SendsUnconfirmed(RequestStateMachine):
    def take_reply(self, now: float, reply: JobReply | None) -> Effect:
        if reply is None and self._pending_refusal is None and not self._is_started:
            self._is_started = True
            return self._send(now)
        return super().take_reply(now, reply)


class _LedgerThatDropsStarted(Ledger):
    def drop(self, command: DropJob) -> JobReply:
        return super().drop(replace(command, is_unsent=True))


class _RunThatTakesOver(RequestStateMachine):
    def _await_holder(self, now: float, reply: JobReply) -> Effect:
        return super()._await_holder(now, replace(reply, phase="claimed"))


class _LedgerThatForgets(Ledger):
    def claim(self, command: ClaimJob) -> JobReply:
        job = self._jobs.get(command.name)
        if job is not None and job.phase == "finished":
            del self._jobs[command.name]
        return super().claim(command)


_RUNS: dict[Fault, type[RequestStateMachine]] = {
    Fault.RETRY_STARTED: _RetriesStarted,
    Fault.ANSWER_BY_POSITION: _TakesAnyAnswer,
    Fault.NOT_RUN_TOO_EARLY: _SaysNotRunEarly,
    Fault.SEND_UNCONFIRMED: _SendsUnconfirmed,
    Fault.TAKE_OVER_STARTED: _RunThatTakesOver,
}
_LEDGERS: dict[Fault, type[Ledger]] = {
    Fault.TAKE_OVER_STARTED: _LedgerThatDropsStarted,
    Fault.FORGET_ANSWER: _LedgerThatForgets,
}


@dataclass
class Handling:
    """One handling of a request through one entry."""

    number: int
    request: Request
    run: RequestStateMachine
    effect: Effect
    outcome: Outcome | None = None


@dataclass(frozen=True)
class Ran:
    """One execution at a target."""

    handling: int
    digest: str
    key: str
    stage: str


@dataclass
class World:
    """State shared by all handlings."""

    fault: Fault
    now: float = 100.0
    begun: int = 0
    handlings: list[Handling] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    doubtful: list[JobCommand] = field(default_factory=list)
    outputs: dict[str, str] = field(default_factory=dict)
    keys_seen: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.ledger = _LEDGERS.get(self.fault, Ledger)()
        self.budget = RetryBudget()

    def begin(self, organisation: str, key: str, text: str) -> None:
        """Send a request; with an empty key it may run more than once."""
        number = self.begun
        self.begun += 1
        full_key = f"{organisation}/{key}"
        request = Request(
            request=f"request-{number}",
            organisation=organisation,
            pipeline="p",
            text=text,
            deadline_at=self.now + DEADLINE,
            stages=tuple(
                ResolvedStage(name=stage, service=stage, attempts=3, routing="random")
                for stage in STAGES
            ),
            job=JobKey(organisation=organisation, key=key) if key else None,
            digest=text,
            is_first_send=full_key not in self.keys_seen,
        )
        self.keys_seen.add(full_key)
        run_class = _RUNS.get(self.fault, RequestStateMachine)
        run = run_class(request, token=f"token-{number}", wall_clock=self.now, budget=self.budget)
        self.handlings.append(Handling(number, request, run, run.begin(self.now)))
        self._record_outcome(self.handlings[-1])

    def open_handlings(self) -> list[Handling]:
        """Return the handlings that have not ended."""
        return [handling for handling in self.handlings if handling.outcome is None]

    def answer_ledger(self, handling: Handling, how: str) -> None:
        """Answer a handling that asks the ledger."""
        effect = handling.effect
        assert isinstance(effect, CommitToLedger)
        reply = None
        if how in ("commit", "commit-and-lose"):
            reply = self.commit(effect.command)
        elif how == "doubt":
            self.doubtful.append(effect.command)
        received = reply if how == "commit" else None
        if received is None:
            # Without a reply, an entry waits until its timeout.
            self.now += min(effect.seconds, 0.5)
        handling.effect = handling.run.take_reply(self.now, received)
        self._record_outcome(handling)

    def commit(self, command: JobCommand) -> JobReply:
        """Apply a command to the ledger."""
        reply = self.ledger.apply(command)
        if reply.verdict != "busy":
            return reply
        # Membership may report any holder as gone, correctly or not.
        return replace(reply, is_holder_gone=len(self.ran) % 2 == 0)

    def answer_target(self, handling: Handling, how: str) -> None:
        """Answer a handling that waits for a target."""
        effect = handling.effect
        assert isinstance(effect, Send)
        if how not in ("refused", "leaving", "unsent", "lost-before"):
            self._run(handling, effect)
        result = self._make_result(effect, how)
        target = "" if how == "unsent" else "target"
        handling.effect = handling.run.take_result(self.now, target, result)
        self._record_outcome(handling)

    def resume(self, handling: Handling) -> None:
        """Resume a waiting handling."""
        assert isinstance(handling.effect, Wait)
        self.now += handling.effect.seconds
        handling.effect = handling.run.resume(self.now)
        self._record_outcome(handling)

    def _make_result(self, effect: Send, how: str) -> AttemptResult:
        output = make_output(effect.stage.name, effect.text)
        match how:
            case "answered":
                return AttemptResult(answers=effect.key, outcome="answered", output=output)
            case "crossed":
                other = replace(effect.key, request="another")
                return AttemptResult(answers=other, outcome="answered", output="someone else's")
            case "late":
                earlier = replace(effect.key, number=effect.key.number - 1)
                return AttemptResult(answers=earlier, outcome="answered", output="an older one")
            case "refused" | "leaving":
                return AttemptResult(
                    answers=None, outcome="refused", is_leaving=how == "leaving", fault="no"
                )
            case "unsent":
                return AttemptResult(answers=None, outcome="unsent", fault="not reached")
            case _:
                return AttemptResult(answers=None, outcome="failed", fault="broke off")

    def _run(self, handling: Handling, effect: Send) -> None:
        job = handling.request.job
        key = f"{job.organisation}/{job.key}" if job else ""
        self.ran.append(Ran(handling.number, handling.request.digest, key, effect.stage.name))
        if not key:
            return
        runs = Counter((ran.key, ran.stage) for ran in self.ran)
        assert runs[(key, effect.stage.name)] <= 1, f"{key} ran twice at {effect.stage.name}"
        assert not self._was_refused_as_not_run(handling), "a handling ran after it said 'not run'"

    def _was_refused_as_not_run(self, handling: Handling) -> bool:
        return isinstance(handling.outcome, Refusal) and handling.outcome.run == "no"

    def _record_outcome(self, handling: Handling) -> None:
        if not isinstance(handling.effect, End):
            return
        outcome = handling.effect.billed.outcome
        handling.outcome = outcome
        if isinstance(outcome, Refusal):
            if outcome.run == "no":
                self._check_not_run(handling)
        else:
            self._check_answer(handling, outcome)

    def _check_not_run(self, handling: Handling) -> None:
        """'Not run' covers this attempt of the caller and all earlier ones of the same request."""
        request = handling.request
        key = f"{request.organisation}/{request.job.key}" if request.job else ""
        for ran in self.ran:
            is_same_job = ran.key == key and ran.digest == request.digest if key else False
            is_covered = ran.handling == handling.number or (
                is_same_job and ran.handling < handling.number
            )
            assert not is_covered, f"'not run' is false: {ran}"

    def _check_answer(self, handling: Handling, outcome: Answer | StoredAnswer) -> None:
        answer = decode_answer(outcome.answer) if isinstance(outcome, StoredAnswer) else outcome
        expected = handling.request.text
        for stage in STAGES:
            expected = make_output(stage, expected)
        assert answer.output == expected, f"{answer.output!r} is not the answer to its request"
        if handling.request.job is not None:
            key = f"{handling.request.organisation}/{handling.request.job.key}"
            first = self.outputs.setdefault(key, answer.request)
            assert first == answer.request, f"{key} got answers of two runs"


def make_output(stage: str, text: str) -> str:
    """Return the output of a target for a text."""
    return f"{stage}({text})"
