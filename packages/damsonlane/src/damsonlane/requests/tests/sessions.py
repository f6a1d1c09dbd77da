"""The sessions that have golden files.

``python -m damsonlane.requests.tests.sessions`` regenerates the golden files; review the
difference before committing it.
"""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from damsonlane.requests.tests.session import FakeTarget, Session, SessionRequest

GOLDEN = Path(__file__).with_name("golden")


def _make_targets(**counts: int) -> dict[str, list[FakeTarget]]:
    return {
        service: [
            FakeTarget(name=f"{service}-{number + 1}", slots=2, seconds_per_thousand=0.2)
            for number in range(count)
        ]
        for service, count in counts.items()
    }


_FOUR = ["encode", "retrieve", "rerank", "generate"]


def run_closing_time() -> dict[str, Any]:
    """Two organisations send a burst of requests; each stage has two targets."""
    services = _make_targets(encode=2, retrieve=2, rerank=2, generate=2)
    asked = [
        SessionRequest(
            at=round(1.0 + 0.01 * number, 3),
            entry=f"entry-{1 + number % 2}",
            organisation="florists" if number % 4 else "grocers",
            pipeline="statement",
            text=f"statement {number} " * 40,
            deadline=1.5,
        )
        for number in range(40)
    ]
    return Session(services, {"statement": _FOUR}).run(asked)


def run_hearing() -> dict[str, Any]:
    """One long request, and many lookups that must not wait for it."""
    services = _make_targets(encode=1, retrieve=1, rerank=1, generate=1, lookup=1)
    dossier = SessionRequest(
        at=0.0,
        entry="entry-1",
        organisation="bureau",
        pipeline="dossier",
        text="page " * 2000,
        deadline=30.0,
        lane="bulk",
    )
    lookups = [
        SessionRequest(
            at=round(0.1 * number, 2),
            entry="entry-1",
            organisation="bureau",
            pipeline="lookup",
            text=f"term {number}",
            deadline=0.5,
            lane="lookup",
        )
        for number in range(1, 20)
    ]
    return Session(services, {"dossier": _FOUR, "lookup": ["lookup"]}).run([dossier, *lookups])


def run_draining_target() -> dict[str, Any]:
    """An engine drains during a generation."""
    services = _make_targets(generate=2)
    services["generate"][0].drains_at = 0.5
    asked = [
        SessionRequest(
            at=round(0.1 * number, 2),
            entry="entry-1",
            organisation="bureau",
            pipeline="subtitle",
            text=f"line {number} " * 100,
        )
        for number in range(10)
    ]
    return Session(services, {"subtitle": ["generate"]}).run(asked)


def run_crashed_entry() -> dict[str, Any]:
    """An entry crashes with jobs in each phase; the caller retries at another entry."""
    services = _make_targets(terminal=1)
    services["terminal"][0].base_seconds = 0.05
    sent_at = {"before the claim": 0.999, "claimed": 0.997, "running": 0.98, "finished": 0.8}
    first = [
        SessionRequest(
            at=at, entry="entry-1", organisation="florists", pipeline="refund", text=key, key=key
        )
        for key, at in sent_at.items()
    ]
    again = [
        SessionRequest(
            at=1.5, entry="entry-2", organisation="florists", pipeline="refund", text=key, key=key
        )
        for key in sent_at
    ]
    return Session(services, {"refund": ["terminal"]}).run([*first, *again], {"entry-1": 1.0})


SESSIONS: dict[str, Callable[[], dict[str, Any]]] = {
    "closing-time": run_closing_time,
    "hearing": run_hearing,
    "leaving-target": run_draining_target,
    "lost-entry": run_crashed_entry,
}


def render(transcript: dict[str, Any]) -> str:
    """Return a transcript as text, one line each item."""
    parts = []
    for name, items in transcript.items():
        lines = ",\n".join(f"    {json.dumps(item)}" for item in items)
        parts.append(f'  "{name}": [\n{lines}\n  ]')
    return "{\n" + ",\n".join(parts) + "\n}\n"


if __name__ == "__main__":
    for session_name, run in SESSIONS.items():
        (GOLDEN / f"{session_name}.json").write_text(render(run()))
