"""Effects that the state machine of a request has the entry carry out."""

from typing import Literal

from damsonlane.ledger import JobCommand
from damsonlane.records import dataclass
from damsonlane.requests._models import AttemptKey, BilledOutcome, ResolvedStage


@dataclass(frozen=True, kw_only=True)
class Send:
    """Send one attempt to a target, then call `RequestStateMachine.take_result`."""

    kind: Literal["send"] = "send"
    #: Identity of the attempt.
    key: AttemptKey
    #: The stage, with the service to choose a target from.
    stage: ResolvedStage
    #: Input of the stage.
    text: str
    #: Targets at which this stage failed already.
    avoid: tuple[str, ...]
    #: Time limit of the attempt, in seconds.
    seconds: float
    #: Whether it is the last stage, whose output may be streamed to the caller.
    is_last: bool


@dataclass(frozen=True, kw_only=True)
class CommitToLedger:
    """Have the ledger commit a command, then call `RequestStateMachine.take_reply`."""

    kind: Literal["ask-ledger"] = "ask-ledger"
    #: The command.
    command: JobCommand
    #: Timeout, in seconds.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Wait, then call `RequestStateMachine.resume`."""

    kind: Literal["wait"] = "wait"
    #: Seconds to wait.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class End:
    """The request is complete."""

    kind: Literal["end"] = "end"
    #: The outcome and its cost.
    billed: BilledOutcome


Effect = Send | CommitToLedger | Wait | End
