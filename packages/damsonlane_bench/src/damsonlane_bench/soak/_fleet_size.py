"""Number of processes in the fleet of a soak run."""

from dataclasses import dataclass
from typing import Final

from damsonlane_bench.registered_target import TargetKind

#: Services of the fleet: name and kind of their targets.
SERVICES: Final[tuple[tuple[str, TargetKind], ...]] = (
    ("desk", "plain"),
    ("model", "engine"),
    ("encode", "pool"),
)


@dataclass(frozen=True, kw_only=True)
class Target:
    """One target of the fleet."""

    #: Name of its process.
    name: str
    #: Name of its service.
    service: str
    #: Kind of stand-in.
    kind: TargetKind


@dataclass(frozen=True, kw_only=True)
class FleetSize:
    """Number of processes by role."""

    #: Control replicas.
    controls: int = 3
    #: Entries.
    entries: int = 2
    #: Targets of each service.
    targets: int = 2

    def list_controls(self) -> tuple[str, ...]:
        """Return the names of the control replicas."""
        return tuple(f"control-{number}" for number in range(1, self.controls + 1))

    def list_entries(self) -> tuple[str, ...]:
        """Return the names of the entries."""
        return tuple(f"entry-{number}" for number in range(1, self.entries + 1))

    def list_targets(self) -> tuple[Target, ...]:
        """Return the targets of all services."""
        return tuple(
            Target(name=f"{service}-{number}", service=service, kind=kind)
            for service, kind in SERVICES
            for number in range(1, self.targets + 1)
        )
