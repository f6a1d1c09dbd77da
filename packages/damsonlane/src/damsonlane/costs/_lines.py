"""Cost lines: one for each attempt at a stage."""

from dataclasses import dataclass
from typing import Literal

from damsonlane.burn import EndingCount

#: How an attempt ended, as the bill shows it.
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
    #: Back end that worked.
    target: str
    #: Request that caused the attempt.
    request: str
    #: Number of the attempt within the request, from 1.
    attempt: int
    #: How it ended.
    outcome: AttemptOutcome
    #: Seconds that the back end was kept busy, as seen by the entry.
    seconds: float
    #: Tokens generated, for engines.
    tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class RecordCosts:
    """A batch of cost lines, billed once however often it is sent."""

    kind: Literal["record-costs"] = "record-costs"
    #: Entry that sends, with its incarnation.
    sender: str
    #: Number of the batch at that sender, from 1 without gaps.
    batch: int
    #: The lines.
    lines: tuple[CostLine, ...]
    #: Endings counted since the batch before, in fine buckets.
    endings: tuple[EndingCount, ...] = ()


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
    #: How the attempts ended.
    outcome: AttemptOutcome
    #: Number of attempts.
    attempts: int
    #: Busy seconds.
    seconds: float
    #: Tokens generated.
    tokens: int


@dataclass(frozen=True, kw_only=True)
class SenderProgress:
    """How far the batches of one sender are recorded."""

    #: Entry with its incarnation.
    sender: str
    #: Highest batch recorded.
    batch: int
