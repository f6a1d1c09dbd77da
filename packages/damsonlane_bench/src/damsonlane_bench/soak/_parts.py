"""Parts of a soak run that some seeds switch on."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from damsonlane_bench.routes_document import CALLER_KEY

#: Probability that a seed switches a part on: most runs have some parts, and all combinations occur
#: within a few dozen seeds.
_PROBABILITY: Final = 0.6
#: Budget of buffered bytes of an entry: less than one large stream (1.3 MB).
_BUFFER_BYTES: Final = 1024 * 1024


#: Capacities that are drawn, in cores: below and above the 0.3 core that an owner uses.
_CORES: Final = (0.2, 0.387, 0.516, 1.29, 2.58)
#: Memory and bandwidth of an entry for each of its cores.
_MEMORY_BYTES_PER_CORE: Final = 400e6
_LINK_BITS_PER_CORE: Final = 10e6
#: Keys of callers by the name of their organisation, in runs that have several.
ORGANISATIONS: Final[dict[str, str]] = {
    "florists": CALLER_KEY,
    "bakers": "bakers-key",
    "grocers": "grocers-key",
}


@dataclass(frozen=True, kw_only=True)
class Parts:
    """Parts that a run has; none in plan files that were stored before there were parts."""

    #: Targets report their load, with slow periods and implausible reports.
    has_reported_load: bool = False
    #: Entries have a budget of buffered bytes, and some callers stop reading large streams.
    has_stalled_readers: bool = False
    #: Entries serve late requests and share fairly among organisations, some of which surge.
    has_organisations: bool = False
    #: Entries are cut off from targets.
    has_cuts: bool = False
    #: Targets announce limits of rejections and fail beyond them.
    has_rejection_limits: bool = False
    #: Engines get a version at each start, and callers resume the streams that they break off.
    has_versions: bool = False
    #: Requests, no two alike, share a part of their prompts that crashes engines.
    has_crashing_parts: bool = False
    #: A control replica is replaced as planned, and another one loses its disk soon after.
    has_replacements: bool = False
    #: Targets fall silent for a while.
    has_silences: bool = False
    #: All entries are killed at once.
    has_lost_entries: bool = False
    #: Callers send streams with stages that may not be resumed, and so run once.
    has_single_runs: bool = False
    #: Callers crowd at few entries.
    has_crowds: bool = False
    #: Entries at which they do at once.
    crowded_entries: int = 1
    #: Capacities of entries in cores, in the order of the entries; empty if they are unknown.
    capacities: tuple[float, ...] = ()


def draw_parts(seed: int, entry_count: int) -> Parts:
    """Return the parts of a seed; each is drawn alone, so a new one does not change the others."""
    return Parts(
        has_reported_load=_draw("reported load", seed),
        has_stalled_readers=_draw("stalled readers", seed),
        has_organisations=_draw("organisations", seed),
        has_cuts=_draw("cuts", seed),
        has_rejection_limits=_draw("rejection limits", seed),
        has_versions=_draw("versions", seed),
        has_crashing_parts=_draw("crashing parts", seed),
        has_replacements=_draw("replacements", seed),
        has_silences=_draw("silences", seed),
        has_lost_entries=_draw("lost entries", seed),
        has_single_runs=_draw("single runs", seed),
        has_crowds=_draw("crowds", seed),
        crowded_entries=random.Random(f"crowded entries {seed}").randint(1, 3),
        capacities=_draw_capacities(seed, entry_count) if _draw("capacities", seed) else (),
    )


def make_entry_settings(parts: Parts, entries: Sequence[str]) -> dict[str, dict[str, Any]]:
    """Return the settings of each entry that the parts of a run need."""
    gateway: dict[str, Any] = {}
    if parts.has_stalled_readers:
        gateway["buffer_bytes"] = _BUFFER_BYTES
    if parts.has_organisations:
        gateway |= {"late_requests": "serve", "fair_shares": True}
    settings: dict[str, dict[str, Any]] = {entry: {"gateway": gateway} for entry in entries}
    for entry, cores in zip(entries, parts.capacities, strict=False):
        settings[entry]["capacity"] = {
            "cores": cores,
            "memory_bytes": round(cores * _MEMORY_BYTES_PER_CORE),
            "link_bits": cores * _LINK_BITS_PER_CORE,
        }
    return settings


def find_organisation(parts: Parts, number: int) -> str:
    """Return the organisation of a caller, by the caller's number."""
    names = list(ORGANISATIONS) if parts.has_organisations else ["florists"]
    return names[number % len(names)]


def _draw_capacities(seed: int, entry_count: int) -> tuple[float, ...]:
    """Return capacities of which the first ones, one for each known capacity, all differ."""
    shuffled = random.Random(f"capacities of {seed}").sample(_CORES, len(_CORES))
    return tuple(shuffled[number % len(shuffled)] for number in range(entry_count))


def _draw(part: str, seed: int) -> bool:
    return random.Random(f"{part} {seed}").random() < _PROBABILITY
