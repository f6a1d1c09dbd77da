"""Requests: the state machine of one request from arrival to outcome."""

from damsonlane.requests._budget import RetryBudget, WindowBudget
from damsonlane.requests._effects import AskLedger, Effect, End, Send, Wait
from damsonlane.requests._encoding import decode_answer, encode_answer
from damsonlane.requests._models import (
    Answer,
    AttemptKey,
    AttemptResult,
    Billed,
    Ending,
    Reason,
    Refusal,
    Repeat,
    Request,
    Run,
    StagePlan,
    StageReport,
)
from damsonlane.requests._state_machine import RequestRun

__all__ = [
    "Answer",
    "AskLedger",
    "AttemptKey",
    "AttemptResult",
    "Billed",
    "Effect",
    "End",
    "Ending",
    "Reason",
    "Refusal",
    "Repeat",
    "Request",
    "RequestRun",
    "RetryBudget",
    "Run",
    "Send",
    "StagePlan",
    "StageReport",
    "Wait",
    "decode_answer",
    "encode_answer",
    "WindowBudget",
]
