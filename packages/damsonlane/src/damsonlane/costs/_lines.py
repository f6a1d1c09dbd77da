"""Cost lines: one for each attempt at a stage."""

from typing import Literal

from damsonlane.burn import CompletionCount
from damsonlane.records import dataclass

#: Outcome of an attempt, as shown on bills.
AttemptOutcome = Literal["answered", "failed", "cancelled"]


@dataclass(frozen=True, kw_only=True)
class CostLine:
    """What one attempt cost."""

    #: Organisation that pays.
    organisation: str
    #: Its pipeline.
    pipeline: str
    #: Stage of the pipeline.
    stage: str
    #: Target of the attempt.
    target: str
    #: Request that caused the attempt.
    request: str
    #: Number of the attempt within the request, from 1.
    attempt: int
    #: Outcome of the attempt.
    outcome: AttemptOutcome
    #: Seconds for which the target was busy, as measured by the entry.
    seconds: float
    #: Tokens generated; 0 for targets that are not engines.
    tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class RecordCosts:
    """Command: record a batch of cost lines, which is billed once even if sent several times."""

    kind: Literal["record-costs"] = "record-costs"
    #: Entry that sends, with its incarnation.
    sender: str
    #: Sequence number of the batch at that sender, from 1 without gaps.
    batch: int
    #: The lines.
    lines: tuple[CostLine, ...]
    #: Completed requests since the previous batch, in fine buckets.
    endings: tuple[CompletionCount, ...] = ()


@dataclass(frozen=True, kw_only=True)
class CostsRecorded:
    """The reply to a batch."""

    kind: Literal["costs-recorded"] = "costs-recorded"
    #: Highest batch recorded for the sender.
    batch: int


@dataclass(frozen=True, kw_only=True)
class CostTotal:
    """The sum of many lines."""

    #: Organisation that pays.
    organisation: str
    #: Its pipeline.
    pipeline: str
    #: Stage of the pipeline.
    stage: str
    #: Outcome of the attempts.
    outcome: AttemptOutcome
    #: Number of attempts.
    attempts: int
    #: Seconds for which targets were busy.
    seconds: float
    #: Tokens generated.
    tokens: int


@dataclass(frozen=True, kw_only=True)
class SenderProgress:
    """The last recorded batch of one sender."""

    #: Entry with its incarnation.
    sender: str
    #: Highest batch recorded.
    batch: int
