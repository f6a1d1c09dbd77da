"""Dialects: how callers, targets and operators speak HTTP to damsonlane.

A dialect only translates.  `damsonlane` is the product's own; another one is
added by a module that registers it with `dialect`.
"""

from damsonlaned.dialects._header_dialect import HeaderDialect
from damsonlaned.dialects._interface import DIALECTS, Dialect, dialect
from damsonlaned.dialects._names import HeaderNames, PathNames
from damsonlaned.dialects._native import NativeDialect
from damsonlaned.dialects._types import (
    Attempt,
    BadRequestError,
    CallerRequest,
    ComputedPiece,
    ControlCall,
    Deregistration,
    Evacuate,
    Heartbeat,
    PrefixPart,
    PutDocument,
    ReadDocument,
    Refusal,
    ResponseSignals,
    Restore,
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
    "PathNames",
    "PrefixPart",
    "PutDocument",
    "ReadDocument",
    "Refusal",
    "Restore",
    "dialect",
]
