"""Keeps the replicated list of boxes in step with what this replica hears."""

import asyncio
import contextlib
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane.membership import BoxRecord, LoseBox, NoteBox
from damsonlane_rpc import ControlClient, WatchReport
from damsonlaned.control._node import ControlNode
from damsonlaned.tasks import start_task

#: Seconds between looks.
LOOK_SECONDS: Final = 0.5
#: Seconds of silence after which a box is gone.
GONE_SECONDS: Final = 6.0
#: Seconds after which the leader gives up the boxes that a silent replica heard.
REPLICA_GONE_SECONDS: Final = 10.0
#: Seconds for which one command may take.
_CALL_SECONDS: Final = 5.0


class MembershipUpdater:
    """Notes boxes that this replica hears and gives up those it no longer hears.

    Only changes are committed: a box that keeps reporting costs the leader
    nothing.
    """

    def __init__(self, node: ControlNode, client: ControlClient) -> None:
        self._node: Final = node
        self._client: Final = client
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start looking."""
        self._task = start_task(self._run(), "keeping the list of boxes")

    async def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._client.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            commands = [*self._compare_own(), *self._compare_lost_replicas()]
            if commands:
                with contextlib.suppress(UnavailableError):
                    await self._client.submit(commands, _CALL_SECONDS)

    def _compare_own(self) -> list[NoteBox | LoseBox]:
        """Return what differs between the list and this replica's own sightings."""
        commands: list[NoteBox | LoseBox] = []
        for sighting in self._node.watchers.sightings(self._node.now()):
            report = sighting.report
            known = self._node.state.membership.record_of(report.box)
            if sighting.at >= GONE_SECONDS:
                self._node.watchers.forget(report.box)
                commands.append(
                    LoseBox(
                        box=report.box,
                        incarnation=report.incarnation,
                        via=self._node.identity.replica,
                    )
                )
            elif known is None or not known.says_as(self._record(report)):
                commands.append(NoteBox(record=self._record(report)))
        return commands

    def _compare_lost_replicas(self) -> list[NoteBox | LoseBox]:
        """Return, at the leader, the boxes that only a silent replica heard."""
        replica = self._node.replica
        if replica is None or not replica.is_leader:
            return []
        return [
            LoseBox(box=record.box, incarnation=record.incarnation, via=record.via)
            for record in self._node.state.membership.records()
            if replica.silence_of(record.via) > REPLICA_GONE_SECONDS
        ]

    def _record(self, report: WatchReport) -> BoxRecord:
        return BoxRecord(
            box=report.box,
            incarnation=report.incarnation,
            started_at=report.started_at,
            data_centre=report.data_centre,
            address=report.address,
            standing="leaving" if report.is_leaving else "live",
            via=self._node.identity.replica,
        )
