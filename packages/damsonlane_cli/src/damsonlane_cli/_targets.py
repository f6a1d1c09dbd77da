"""``damsonlane targets``: shows the registered targets by service and version."""

from collections import Counter
from collections.abc import Sequence
from typing import Final

from damsonlane.targets import TargetRecord
from damsonlane_cli._context import OperatorSettings, call_control, print_rows
from damsonlane_rpc import ControlClient, QueryRequest, TargetsQuery, TargetsView

#: Time-out of calls to control, in seconds.
DEFAULT_SECONDS: Final = 10.0
#: What is shown of targets that report no version.
UNREPORTED: Final = "not reported"


class TargetCommands:
    """Show the registered targets."""

    def versions(self, json: bool = False) -> None:
        """Show how many targets of each service have each version of their software."""
        print_rows(count_versions(call_control(_read_targets)), json)

    def list(self, json: bool = False) -> None:
        """Show each target."""
        print_rows([_make_row(record) for record in call_control(_read_targets)], json)


def count_versions(records: Sequence[TargetRecord]) -> list[dict[str, object]]:
    """Return a row for each version of each service, with its targets by standing."""
    counts: dict[tuple[str, str], Counter[str]] = {}
    for record in records:
        counts.setdefault((record.service, record.version), Counter())[record.standing] += 1
    return [
        {
            "service": service,
            "version": version or UNREPORTED,
            "live": standings["live"],
            "leaving": standings["leaving"],
            "silent": standings["silent"],
        }
        for (service, version), standings in sorted(counts.items())
    ]


async def _read_targets(client: ControlClient, _: OperatorSettings) -> tuple[TargetRecord, ...]:
    reply = await client.query(QueryRequest(query=TargetsQuery()), DEFAULT_SECONDS)
    assert isinstance(reply.outcome, TargetsView)
    return reply.outcome.targets


def _make_row(record: TargetRecord) -> dict[str, object]:
    return {
        "target": record.target,
        "service": record.service,
        "version": record.version or UNREPORTED,
        "models": ",".join(f"{model.name}@{model.weights}" for model in record.models) or "-",
        "data centre": record.data_centre,
        "standing": record.standing,
        "address": record.address,
    }
