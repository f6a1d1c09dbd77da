"""Requests, attempts and outcomes."""

from typing import Literal

from damsonlane.costs import CostLine
from damsonlane.ledger import JobKey
from damsonlane.records import dataclass

#: Whether any part of a refused request ran: certainly not, or unknown.
ExecutionState = Literal["no", "unknown"]

#: Why a request was refused.
RefusalReason = Literal[
    "deadline",
    "deadline-passed",
    "overloaded",
    "no-target",
    "target-failed",
    "leaving",
    "no-quorum",
    "key-mismatch",
    "key-too-old",
    "key-busy",
    "holder-gone",
    "not-whole",
    "held",
]


@dataclass(frozen=True, kw_only=True)
class ResolvedStage:
    """One stage with the settings that apply to it."""

    #: Name of the stage.
    name: str
    #: Service that runs it.
    service: str
    #: Maximum number of attempts, including the first.
    attempts: int
    #: Name of the routing policy.
    routing: str
    #: Retries allowed as a share of first attempts.
    retry_share: float = 0.1


@dataclass(frozen=True, kw_only=True)
class Request:
    """One validated request of a caller."""

    #: Identity; never reused.
    request: str
    #: Organisation of the caller.
    organisation: str
    #: Pipeline of the organisation.
    pipeline: str
    #: Input of the first stage.
    text: str
    #: Deadline of the answer, by the monotonic clock of the entry, in seconds.
    deadline_at: float
    #: The stages, in order.
    stages: tuple[ResolvedStage, ...]
    #: Key of the job if the request must run at most once, else None.
    job: JobKey | None = None
    #: SHA-256 digest of pipeline and body, for requests with a job.
    digest: str = ""
    #: Whether the caller states that it never sent the key before.
    is_first_send: bool = False


@dataclass(frozen=True, kw_only=True)
class StageReport:
    """Report on a completed stage."""

    #: Name of the stage.
    name: str
    #: Target that answered.
    target: str
    #: Number of attempts.
    attempts: int
    #: Seconds from the first attempt to the answer.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Answer:
    """A complete answer."""

    kind: Literal["answer"] = "answer"
    #: Request that is answered.
    request: str
    #: Output of the last stage.
    output: str
    #: Reports on the stages, in order.
    stages: tuple[StageReport, ...]
    #: Seconds left to the deadline.
    remaining: float


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A refusal."""

    kind: Literal["refusal"] = "refusal"
    #: Request that is refused.
    request: str
    #: Reason of the refusal.
    reason: RefusalReason
    #: Explanation for people.
    detail: str
    #: Whether any part of the request ran.
    run: ExecutionState
    #: Seconds after which the caller may retry; 0 if it should not.
    retry_after: float = 0.0


@dataclass(frozen=True, kw_only=True)
class StoredAnswer:
    """The answer that the ledger stores from an earlier handling of the same job."""

    kind: Literal["repeat"] = "repeat"
    #: The stored answer, encoded.
    answer: str


Outcome = Answer | Refusal | StoredAnswer


@dataclass(frozen=True, kw_only=True)
class AttemptKey:
    """Identity of one attempt; an answer with another identity is never used."""

    #: The request.
    request: str
    #: Organisation of the request.
    organisation: str
    #: Name of the stage.
    stage: str
    #: Number of the attempt within the request, from 1.
    number: int


@dataclass(frozen=True, kw_only=True)
class AttemptResult:
    """Result of one attempt at a target."""

    #: Attempt that the target states it answers; None if it states none.
    answers: AttemptKey | None
    #: Completely answered; rejected without running; failed, so that it may have run; or never
    #: sent.
    outcome: Literal["answered", "refused", "failed", "unsent"]
    #: Output of the stage, if answered.
    output: str = ""
    #: Number of generated tokens.
    tokens: int = 0
    #: Whether the target announced that it is draining.
    is_leaving: bool = False
    #: Whether a part of the output was already sent to the caller.
    is_delivered: bool = False
    #: Short description of the failure, without content of the request.
    fault: str = ""
    #: Seconds for which all targets of the stage back off; 0 if any may take requests.
    retry_after: float = 0.0


@dataclass(frozen=True, kw_only=True)
class BilledOutcome:
    """An outcome with its cost."""

    #: The outcome.
    outcome: Outcome
    #: One line for each billed attempt.
    costs: tuple[CostLine, ...]
