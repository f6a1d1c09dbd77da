"""``damsonlane report``: cost by stage."""

import csv
import sys
from typing import Final

from damsonlane_rpc import ControlClient, CostsQuery, CostsView, QueryRequest

from damsonlane_cli._context import EXIT_INPUT, call_control, fail, print_rows

_SECONDS: Final = 10.0


class ReportCommands:
    """Reports from durable counts."""

    def cost(self, format: str = "text", organisation: str = "") -> None:
        """Show cost by organisation, pipeline, stage and outcome.

        Args:
            format: text, json or csv.
            organisation: show only this one.
        """
        view = call_control(lambda client, _: _query(client))
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
        if format == "csv":
            _print_csv(rows)
        elif format in ("text", "json"):
            print_rows(rows, format == "json")
        else:
            fail(f"no format '{format}'; known are text, json and csv", EXIT_INPUT)


async def _query(client: ControlClient) -> CostsView:
    reply = await client.query(QueryRequest(query=CostsQuery()), _SECONDS)
    assert isinstance(reply.outcome, CostsView)
    return reply.outcome


def _print_csv(rows: list[dict[str, object]]) -> None:
    if rows:
        writer = csv.DictWriter(sys.stdout, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
