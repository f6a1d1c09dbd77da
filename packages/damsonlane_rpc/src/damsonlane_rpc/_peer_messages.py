"""Messages between entries."""

from typing import Final

from damsonlane.records import dataclass
from damsonlane_rpc._messages import WatchUpdate
from damsonlane_rpc._methods import unary_method


@dataclass(frozen=True, kw_only=True)
class DrainingTarget:
    """A target that announced that it is draining."""

    #: Service of the target.
    service: str
    #: Name of the target.
    target: str
    #: Seconds since the announcement.
    age: float


@dataclass(frozen=True, kw_only=True)
class PeerRequest:
    """An entry's request to a peer for newer settings."""

    #: Version of the settings in force at the requesting entry.
    version: int
    #: Targets that the requesting entry knows to be draining.
    leaving: tuple[DrainingTarget, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PeerReply:
    """The peer's reply."""

    #: Newer settings, or None if it has none.
    update: WatchUpdate | None
    #: Targets that the peer knows to be draining.
    leaving: tuple[DrainingTarget, ...] = ()


COMPARE: Final = unary_method("/damsonlane.Peer/Compare", PeerRequest, PeerReply)
