"""``damsonlane report losses``: in which step requests lost their aim, from entries' logs."""

import json
import statistics
import sys
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from damsonlane_cli._context import EXIT_INPUT, fail

#: Seconds that an answer is reckoned to need back to its caller.
RETURN_SECONDS: Final = 0.005
#: Share of the aim from which on one step alone is named as the cause of a late answer.
STEP_SHARE: Final = 0.55


@dataclass(frozen=True, kw_only=True)
class Ending:
    """How one request ended."""

    #: Its route.
    route: str
    #: Its rank; 0 comes first.
    rank: int
    #: The step in which it lost its aim, or ``in aim``.
    step: str
    #: Seconds from its arrival to its end.
    seconds: float


def find_endings(texts: Iterable[str]) -> list[Ending]:
    """Return how each request ended that an entry accepted; other lines are passed over."""
    accepted: dict[str, dict[str, Any]] = {}
    endings: list[Ending] = []
    for text in texts:
        line = read_line(text)
        name = str(line.get("request", ""))
        if line.get("message") == "accepted":
            accepted[name] = line
        elif line.get("message") == "ended" and name in accepted:
            endings.append(_make_ending(accepted.pop(name), line))
    # An entry that was lost logged no end.
    return endings + [_make_ending(line, {}) for line in accepted.values()]


def name_step(accepted: dict[str, Any], ended: dict[str, Any]) -> str:
    """Return the step in which a request lost its aim, from its first and last line."""
    outcome = str(ended.get("outcome", ""))
    if not outcome:
        return "entry lost"
    if outcome != "answered":
        return _name_refusal(accepted, outcome)
    waited = float(accepted.get("waited_ms", 0)) / 1000
    aim = float(ended["aim_seconds"])
    first = ended.get("first_event_seconds")
    seconds = float(first if first is not None else ended["seconds"])
    if seconds + waited + RETURN_SECONDS > aim:
        return "late, came back" if waited > 0 else _name_late(ended, seconds, aim)
    pause = float(ended.get("longest_pause_seconds") or 0.0)
    allowed = float(ended.get("pause_aim_seconds") or 0.0)
    return "late, paused" if allowed and pause > allowed else "in aim"


def count_losses(files: Sequence[str]) -> list[dict[str, object]]:
    """Return a row for each route and step, from the logs of the entries.

    Args:
        files: the logs; standard input when none is named.
    """
    endings = find_endings(read_texts(files))
    if not endings:
        fail("no line tells of an accepted request; give the logs of all entries", EXIT_INPUT)
    return _count(endings)


def _count(endings: Sequence[Ending]) -> list[dict[str, object]]:
    """Return a row for each route and step, the most urgent routes first."""
    requests = Counter(ending.route for ending in endings)
    steps = Counter((ending.rank, ending.route, ending.step) for ending in endings)
    rows: list[dict[str, object]] = []
    for (rank, route, step), count in sorted(steps.items()):
        held = [
            ending.seconds
            for ending in endings
            if (ending.rank, ending.route, ending.step) == (rank, route, step)
        ]
        rows.append(
            {
                "rank": rank,
                "route": route,
                "step": step,
                "requests": count,
                "share": round(count / requests[route], 4),
                "median_seconds": round(statistics.median(held), 3),
            }
        )
    return rows


def _name_refusal(accepted: dict[str, Any], outcome: str) -> str:
    """Return the step of a request that was not answered."""
    if outcome == "refused-503" and float(accepted.get("waited_ms", 0)) > 0:
        return "refused again"
    return outcome


def _name_late(ended: dict[str, Any], seconds: float, aim: float) -> str:
    """Return which step took most of the aim of a late answer."""
    staged = float(ended.get("staged_seconds", 0.0))
    if staged > STEP_SHARE * aim >= seconds - staged:
        return "late, stages"
    if seconds - staged > STEP_SHARE * aim >= staged:
        return "late, target"
    return "late, both"


def _make_ending(accepted: dict[str, Any], ended: dict[str, Any]) -> Ending:
    return Ending(
        route=str(accepted.get("route", "")),
        rank=int(accepted.get("rank", 0)),
        step=name_step(accepted, ended),
        seconds=float(ended.get("seconds", 0.0)),
    )


def read_line(text: str) -> dict[str, Any]:
    """Return a line of a log, whatever stands before it; empty for anything else."""
    start = text.find("{")
    try:
        value = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def read_texts(files: Sequence[str]) -> Iterable[str]:
    if not files:
        yield from sys.stdin
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            fail(f"{name}: {error.strerror}", EXIT_INPUT)
