"""Plan of one soak run, drawn from a seed before the run begins."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from damsonlane_bench.soak._fleet_size import FleetSize
from damsonlane_bench.soak._parts import ORGANISATIONS, Parts, draw_parts

#: Draws the name of the process that a fault affects; empty for all boxes.
DrawProcess = Callable[[random.Random, "ProcessNames"], str]

#: Shortest and longest duration of a fault, in seconds: from less than a heartbeat interval to more
#: than a lease or an election lasts.
_MIN_FAULT_SECONDS: Final = 0.3
_MAX_FAULT_SECONDS: Final = 3.0
#: Mean time between the begins of two faults, in seconds; short enough that faults overlap.
_MEAN_GAP_SECONDS: Final = 1.2
#: Times that all entries are lost in one run; callers are served between them.
_MAX_LOSSES: Final = 2
#: Seconds at the end of a run in which no fault begins.
FAULT_FREE_SECONDS: Final = 4.0


@dataclass(frozen=True, kw_only=True)
class ProcessNames:
    """Names of the processes that faults may affect."""

    #: Control replicas.
    controls: tuple[str, ...]
    #: Entries.
    entries: tuple[str, ...]
    #: Targets.
    targets: tuple[str, ...]

    @classmethod
    def from_size(cls, size: FleetSize) -> "ProcessNames":
        """Return the names of all processes of a fleet."""
        return cls(
            controls=size.list_controls(),
            entries=size.list_entries(),
            targets=tuple(target.name for target in size.list_targets()),
        )


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault, or one announcement that a target makes."""

    #: Begin, in seconds from the start of the run.
    at: float
    #: Kind; a name in one of the registries of kinds below.
    kind: str
    #: Name of the affected process, or of the organisation that surges; empty for all boxes.
    process: str
    #: Duration, in seconds.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Faults, length and fleet of one run."""

    #: Seed that the plan was drawn from.
    seed: int
    #: Length of the run, in seconds.
    seconds: float
    #: Faults, sorted by their begin.
    faults: tuple[Fault, ...]
    #: Size of the fleet.
    size: FleetSize = FleetSize()
    #: Parts that the seed switches on.
    parts: Parts = Parts()

    def with_faults(self, faults: tuple[Fault, ...]) -> "Plan":
        """Return the plan with other faults, to find out which of them cause a violation."""
        return replace(self, faults=faults)


# Plan files store the names of the kinds, and a seed draws from them in sorted order.  Each of the
# groups is drawn from a generator of its own, so that a new kind in one of them does not
# change what a seed draws from the others.

#: Faults of processes: how the process of each kind is drawn.
PROCESS_FAULT_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for announcements of back-off and draining by targets.
ANNOUNCEMENT_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for announcements of rate limits by targets.
RATE_LIMIT_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for slow periods and implausible reports of load by targets.
LOAD_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for organisations that send more than usual.
SURGE_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for cuts between one entry and all targets.
CUT_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for crowds of new connections at one entry or several.
CROWD_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for announcements of limits of rejections by targets.
REJECTION_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for targets that fall silent, but for health checks and heartbeats.
SILENCE_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for planned replacements of control replicas, and the loss of a disk after them.
REPLACEMENT_KINDS: Final[dict[str, DrawProcess]] = {}
#: The same for losses of all entries at once.
ENTRY_KINDS: Final[dict[str, DrawProcess]] = {}


def fault_kind(
    name: str, kinds: dict[str, DrawProcess] = PROCESS_FAULT_KINDS
) -> Callable[[DrawProcess], DrawProcess]:
    """Register the decorated function as the one that draws the process of a kind of fault."""

    def register(draw: DrawProcess) -> DrawProcess:
        kinds[name] = draw
        return draw

    return register


@fault_kind("kill")
def _draw_killed(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice((*names.controls, *names.entries, *names.targets))


@fault_kind("freeze")
def _draw_suspended(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice((*names.controls, *names.entries, *names.targets))


@fault_kind("hang-up")
def _draw_signalled(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice((*names.controls, *names.entries))


@fault_kind("stop")
def _draw_stopped(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(names.entries)


@fault_kind("power")
def _draw_all_boxes(randomness: random.Random, names: ProcessNames) -> str:
    return ""


@fault_kind("rest", ANNOUNCEMENT_KINDS)
def _draw_backing_off(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(names.targets)


@fault_kind("rest of all", ANNOUNCEMENT_KINDS)
def _draw_backing_off_service(randomness: random.Random, names: ProcessNames) -> str:
    """Return one target; all targets of its service are affected."""
    return randomness.choice(names.targets)


@fault_kind("leaving word", ANNOUNCEMENT_KINDS)
def _draw_draining(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(names.targets)


@fault_kind("limit", RATE_LIMIT_KINDS)
def _draw_rate_limited(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(names.targets)


@fault_kind("limit of all", RATE_LIMIT_KINDS)
def _draw_rate_limited_service(randomness: random.Random, names: ProcessNames) -> str:
    """Return one target; all targets of its service are affected."""
    return randomness.choice(names.targets)


@fault_kind("lasting limit", RATE_LIMIT_KINDS)
def _draw_lasting_rate_limit(randomness: random.Random, names: ProcessNames) -> str:
    """Return a target whose rate limit stays until another announcement replaces or ends it."""
    return randomness.choice(names.targets)


@fault_kind("slow", LOAD_KINDS)
def _draw_slow(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(names.targets)


@fault_kind("slow all", LOAD_KINDS)
def _draw_slow_service(randomness: random.Random, names: ProcessNames) -> str:
    """Return one target; all targets of its service are affected."""
    return randomness.choice(names.targets)


@fault_kind("implausible load", LOAD_KINDS)
def _draw_implausible_load(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(names.targets)


@fault_kind("surge", SURGE_KINDS)
def _draw_surging(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(sorted(ORGANISATIONS))


@fault_kind("cut by silence", CUT_KINDS)
def _draw_cut_silently(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(names.entries)


@fault_kind("cut by resets", CUT_KINDS)
def _draw_cut_with_resets(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(names.entries)


@fault_kind("crowd", CROWD_KINDS)
def _draw_crowded(randomness: random.Random, names: ProcessNames) -> str:
    """Return the first entry; others are the next ones in the list."""
    return randomness.choice(names.entries)


@fault_kind("silence", SILENCE_KINDS)
def _draw_silent(randomness: random.Random, names: ProcessNames) -> str:
    return randomness.choice(names.targets)


@fault_kind("silence of all", SILENCE_KINDS)
def _draw_silent_service(randomness: random.Random, names: ProcessNames) -> str:
    """Return one target; all targets of its service are affected."""
    return randomness.choice(names.targets)


@fault_kind("lost entries", ENTRY_KINDS)
def _draw_all_entries(randomness: random.Random, names: ProcessNames) -> str:
    return ""


@fault_kind("replace", REPLACEMENT_KINDS)
def _draw_replaced(randomness: random.Random, names: ProcessNames) -> str:
    """Return a control replica that gets a successor; the duration is the time to the loss."""
    return randomness.choice(names.controls)


@fault_kind("fragile", REJECTION_KINDS)
def _draw_fragile_service(randomness: random.Random, names: ProcessNames) -> str:
    """Return one target; all targets of its service are affected."""
    return randomness.choice(names.targets)


def draw_plan(seed: int, seconds: float, size: FleetSize | None = None) -> Plan:
    """Return the plan of a seed.

    Args:
        seed: equal seeds give equal plans.
        seconds: length of the run.
        size: size of the fleet; the default size if None.
    """
    fleet = size or FleetSize()
    names = ProcessNames.from_size(fleet)
    parts = draw_parts(seed, len(names.entries))
    faults = [
        fault
        for group in _GROUPS
        if not group.part or getattr(parts, group.part)
        for fault in group.draw_faults(seed, seconds, names)
    ]
    faults.sort(key=lambda fault: fault.at)
    return Plan(seed=seed, seconds=seconds, faults=tuple(faults), size=fleet, parts=parts)


def _draw_apart(
    randomness: random.Random, seconds: float, names: ProcessNames, kinds: Mapping[str, DrawProcess]
) -> list[Fault]:
    """Return faults of which none begins during another one."""
    apart: list[Fault] = []
    for fault in _draw_faults(randomness, seconds, names, kinds):
        if not apart or fault.at > apart[-1].at + apart[-1].seconds:
            apart.append(fault)
    return apart


def _draw_faults(
    randomness: random.Random, seconds: float, names: ProcessNames, kinds: Mapping[str, DrawProcess]
) -> list[Fault]:
    """Return faults of some kinds with exponentially distributed gaps between their begins."""
    faults: list[Fault] = []
    at = randomness.expovariate(1 / _MEAN_GAP_SECONDS)
    while at < seconds - FAULT_FREE_SECONDS:
        kind = randomness.choice(sorted(kinds))
        faults.append(
            Fault(
                at=round(at, 2),
                kind=kind,
                process=kinds[kind](randomness, names),
                seconds=round(randomness.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS), 2),
            )
        )
        at += randomness.expovariate(1 / _MEAN_GAP_SECONDS)
    return faults


@dataclass(frozen=True, kw_only=True)
class _Group:
    """Kinds of faults that are drawn from a generator of their own."""

    #: Name of the generator; empty for the one of the seed itself.
    generator: str = ""
    #: Field of the parts that switches it on; empty for a group of every run.
    part: str = ""
    #: Its kinds.
    kinds: Mapping[str, DrawProcess]
    #: Whether none of its faults begins during another one.
    is_apart: bool = False
    #: Most faults of it in a run; None without a limit.
    most: int | None = None

    def draw_faults(self, seed: int, seconds: float, names: ProcessNames) -> list[Fault]:
        """Return the faults of a seed."""
        randomness = random.Random(f"{self.generator} {seed}" if self.generator else seed)
        draw = _draw_apart if self.is_apart else _draw_faults
        return draw(randomness, seconds, names, self.kinds)[: self.most]


_GROUPS: Final = (
    _Group(kinds=PROCESS_FAULT_KINDS),
    _Group(generator="words", kinds=ANNOUNCEMENT_KINDS),
    _Group(generator="limits", kinds=RATE_LIMIT_KINDS),
    _Group(generator="load", part="has_reported_load", kinds=LOAD_KINDS),
    _Group(generator="surges", part="has_organisations", kinds=SURGE_KINDS, is_apart=True),
    _Group(generator="cuts", part="has_cuts", kinds=CUT_KINDS),
    _Group(generator="fragile", part="has_rejection_limits", kinds=REJECTION_KINDS),
    _Group(generator="crowds", part="has_crowds", kinds=CROWD_KINDS, is_apart=True),
    _Group(generator="silences", part="has_silences", kinds=SILENCE_KINDS),
    _Group(
        generator="lost entries",
        part="has_lost_entries",
        kinds=ENTRY_KINDS,
        is_apart=True,
        most=_MAX_LOSSES,
    ),
    # One in a run: the boxes keep the addresses of control with which they started.
    _Group(generator="replace", part="has_replacements", kinds=REPLACEMENT_KINDS, most=1),
)
