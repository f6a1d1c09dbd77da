"""Dialects: the HTTP interfaces that callers, targets and operators use.

A dialect only translates between HTTP and the types of this package.
`damsonlane` is the native one; a module adds another by registering it with the
decorator `dialect`.
"""

from damsonlaned.dialects._header_dialect import HeaderDialect
from damsonlaned.dialects._interface import DIALECTS, Dialect, dialect
from damsonlaned.dialects._names import HeaderNames, PathNames
from damsonlaned.dialects._native import NativeDialect
from damsonlaned.dialects._types import (
    PROMISE_STATUSES,
    Attempt,
    BadRequestError,
    CallerRequest,
    ComputedPiece,
    ControlCall,
    Deregistration,
    Evacuate,
    Heartbeat,
    PrefixSegment,
    PutDocument,
    ReadDocument,
    Refusal,
    ResponseSignals,
    Restore,
    ResultCountError,
)

__all__ = [
    "DIALECTS",
    "ResponseSignals",
    "Attempt",
    "BadRequestError",
    "CallerRequest",
    "ControlCall",
    "Deregistration",
    "Dialect",
    "Evacuate",
    "HeaderDialect",
    "HeaderNames",
    "Heartbeat",
    "ComputedPiece",
    "NativeDialect",
    "PROMISE_STATUSES",
    "PathNames",
    "PrefixSegment",
    "PutDocument",
    "ReadDocument",
    "Refusal",
    "Restore",
    "ResultCountError",
    "dialect",
]
