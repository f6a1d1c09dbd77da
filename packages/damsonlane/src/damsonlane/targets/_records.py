"""One target as its heartbeats tell it, and the commands that change its record."""

from dataclasses import dataclass, replace
from typing import Literal

#: ``silent`` targets are not heard any more; ``leaving`` ones take nothing new.
TargetStanding = Literal["live", "silent", "leaving"]


@dataclass(frozen=True, kw_only=True)
class TargetRecord:
    """One start of a target.

    Its name and its start tell it apart: another target may be given its address,
    and the same one may start again under its name, without anything it held before.
    """

    #: Its name.
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
    #: Number of the heartbeat that said so; it rises with each one since its start.
    sequence: int
    #: When it started, by its own clock in Unix milliseconds; 0 where it does not say.
    start: int = 0
    #: Seconds for which it is still cold, from the heartbeat on: it bears only a few
    #: requests a second until then.
    cold_seconds: float = 0.0

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
    #: Its start; 0 where it does not say.
    start: int = 0


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
