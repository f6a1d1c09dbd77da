"""Messages between entries of pipelines."""

from dataclasses import dataclass

from damsonlane_rpc._messages import WatchUpdate


@dataclass(frozen=True, kw_only=True)
class LeavingTarget:
    """A target that said it is leaving."""

    #: Its service.
    service: str
    #: Its name.
    target: str
    #: Seconds since it said so.
    age: float


@dataclass(frozen=True, kw_only=True)
class PeerRequest:
    """An entry asks another for settings newer than its own."""

    #: Version in force at the asking entry.
    version: int
    #: Targets that the asking entry knows to be leaving.
    leaving: tuple[LeavingTarget, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PeerReply:
    """What the other entry has."""

    #: Newer settings, or None when it has none.
    update: WatchUpdate | None
    #: Targets that it knows to be leaving.
    leaving: tuple[LeavingTarget, ...] = ()
