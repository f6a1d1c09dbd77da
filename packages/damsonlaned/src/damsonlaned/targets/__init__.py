"""Protocols of targets, registered by the kind of service that settings name."""

from damsonlaned.targets._calls import (
    TARGET_PROTOCOLS,
    TargetCall,
    TargetProtocol,
    TargetReply,
    register_protocol,
)
from damsonlaned.targets._connections import Connections, TargetAnnouncement
from damsonlaned.targets._engines import EngineProtocol
from damsonlaned.targets._pools import PlainProtocol, PoolProtocol

__all__ = [
    "TARGET_PROTOCOLS",
    "Connections",
    "EngineProtocol",
    "PlainProtocol",
    "PoolProtocol",
    "TargetCall",
    "TargetProtocol",
    "TargetAnnouncement",
    "TargetReply",
    "register_protocol",
]
