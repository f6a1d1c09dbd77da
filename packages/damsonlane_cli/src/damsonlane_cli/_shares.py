"""``damsonlane report shares``: share, use and wait by organisation, by the logs of the entries."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from damsonlane_cli._context import EXIT_INPUT, fail
from damsonlane_cli._losses import read_line, read_texts


@dataclass(kw_only=True)
class _Work:
    """Work of one organisation at one service, over all its owners; mutable."""

    #: Parts of the capacity that it was entitled to, one for each line in which it competed.
    shares: list[float] = field(default_factory=list)
    work: float = 0.0
    started: int = 0
    refused: int = 0
    excess: int = 0
    wait_seconds: float = 0.0


def report_shares(files: Sequence[str], service: str = "") -> list[dict[str, object]]:
    """Return a row for each service and organisation.

    Args:
        files: the logs; standard input if there are none.
        service: the only service to report; empty for all.
    """
    works = read_works(read_texts(files))
    rows = [
        row for name, by_name in sorted(works.items()) for row in _make_rows(name, by_name, service)
    ]
    if not rows:
        fail(
            "no shares of organisations in these logs; they are logged where gateway.fair_shares "
            "is set, by the entries that own pools and engines",
            EXIT_INPUT,
        )
    return rows


def read_works(texts: Iterable[str]) -> dict[str, dict[str, _Work]]:
    """Return the work by service and organisation; other log lines are ignored."""
    works: dict[str, dict[str, _Work]] = {}
    for text in texts:
        line = read_line(text)
        if line.get("message") != "organisation shares":
            continue
        by_name = works.setdefault(str(line.get("service", "")), {})
        for item in line.get("organisations", ()):
            _add(by_name.setdefault(str(item.get("organisation", "")), _Work()), item)
    return works


def _add(work: _Work, item: dict[str, Any]) -> None:
    if item.get("share") is not None:
        work.shares.append(float(item["share"]))
    work.work += float(item.get("work", 0.0))
    work.started += int(item.get("started", 0))
    work.refused += int(item.get("refused", 0))
    work.excess += int(item.get("excess", 0))
    work.wait_seconds += float(item.get("wait_seconds", 0.0))


def _make_rows(
    service: str, by_name: dict[str, _Work], only: str = ""
) -> Iterable[dict[str, object]]:
    """Yield a row for each organisation, the largest user first."""
    if only and service != only:
        return
    total = sum(work.work for work in by_name.values())
    for name, work in sorted(by_name.items(), key=lambda item: (-item[1].work, item[0])):
        asked = work.started + work.refused
        yield {
            "service": service,
            "organisation": name,
            # None while nobody had to give way.
            "least_share": round(min(work.shares), 4) if work.shares else None,
            "use": round(work.work / total, 4) if total else 0.0,
            "started": work.started,
            "refused": work.refused,
            "served": round(work.started / asked, 4) if asked else None,
            "beyond_share": work.excess,
            "mean_wait_seconds": round(work.wait_seconds / work.started, 3)
            if work.started
            else None,
        }
