"""One target as its heartbeats tell it, and the commands that change its record."""

from dataclasses import dataclass, replace
from typing import Literal

#: ``silent`` targets are not heard any more; ``leaving`` ones take nothing new.
TargetStanding = Literal["live", "silent", "leaving"]


@dataclass(frozen=True, kw_only=True)
class TargetRecord:
    """One incarnation of a target.

    Its name is drawn anew at each of its starts, so it tells a target apart
    from another one that is later given the same address.
    """

    #: Name of this incarnation.
    target: str
    #: Service that it belongs to.
    service: str
    #: Address as an IP number and a port.
    address: str
    #: Its data centre.
    data_centre: str
    #: Requests that it works on at once.
    slots: int
    #: Whether it may be used.
    standing: TargetStanding
    #: Number of the heartbeat that said so; it rises with each one.
    sequence: int

    def with_standing(self, standing: TargetStanding) -> "TargetRecord":
        """Return the record with another standing."""
        return replace(self, standing=standing)


@dataclass(frozen=True, kw_only=True)
class RegisterTarget:
    """A target is new, or says something new of itself."""

    kind: Literal["register-target"] = "register-target"
    #: What it says.
    record: TargetRecord


@dataclass(frozen=True, kw_only=True)
class RemoveTarget:
    """A target says that it is gone."""

    kind: Literal["remove-target"] = "remove-target"
    #: Its name.
    target: str


@dataclass(frozen=True, kw_only=True)
class SilenceTargets:
    """Targets were not heard for so long that they are the last choice."""

    kind: Literal["silence-targets"] = "silence-targets"
    #: Their names.
    targets: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class TargetNoted:
    """The reply to all of these."""

    kind: Literal["target-noted"] = "target-noted"
    #: Whether the registry changed.
    is_changed: bool
