"""Updates the replicated list of boxes from the reports that this replica receives."""

import asyncio
import contextlib
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane.membership import BoxRecord, RemoveBox, UpdateBox
from damsonlane_rpc import ControlClient, WatchReport
from damsonlaned.control._node import ControlNode
from damsonlaned.tasks import start_task

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
    """

    def __init__(self, node: ControlNode, client: ControlClient) -> None:
        self._node: Final = node
        self._client: Final = client
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the updates."""
        self._task = start_task(self._run(), "updates of the list of boxes")

    async def stop(self) -> None:
        """Stop the updates."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
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
        )
