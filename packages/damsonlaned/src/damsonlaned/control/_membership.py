"""Updates the replicated list of boxes from the reports that this replica receives."""

import asyncio
import contextlib
import logging
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane.membership import BoxRecord, RemoveBox, UpdateBox, is_plausible_capacity
from damsonlane_rpc import ControlClient, WatchReport
from damsonlaned.control._node import ControlNode
from damsonlaned.metrics import Metrics
from damsonlaned.tasks import start_task, stop_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between updates.
UPDATE_INTERVAL_SECONDS: Final = 0.5
#: Seconds without a report after which a box is removed.
BOX_TIMEOUT_SECONDS: Final = 6.0
#: Seconds of silence of a replica after which the leader removes the boxes that report to it.
REPLICA_TIMEOUT_SECONDS: Final = 10.0
#: Time-out of a commit, in seconds.
_COMMIT_TIMEOUT_SECONDS: Final = 5.0


class MembershipUpdater:
    """Adds boxes that report to this replica and removes those that stopped reporting.

    Only changes are committed: an unchanged report causes no call to the leader.

    Args:
        node: the control node.
        client: calls the leader.
        metrics: the metrics of the process.
    """

    def __init__(self, node: ControlNode, client: ControlClient, metrics: Metrics) -> None:
        self._metrics: Final = metrics
        #: Incarnations whose implausible capacity was logged, by box.
        self._logged: dict[str, str] = {}
        self._node: Final = node
        self._client: Final = client
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the updates."""
        self._task = start_task(self._run(), "updates of the list of boxes")

    async def stop(self) -> None:
        """Stop the updates."""
        if self._task is not None:
            await stop_task(self._task)
        self._client.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_SECONDS)
            commands = [*self._list_own_changes(), *self._list_removals_by_replica()]
            if commands:
                with contextlib.suppress(UnavailableError):
                    await self._client.submit(commands, _COMMIT_TIMEOUT_SECONDS)

    def _list_own_changes(self) -> list[UpdateBox | RemoveBox]:
        """Return the differences between the list and the reports received here."""
        commands: list[UpdateBox | RemoveBox] = []
        for received in self._node.watchers.list_reports(self._node.now()):
            report = received.report
            known = self._node.state.membership.record_of(report.box)
            if received.at >= BOX_TIMEOUT_SECONDS:
                self._node.watchers.forget(report.box)
                self._logged.pop(report.box, None)
                commands.append(
                    RemoveBox(
                        box=report.box,
                        incarnation=report.incarnation,
                        via=self._node.identity.replica,
                    )
                )
            elif known is None or not known.is_same_report(self._make_record(report)):
                commands.append(UpdateBox(record=self._make_record(report)))
        return commands

    def _list_removals_by_replica(self) -> list[UpdateBox | RemoveBox]:
        """Return the removals of boxes that report to a silent replica, if this one leads."""
        replica = self._node.replica
        if replica is None or not replica.is_leader:
            return []
        return [
            RemoveBox(box=record.box, incarnation=record.incarnation, via=record.via)
            for record in self._node.state.membership.records()
            if replica.seconds_since_reply(record.via) > REPLICA_TIMEOUT_SECONDS
        ]

    def _make_record(self, report: WatchReport) -> BoxRecord:
        return BoxRecord(
            box=report.box,
            incarnation=report.incarnation,
            started_at=report.started_at,
            data_centre=report.data_centre,
            address=report.address,
            standing="leaving" if report.is_leaving else "live",
            via=self._node.identity.replica,
            capacity=self._read_capacity(report),
            is_overloaded=report.is_overloaded,
            unreached=report.unreached,
        )

    def _read_capacity(self, report: WatchReport) -> float:
        """Return the reported capacity, or 0 if it is implausible; log that once an incarnation."""
        if is_plausible_capacity(report.capacity):
            return report.capacity
        if self._logged.get(report.box) != report.incarnation:
            self._logged[report.box] = report.incarnation
            self._metrics.ignored_capacities.inc({})
            _LOG.warning(
                "capacity of a box ignored",
                extra={"entry": report.box, "capacity": str(report.capacity)},
            )
        return 0.0
