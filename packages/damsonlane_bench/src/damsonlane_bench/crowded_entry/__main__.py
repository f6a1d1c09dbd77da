"""Crowds of new connections at few entries: ``python -m damsonlane_bench.crowded_entry``.

Starts a fleet of real processes.  Callers open a connection for each request, to all entries alike
and then nine in ten to few of them, twice as often.  A caller whose request was not read goes to
another entry.
"""

import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import fire
from tabulate import tabulate

from damsonlane_bench.crowded_entry import Answer, Crowd, CrowdedFleet, FleetSize

#: Seconds before the crowd, and of the crowd.
_CALM_SECONDS: Final = 6.0
_CROWDED_SECONDS: Final = 10.0
#: Seconds before the crowd that count, and those at its beginning that don't.
_COUNTED_SECONDS: Final = 4.0
_CONTACT_SECONDS: Final = 1.0
_HEADERS: Final = (
    "crowd", "phase", "kind", "read/s", "served", "at others", "longest", "unread/s", "statuses",
)  # fmt: skip


def _summarise(answers: Sequence[Answer], seconds: float) -> tuple[object, ...]:
    read = [answer for answer in answers if answer.status]
    served = [answer for answer in read if answer.is_served]
    others = [answer for answer in read if not answer.was_crowded]
    return (
        round(len(read) / seconds),
        f"{len(served) / max(1, len(read)):.3f}",
        f"{sum(answer.is_served for answer in others) / max(1, len(others)):.3f}",
        f"{max((answer.seconds for answer in served), default=0.0):.2f}",
        round(sum(answer.unread for answer in answers) / seconds),
        dict(Counter(answer.status for answer in answers)),
    )


def _list_rows(crowd: Crowd, crowded_at: float, name: str) -> list[tuple[object, ...]]:
    phases = (
        ("before", crowded_at - _COUNTED_SECONDS, crowded_at),
        ("first", crowded_at, crowded_at + _CONTACT_SECONDS),
        ("crowded", crowded_at + _CONTACT_SECONDS, crowded_at + _CROWDED_SECONDS),
    )
    kinds = sorted({answer.kind for answer in crowd.answers})
    rows = []
    for phase, after, before in phases:
        chosen = [answer for answer in crowd.answers if after <= answer.at < before]
        groups = {"all": chosen} if len(kinds) > 1 else {}
        groups |= {kind: [one for one in chosen if one.kind == kind] for kind in kinds}
        rows += [
            (name, phase, kind, *_summarise(group, before - after))
            for kind, group in groups.items()
        ]
    return rows


def run(
    callers: str = "120",
    kinds: str = "plain,once,stream",
    entries: int = 12,
    crowded: int = 1,
    move_seconds: float = 0.0,
    connections: int = 50,
    desks: int = 6,
    engines: int = 8,
    slots: int = 40,
    pools: int = 4,
    half: bool = False,
    owners: bool = False,
    keep: str = "",
) -> None:
    """Play each number of callers, and print a row for each phase and kind of request.

    Args:
        callers: numbers of callers, separated by commas.
        kinds: kinds of requests, separated by commas: plain, once, stream.
        entries: number of entries.
        crowded: number of entries that are crowded at a time.
        move_seconds: seconds after which other entries are crowded; 0 for never.
        connections: connections that a target takes.
        desks: number of plain targets.
        engines: number of engines.
        slots: slots of each engine.
        pools: number of targets of the pool.
        half: whether entries are held to half a core.
        owners: whether the entries that own most are crowded.
        keep: folder for the logs; empty to delete them.
    """
    size = FleetSize(
        entries=entries, desks=desks, engines=engines, slots=slots, pools=pools,
        connections=connections, is_half=half,
    )  # fmt: skip
    names = [str(kind) for kind in (kinds if isinstance(kinds, tuple) else kinds.split(","))]
    counts = [int(count) for count in str(callers).strip("()").split(",") if count]
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        place = Path(keep or folder)
        place.mkdir(parents=True, exist_ok=True)
        with CrowdedFleet(place, size) as fleet:
            fleet.start()
            for count in counts:
                addresses = fleet.list_addresses(owners_first=owners)
                crowd = Crowd(addresses, count, names, crowded, move_seconds)
                crowded_at = asyncio.run(crowd.run(_CALM_SECONDS, _CROWDED_SECONDS))
                rows += _list_rows(crowd, crowded_at, str(count))
                began_at = crowded_at + time.time() - time.monotonic()
                reasons = fleet.count_reasons(began_at, began_at + _CROWDED_SECONDS)
                for reason, number in reasons.most_common(6):
                    print(f"{count} callers, refused while crowded: {number} x {reason}")
            peaks = fleet.find_peaks()
    print(tabulate(rows, headers=_HEADERS))
    print("most open connections and resets:", peaks)


if __name__ == "__main__":
    fire.Fire(run)
