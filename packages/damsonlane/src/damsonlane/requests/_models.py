"""What a request is, and how it may end."""

from dataclasses import dataclass
from typing import Literal

from damsonlane.costs import CostLine
from damsonlane.ledger import JobKey

#: Whether anything of a refused request ran: surely not, or nobody can tell.
Run = Literal["no", "unknown"]

#: Why a request was refused.
Reason = Literal[
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
class StagePlan:
    """One stage with the settings in force for it."""

    #: Name of the stage.
    name: str
    #: Service that runs it.
    service: str
    #: Most attempts, the first included.
    attempts: int
    #: Name of the routing policy.
    routing: str
    #: Retries allowed as a share of first attempts.
    retry_share: float = 0.1


@dataclass(frozen=True, kw_only=True)
class Request:
    """One request of a caller, checked and ready to run."""

    #: Identity, unique for ever.
    request: str
    #: Organisation of the caller.
    organisation: str
    #: Its pipeline.
    pipeline: str
    #: What is to be worked on.
    text: str
    #: When it must be answered, on the entry's monotonic clock, in seconds.
    due_at: float
    #: The stages in order.
    stages: tuple[StagePlan, ...]
    #: Name of the job when it must run at most once, else None.
    job: JobKey | None = None
    #: SHA-256 digest of pipeline and body, for marked requests.
    digest: str = ""
    #: Whether the caller says that the key was never sent before.
    is_first_send: bool = False


@dataclass(frozen=True, kw_only=True)
class StageReport:
    """How a stage went."""

    #: Name of the stage.
    name: str
    #: Target that answered.
    target: str
    #: Attempts made.
    attempts: int
    #: Seconds from the first attempt to the answer.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Answer:
    """The whole answer."""

    kind: Literal["answer"] = "answer"
    #: Request that is answered.
    request: str
    #: Output of the last stage.
    output: str
    #: How each stage went.
    stages: tuple[StageReport, ...]
    #: Seconds left to the deadline.
    remaining: float


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """An honest refusal."""

    kind: Literal["refusal"] = "refusal"
    #: Request that is refused.
    request: str
    #: Why.
    reason: Reason
    #: What a reader should know.
    detail: str
    #: Whether anything ran.
    run: Run
    #: Seconds after which it makes sense to come back; 0 when it makes none.
    retry_after: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Repeat:
    """The answer kept from an earlier handling of the same job."""

    kind: Literal["repeat"] = "repeat"
    #: The kept answer, as it was encoded then.
    answer: str


Ending = Answer | Refusal | Repeat


@dataclass(frozen=True, kw_only=True)
class AttemptKey:
    """Names one attempt; an answer that names another is never used."""

    #: The request.
    request: str
    #: Organisation that owns it.
    organisation: str
    #: Name of the stage.
    stage: str
    #: Number of the attempt within the request, from 1.
    number: int


@dataclass(frozen=True, kw_only=True)
class AttemptResult:
    """What came of one attempt at a target."""

    #: Attempt that the target says it answers; None when it said nothing.
    answers: AttemptKey | None
    #: How it went: answered whole; refused without running; failed, and may
    #: have run; or never sent.
    outcome: Literal["answered", "refused", "failed", "unsent"]
    #: Output of the stage, when answered.
    output: str = ""
    #: Tokens generated.
    tokens: int = 0
    #: Whether the target said that it is leaving.
    is_leaving: bool = False
    #: Whether a part of the output has reached the caller already.
    is_delivered: bool = False
    #: What went wrong, in a few words without any content.
    fault: str = ""
    #: Seconds for which no target of the stage takes requests; 0 where one may.
    retry_after: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Billed:
    """An ending together with what it cost."""

    #: The ending.
    ending: Ending
    #: One line for each attempt.
    costs: tuple[CostLine, ...]
