"""Records of targets as heartbeats report them, and the commands that change them."""

from dataclasses import dataclass, replace
from typing import Literal

#: ``silent`` targets send no heartbeats any more; ``leaving`` ones are draining and get no new
#: requests.
TargetStanding = Literal["live", "silent", "leaving"]


@dataclass(frozen=True, kw_only=True)
class ServedModel:
    """A model that a target serves."""

    #: Its name, as requests name it.
    name: str
    #: Version of its weights; only compared for equality.
    weights: int = 0


@dataclass(frozen=True, kw_only=True)
class TargetRecord:
    """One incarnation of a target.

    It is identified by its name and its start: another target may be given its address, and a
    restarted target may have the same name but has no state of the earlier one.
    """

    #: Name of the target.
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
    #: Number of the heartbeat that reported this; it rises with each heartbeat since the start.
    sequence: int
    #: When it started, in milliseconds since 1970 by its own clock; 0 where it is not reported.
    start: int = 0
    #: Seconds of warm-up that are left at the heartbeat; until then it can serve only a few
    #: requests a second.
    cold_seconds: float = 0.0
    #: Version of its software; empty where it is not reported.  Versions are only compared for
    #: equality.
    version: str = ""
    #: Models that it serves; empty where it reports none.
    models: tuple[ServedModel, ...] = ()
    #: Shard of its service, assigned by the registry; each shard has its own owner.
    shard: int = 0

    def find_weights(self, model: str) -> int | None:
        """Return the version of the weights of a model; None if it does not report the model."""
        return next((known.weights for known in self.models if known.name == model), None)

    def with_standing(self, standing: TargetStanding) -> "TargetRecord":
        """Return the record with another standing."""
        return replace(self, standing=standing)

    def with_shard(self, shard: int) -> "TargetRecord":
        """Return the record in another shard."""
        return replace(self, shard=shard)


@dataclass(frozen=True, kw_only=True)
class RegisterTarget:
    """Command: store the record of a new target, or a newer record of a known one."""

    kind: Literal["register-target"] = "register-target"
    #: The record that it sent.
    record: TargetRecord


@dataclass(frozen=True, kw_only=True)
class RemoveTarget:
    """Command: remove a target that announced that it stops."""

    kind: Literal["remove-target"] = "remove-target"
    #: Its name.
    target: str
    #: Its start; 0 where it is not reported.
    start: int = 0


@dataclass(frozen=True, kw_only=True)
class MarkTargetsSilent:
    """Command: mark targets without recent heartbeats, which become the last choice."""

    kind: Literal["silence-targets"] = "silence-targets"
    #: Their names.
    targets: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class TargetRecorded:
    """The reply to all commands about targets."""

    kind: Literal["target-noted"] = "target-noted"
    #: Whether the registry changed.
    is_changed: bool
