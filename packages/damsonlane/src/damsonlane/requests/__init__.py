"""Requests: the state machine of one request from arrival to outcome."""

from typing import TYPE_CHECKING

from damsonlane.deferred import import_at_use

if TYPE_CHECKING:
    from damsonlane.requests._budget import RetryBudget, WindowedRetryBudget
    from damsonlane.requests._effects import CommitToLedger, Effect, End, Send, Wait
    from damsonlane.requests._encoding import decode_answer, encode_answer
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
        ResolvedStage,
        StageReport,
        StoredAnswer,
    )
    from damsonlane.requests._state_machine import RequestStateMachine
else:
    __getattr__ = import_at_use(
        __name__,
        {
            "_budget": (
                "RetryBudget",
                "WindowedRetryBudget",
            ),
            "_effects": (
                "CommitToLedger",
                "Effect",
                "End",
                "Send",
                "Wait",
            ),
            "_encoding": (
                "decode_answer",
                "encode_answer",
            ),
            "_models": (
                "Answer",
                "AttemptKey",
                "AttemptResult",
                "BilledOutcome",
                "ExecutionState",
                "Outcome",
                "Refusal",
                "RefusalReason",
                "Request",
                "ResolvedStage",
                "StageReport",
                "StoredAnswer",
            ),
            "_state_machine": ("RequestStateMachine",),
        },
    )

__all__ = [
    "Answer",
    "CommitToLedger",
    "AttemptKey",
    "AttemptResult",
    "BilledOutcome",
    "Effect",
    "End",
    "Outcome",
    "RefusalReason",
    "Refusal",
    "StoredAnswer",
    "Request",
    "RequestStateMachine",
    "RetryBudget",
    "ExecutionState",
    "Send",
    "ResolvedStage",
    "StageReport",
    "Wait",
    "decode_answer",
    "encode_answer",
    "WindowedRetryBudget",
]
