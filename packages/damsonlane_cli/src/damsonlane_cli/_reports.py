"""``damsonlane report``: costs, burn rates of error budgets, and reports from logs."""

import csv
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final

import pygal

from damsonlane.burn import (
    FINE_BUCKET_SECONDS,
    Burn,
    CompletionCount,
    Window,
    list_windows,
    measure_burn,
)
from damsonlane.settings import SettingsTree, check_tree
from damsonlane_cli._bound import report_bound
from damsonlane_cli._context import EXIT_INPUT, call_control, fail, print_rows
from damsonlane_cli._losses import report_losses
from damsonlane_cli._shares import report_shares
from damsonlane_rpc import (
    ControlClient,
    CostsQuery,
    CostsView,
    QueryRequest,
    SettingsQuery,
    SettingsView,
)

#: Time-out of queries, in seconds.
_QUERY_SECONDS: Final = 10.0
#: Number of fine buckets that a plot shows.
_PLOTTED_BUCKETS: Final = 60


class ReportCommands:
    """Reports from the counts that control stores, and from logs."""

    def losses(self, *files: str, format: str = "text") -> None:
        """Show in which step requests missed their latency objective, by route.

        Args:
            files: logs of the entries; standard input if there are none.
            format: text, json or csv.
        """
        _print(report_losses(files), format)

    def bound(self, *files: str, format: str = "text") -> None:
        """Show how many requests could have met their latency objective, by route.

        The bound is the best plan that knows all arrivals in advance.  The distance is the share
        of the requests that a shortage of targets does not explain.

        Args:
            files: logs of all entries; standard input if there are none.
            format: text, json or csv.
        """
        _print(report_bound(files), format)

    def shares(self, *files: str, service: str = "", format: str = "text") -> None:
        """Show share, use and wait by service and organisation, where shares are fair.

        Args:
            files: logs of the entries; standard input if there are none.
            service: show this service only.
            format: text, json or csv.
        """
        _print(report_shares(files, service), format)

    def cost(self, format: str = "text", organisation: str = "") -> None:
        """Show cost by organisation, pipeline, stage and outcome.

        Args:
            format: text, json or csv.
            organisation: show the costs of this organisation only.
        """
        view = call_control(lambda client, _: _query_costs(client))
        rows: list[dict[str, object]] = [
            {
                "organisation": total.organisation,
                "pipeline": total.pipeline,
                "stage": total.stage,
                "outcome": total.outcome,
                "attempts": total.attempts,
                "seconds": round(total.seconds, 3),
                "tokens": total.tokens,
            }
            for total in view.totals
            if not organisation or total.organisation == organisation
        ]
        _print(rows, format)

    def burn(self, format: str = "text", plot: str = "") -> None:
        """Show the burn rate of each pipeline's error budget, by time window and event.

        Args:
            format: text, json or csv.
            plot: file for a plot of attainment by minute, as SVG; empty for none.
        """
        view = call_control(lambda client, _: _query_costs(client))
        tree = _read_tree()
        rows = [_make_burn_row(burn) for burn in _measure_burns(view.endings, tree)]
        _print(rows, format)
        if plot:
            Path(plot).write_bytes(draw_attainment(view.endings, time.time()))


def _measure_burns(counts: Sequence[CompletionCount], tree: SettingsTree) -> list[Burn]:
    burns: list[Burn] = []
    for organisation, settings in tree.organisations.items():
        for pipeline in settings.pipelines:
            own = [c for c in counts if (c.organisation, c.pipeline) == (organisation, pipeline)]
            objective = tree.policy_of("", organisation, pipeline).objective
            for window in _list_all_windows(tree, f"{organisation}/{pipeline}"):
                burns.extend(measure_burn(own, window, objective))
    return burns


def _list_all_windows(tree: SettingsTree, pipeline: str) -> list[Window]:
    """Return the standard windows and one for each event of the pipeline."""
    events = [
        Window(name=f"event {name}", start=event.starts_at.timestamp(), end=event.ends_at())
        for name, event in tree.events.items()
        if pipeline in event.pipelines
    ]
    return [*list_windows(time.time()), *events]


def _make_burn_row(burn: Burn) -> dict[str, object]:
    return {
        "organisation": burn.organisation,
        "pipeline": burn.pipeline,
        "window": burn.window,
        "requests": burn.total,
        "attained %": round(100 * burn.attainment, 3),
        "burn": round(burn.rate, 2),
    }


def draw_attainment(counts: Sequence[CompletionCount], now: float) -> bytes:
    """Return a plot of attainment by minute as SVG, with one line for each pipeline.

    Args:
        counts: counts of completed requests.
        now: end of the plot, in seconds since 1970.
    """
    newest_start = int(now) - int(now) % FINE_BUCKET_SECONDS
    starts = [
        newest_start - FINE_BUCKET_SECONDS * back for back in range(_PLOTTED_BUCKETS - 1, -1, -1)
    ]
    chart = pygal.Line(
        title="Attainment by minute (%)",
        x_label_rotation=45,
        show_minor_x_labels=False,
        range=(0, 100),
        disable_xml_declaration=False,
    )
    chart.x_labels = [time.strftime("%H:%M", time.gmtime(start)) for start in starts]
    chart.x_labels_major = list(chart.x_labels)[::10]
    fine = [count for count in counts if count.length == FINE_BUCKET_SECONDS]
    for name in sorted({f"{count.organisation}/{count.pipeline}" for count in fine}):
        counts_by_start = {c.start: c for c in fine if f"{c.organisation}/{c.pipeline}" == name}
        chart.add(name, [_attained_percent(counts_by_start.get(start)) for start in starts])
    return bytes(chart.render())


def _attained_percent(count: CompletionCount | None) -> float | None:
    return 100.0 * count.attained / count.total if count else None


def _read_tree() -> SettingsTree:
    view = call_control(lambda client, _: _query_settings(client))
    tree = check_tree(view.document)
    if isinstance(tree, SettingsTree):
        return tree
    return fail(tree[0].render(), EXIT_INPUT)


async def _query_costs(client: ControlClient) -> CostsView:
    reply = await client.query(QueryRequest(query=CostsQuery()), _QUERY_SECONDS)
    assert isinstance(reply.outcome, CostsView)
    return reply.outcome


async def _query_settings(client: ControlClient) -> SettingsView:
    reply = await client.query(QueryRequest(query=SettingsQuery()), _QUERY_SECONDS)
    assert isinstance(reply.outcome, SettingsView)
    return reply.outcome


def _print(rows: Sequence[Mapping[str, Any]], format: str) -> None:
    if format == "csv":
        _print_csv(rows)
    elif format in ("text", "json"):
        print_rows(rows, format == "json")
    else:
        fail(f"unknown format '{format}'; use text, json or csv", EXIT_INPUT)


def _print_csv(rows: Sequence[Mapping[str, Any]]) -> None:
    if rows:
        writer = csv.DictWriter(sys.stdout, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
