"""What a request's run asks of the entry around it."""

from dataclasses import dataclass
from typing import Literal

from damsonlane.ledger import JobCommand
from damsonlane.requests._models import AttemptKey, Billed, StagePlan


@dataclass(frozen=True, kw_only=True)
class Send:
    """Send one attempt to a target, then call `RequestRun.take_result`."""

    kind: Literal["send"] = "send"
    #: Names the attempt.
    key: AttemptKey
    #: The stage, with the service to choose a target from.
    stage: StagePlan
    #: Input of the stage.
    text: str
    #: Targets that failed this stage already.
    avoid: tuple[str, ...]
    #: Seconds that the attempt may take.
    seconds: float
    #: Whether it is the last stage, whose output may be streamed to the caller.
    is_last: bool


@dataclass(frozen=True, kw_only=True)
class AskLedger:
    """Have the ledger commit a command, then call `RequestRun.take_reply`."""

    kind: Literal["ask-ledger"] = "ask-ledger"
    #: The command.
    command: JobCommand
    #: Seconds to wait at the most.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Wait, then call `RequestRun.resume`."""

    kind: Literal["wait"] = "wait"
    #: Seconds to wait.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class End:
    """The request has ended."""

    kind: Literal["end"] = "end"
    #: How, and at what cost.
    billed: Billed


Effect = Send | AskLedger | Wait | End
