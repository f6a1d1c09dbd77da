"""Logs and counts the work of organisations at the pools and engines that this box owns."""

import logging
from collections.abc import Mapping
from typing import Final

from damsonlane.fairness import MAX_NAMES, OTHERS, UsageTotals, add_totals
from damsonlane.targets import Shard
from damsonlaned.metrics import Metrics

_LOG: Final = logging.getLogger(__name__)

#: Seconds between two log lines on one shard.
REPORT_SECONDS: Final = 5.0
#: Label of work without an organisation: of callers without a key, or of entries that send none.
UNNAMED: Final = "unnamed"


class ShareReporter:
    """Logs one line for each owned shard with named work every few seconds, and counts the work.

    Args:
        metrics: the metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics: Final = metrics
        self._labels: set[str] = set()
        self._totals: dict[Shard, dict[str, UsageTotals]] = {}
        self._logged_at = 0.0

    def record(self, usage: Mapping[Shard, Mapping[str, UsageTotals]], now: float) -> None:
        """Count the work of the last interval and log it if a line is due.

        Args:
            usage: the work of each organisation, by shard.
            now: the clock of the event loop, in seconds.
        """
        for shard, by_name in usage.items():
            for name, totals in by_name.items():
                label = self._find_label(name)
                self._count(shard.service, label, totals)
                sums = self._totals.setdefault(shard, {})
                sums[label] = add_totals(sums.get(label, UsageTotals()), totals)
        if now - self._logged_at >= REPORT_SECONDS:
            self._log()
            self._logged_at = now

    def _find_label(self, name: str) -> str:
        """Return the label of an organisation; the number of labels is bounded."""
        name = name or UNNAMED
        if name not in self._labels and len(self._labels) >= MAX_NAMES:
            return OTHERS
        self._labels.add(name)
        return name

    def _count(self, service: str, name: str, totals: UsageTotals) -> None:
        labels = {"service": service, "organisation": name}
        self._metrics.organisation_work.add(labels, totals.work)
        self._metrics.organisation_wait.add(labels, totals.wait_seconds)
        counts = {"started": totals.started, "refused": totals.refused, "excess": totals.excess}
        for outcome, count in counts.items():
            if count:
                self._metrics.organisation_items.add({**labels, "outcome": outcome}, count)

    def _log(self) -> None:
        for shard, by_name in self._totals.items():
            fields = {
                "service": shard.service,
                "shard": shard.index,
                "organisations": [
                    _make_fields(name, totals) for name, totals in sorted(by_name.items())
                ],
            }
            _LOG.info("organisation shares", extra=fields)
        self._totals.clear()


def _make_fields(name: str, totals: UsageTotals) -> dict[str, object]:
    return {
        "organisation": name,
        "share": None if totals.share is None else round(totals.share, 4),
        "work": round(totals.work, 4),
        "started": totals.started,
        "refused": totals.refused,
        "excess": totals.excess,
        "wait_seconds": round(totals.wait_seconds, 4),
    }
