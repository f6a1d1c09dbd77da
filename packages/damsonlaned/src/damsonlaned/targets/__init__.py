"""Protocols of targets, registered by the kind of service that settings name."""

from damsonlaned.targets._calls import KINDS, TargetCall, TargetKind, TargetReply, target_kind
from damsonlaned.targets._connections import Connections, TargetNotice
from damsonlaned.targets._engines import Engine
from damsonlaned.targets._pools import Plain, Pool

__all__ = [
    "KINDS",
    "Connections",
    "Engine",
    "Plain",
    "Pool",
    "TargetCall",
    "TargetKind",
    "TargetNotice",
    "TargetReply",
    "target_kind",
]
