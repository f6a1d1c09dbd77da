"""What happens in one run of the soak, drawn from a seed before the run begins."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from damsonlane_bench.soak._fleet_size import FleetSize

#: Draws the box of a fault; empty for all boxes.
DrawBox = Callable[[random.Random, "Boxes"], str]

#: Shortest and longest time for which a fault lasts, in seconds: some are over before anybody
#: notices (heartbeats come every half second), others outlast leases and elections.
_SHORTEST: Final = 0.3
_LONGEST: Final = 3.0
#: Seconds between two faults on average; many overlap then.
_MEAN_GAP: Final = 1.2
#: Seconds after the last fault in which the fleet must come to rest.
REST_SECONDS: Final = 4.0


@dataclass(frozen=True, kw_only=True)
class Boxes:
    """What faults may happen to."""

    #: Names of the control replicas.
    controls: tuple[str, ...]
    #: Names of the entries.
    entries: tuple[str, ...]
    #: Names of the targets.
    targets: tuple[str, ...]

    @classmethod
    def of(cls, size: FleetSize) -> "Boxes":
        """Return the processes of a fleet."""
        return cls(
            controls=size.list_controls(),
            entries=size.list_entries(),
            targets=tuple(target.name for target in size.list_targets()),
        )


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault."""

    #: When it begins, in seconds from the start of the run.
    at: float
    #: What happens; a name in `FAULT_KINDS`.
    kind: str
    #: To which process; empty for all boxes.
    process: str
    #: How long until it is undone.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Plan:
    """One run."""

    #: The seed that it was drawn from.
    seed: int
    #: How long callers send, in seconds.
    seconds: float
    #: The faults, in order.
    faults: tuple[Fault, ...]
    #: The fleet.
    size: FleetSize = FleetSize()

    def with_faults(self, faults: tuple[Fault, ...]) -> "Plan":
        """Return the plan with other faults, to find those that matter."""
        return replace(self, faults=faults)


#: How the process of each kind of fault is drawn.
FAULT_KINDS: Final[dict[str, DrawBox]] = {}
#: The same for what targets say of themselves.  It is drawn apart, so that a seed that showed a
#: fault before there were these kinds still has the faults that it had then.
WORD_KINDS: Final[dict[str, DrawBox]] = {}
#: The same for rate limits, which came later still.
LIMIT_KINDS: Final[dict[str, DrawBox]] = {}


def fault_kind(name: str, kinds: dict[str, DrawBox] = FAULT_KINDS) -> Callable[[DrawBox], DrawBox]:
    """Register how the process of a kind of fault is drawn."""

    def register(draw: DrawBox) -> DrawBox:
        kinds[name] = draw
        return draw

    return register


@fault_kind("kill")
def _draw_any(randomness: random.Random, boxes: Boxes) -> str:
    return randomness.choice((*boxes.controls, *boxes.entries, *boxes.targets))


@fault_kind("freeze")
def _draw_frozen(randomness: random.Random, boxes: Boxes) -> str:
    return randomness.choice((*boxes.controls, *boxes.entries, *boxes.targets))


@fault_kind("hang-up")
def _draw_box(randomness: random.Random, boxes: Boxes) -> str:
    return randomness.choice((*boxes.controls, *boxes.entries))


@fault_kind("stop")
def _draw_entry(randomness: random.Random, boxes: Boxes) -> str:
    return randomness.choice(boxes.entries)


@fault_kind("power")
def _draw_all(randomness: random.Random, boxes: Boxes) -> str:
    return ""


@fault_kind("rest", WORD_KINDS)
def _draw_target(randomness: random.Random, boxes: Boxes) -> str:
    return randomness.choice(boxes.targets)


@fault_kind("rest of all", WORD_KINDS)
def _draw_service(randomness: random.Random, boxes: Boxes) -> str:
    """Return the first target of a service, by which its fellows are found."""
    return randomness.choice(boxes.targets)


@fault_kind("leaving word", WORD_KINDS)
def _draw_leaving(randomness: random.Random, boxes: Boxes) -> str:
    return randomness.choice(boxes.targets)


@fault_kind("limit", LIMIT_KINDS)
def _draw_limited(randomness: random.Random, boxes: Boxes) -> str:
    return randomness.choice(boxes.targets)


@fault_kind("limit of all", LIMIT_KINDS)
def _draw_limited_service(randomness: random.Random, boxes: Boxes) -> str:
    """Return the first target of a service, by which its fellows are found."""
    return randomness.choice(boxes.targets)


@fault_kind("lasting limit", LIMIT_KINDS)
def _draw_lasting(randomness: random.Random, boxes: Boxes) -> str:
    """Return a target whose limit holds until another one ends it."""
    return randomness.choice(boxes.targets)


def draw_plan(seed: int, seconds: float, size: FleetSize | None = None) -> Plan:
    """Return the plan of a seed.

    Args:
        seed: the same one gives the same plan.
        seconds: how long callers send.
        size: the fleet; the smallest one unless told otherwise.
    """
    fleet = size or FleetSize()
    boxes = Boxes.of(fleet)
    faults = _draw_faults(random.Random(seed), seconds, boxes, FAULT_KINDS)
    words = _draw_faults(random.Random(f"words {seed}"), seconds, boxes, WORD_KINDS)
    limits = _draw_faults(random.Random(f"limits {seed}"), seconds, boxes, LIMIT_KINDS)
    ordered = sorted((*faults, *words, *limits), key=lambda fault: fault.at)
    return Plan(seed=seed, seconds=seconds, faults=tuple(ordered), size=fleet)


def _draw_faults(
    randomness: random.Random, seconds: float, boxes: Boxes, kinds: Mapping[str, DrawBox]
) -> list[Fault]:
    """Return faults of some kinds, one after the other."""
    faults: list[Fault] = []
    at = randomness.expovariate(1 / _MEAN_GAP)
    while at < seconds - REST_SECONDS:
        kind = randomness.choice(sorted(kinds))
        faults.append(
            Fault(
                at=round(at, 2),
                kind=kind,
                process=kinds[kind](randomness, boxes),
                seconds=round(randomness.uniform(_SHORTEST, _LONGEST), 2),
            )
        )
        at += randomness.expovariate(1 / _MEAN_GAP)
    return faults
