"""``damsonlane report losses``: why requests missed their latency objective, by entries' logs."""

import json
import statistics
import sys
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from damsonlane_cli._context import EXIT_INPUT, fail

#: Seconds that the transfer of an answer to its caller is assumed to take.
RESPONSE_TRANSFER_SECONDS: Final = 0.005
#: A step that takes more than this share of the objective is named as the cause of a late answer.
DOMINANT_SHARE: Final = 0.55


@dataclass(frozen=True, kw_only=True)
class RequestOutcome:
    """The outcome of one request."""

    #: Its route.
    route: str
    #: Its priority; 0 is the highest.
    priority: int
    #: The step in which it missed its latency objective, or ``in aim``.
    step: str
    #: Seconds from its arrival to its completion.
    seconds: float


def read_outcomes(texts: Iterable[str]) -> list[RequestOutcome]:
    """Return the outcome of each request that an entry accepted; other log lines are ignored."""
    accepted: dict[str, dict[str, Any]] = {}
    outcomes: list[RequestOutcome] = []
    for text in texts:
        line = read_line(text)
        name = str(line.get("request", ""))
        if line.get("message") == "accepted":
            accepted[name] = line
        elif line.get("message") == "ended" and name in accepted:
            outcomes.append(_make_outcome(accepted.pop(name), line))
    # An entry that crashed logged no completion.
    return outcomes + [_make_outcome(line, {}) for line in accepted.values()]


def classify_outcome(accepted: dict[str, Any], ended: dict[str, Any]) -> str:
    """Return the step in which a request missed its objective, or ``in aim``.

    Args:
        accepted: the log line of its arrival.
        ended: the log line of its completion; empty if there is none.
    """
    outcome = str(ended.get("outcome", ""))
    if not outcome:
        return "entry lost"
    if outcome != "answered":
        return _classify_unanswered(accepted, outcome)
    earlier_wait = float(accepted.get("waited_ms", 0)) / 1000
    objective = float(ended["aim_seconds"])
    first_event = ended.get("first_event_seconds")
    seconds = float(first_event if first_event is not None else ended["seconds"])
    if seconds + earlier_wait + RESPONSE_TRANSFER_SECONDS > objective:
        return "late, came back" if earlier_wait > 0 else _classify_late(ended, seconds, objective)
    pause = float(ended.get("longest_pause_seconds") or 0.0)
    max_pause = float(ended.get("pause_aim_seconds") or 0.0)
    return "late, paused" if max_pause and pause > max_pause else "in aim"


def report_losses(files: Sequence[str]) -> list[dict[str, object]]:
    """Return a row for each route and step, from the logs of the entries.

    Args:
        files: the logs; standard input if there are none.
    """
    outcomes = read_outcomes(read_texts(files))
    if not outcomes:
        fail("no accepted requests in these logs; give the logs of all entries", EXIT_INPUT)
    return _make_rows(outcomes)


def _make_rows(outcomes: Sequence[RequestOutcome]) -> list[dict[str, object]]:
    """Return a row for each route and step, routes of the highest priority first."""
    requests = Counter(outcome.route for outcome in outcomes)
    steps = Counter((outcome.priority, outcome.route, outcome.step) for outcome in outcomes)
    rows: list[dict[str, object]] = []
    for (priority, route, step), count in sorted(steps.items()):
        durations = [
            outcome.seconds
            for outcome in outcomes
            if (outcome.priority, outcome.route, outcome.step) == (priority, route, step)
        ]
        rows.append(
            {
                "rank": priority,
                "route": route,
                "step": step,
                "requests": count,
                "share": round(count / requests[route], 4),
                "median_seconds": round(statistics.median(durations), 3),
            }
        )
    return rows


def _classify_unanswered(accepted: dict[str, Any], outcome: str) -> str:
    """Return the step of a request without an answer of its target."""
    if outcome == "refused-503" and float(accepted.get("waited_ms", 0)) > 0:
        return "refused again"
    return outcome


def _classify_late(ended: dict[str, Any], seconds: float, objective: float) -> str:
    """Return which step used up most of the objective of a late answer."""
    staged = float(ended.get("staged_seconds", 0.0))
    if staged > DOMINANT_SHARE * objective >= seconds - staged:
        return "late, stages"
    if seconds - staged > DOMINANT_SHARE * objective >= staged:
        return "late, target"
    return "late, both"


def _make_outcome(accepted: dict[str, Any], ended: dict[str, Any]) -> RequestOutcome:
    return RequestOutcome(
        route=str(accepted.get("route", "")),
        priority=int(accepted.get("rank", 0)),
        step=classify_outcome(accepted, ended),
        seconds=float(ended.get("seconds", 0.0)),
    )


def read_line(text: str) -> dict[str, Any]:
    """Return the fields of a JSON log line, which may have a prefix; empty for any other text."""
    start = text.find("{")
    try:
        value = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def read_texts(files: Sequence[str]) -> Iterable[str]:
    """Yield the lines of log files, or of standard input if there are none."""
    if not files:
        yield from sys.stdin
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            fail(f"{name}: {error.strerror}", EXIT_INPUT)
