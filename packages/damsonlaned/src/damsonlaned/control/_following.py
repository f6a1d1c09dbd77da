"""Keeping entries informed: document, targets and fleet, with the age of what is said."""

import asyncio
import contextlib
import logging
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.membership import BoxRecord
from damsonlane_rpc import CALL_FAULTS, FOLLOW, FollowReport, FollowUpdate
from damsonlaned.control._node import ControlNode
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between messages that only say how fresh this replica is.  An entry
#: must notice a replica that lost touch well inside the two seconds in which a
#: document has to be in force.
FRESHNESS_SECONDS: Final = 0.25


@dataclass(frozen=True, kw_only=True)
class _Told:
    """What an entry has been told."""

    #: Version of the newest document that it has.
    document_version: int
    #: Revision of the registry of targets that it has.
    targets_revision: int
    #: Revision of the list of evacuated data centres that it has.
    evacuations_revision: int
    #: Revision of the list of requests that are kept from targets that it has.
    quarantine_revision: int
    #: Revision of the list of rate limits that it has.
    rate_limits_revision: int
    #: Entries as it was told last; None before that.
    entries: tuple[BoxRecord, ...] | None = None
    #: Addresses of the control replicas as it was told last; None before that.
    control: tuple[str, ...] | None = None


class FollowingService:
    """Serves the entries that follow this replica."""

    def __init__(self, node: ControlNode) -> None:
        self._node: Final = node

    def handlers(self) -> Mapping[str, Handler]:
        """Return the calls that entries make."""
        return {FOLLOW.path: FOLLOW.handler(self._follow)}

    async def _follow(self, stream: Stream[FollowReport, FollowUpdate]) -> None:
        report = await stream.recv_message()
        if report is None:
            return
        self._node.watchers.note(report.box, self._node.now())
        sender = start_task(self._push(stream, report), "informing an entry")
        try:
            async for report in stream:
                self._node.watchers.note(report.box, self._node.now())
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sender

    async def _push(self, stream: Stream[FollowReport, FollowUpdate], report: FollowReport) -> None:
        told = _Told(
            document_version=report.box.version,
            targets_revision=report.targets_revision,
            evacuations_revision=report.evacuations_revision,
            quarantine_revision=report.quarantine_revision,
            rate_limits_revision=report.rate_limits_revision,
        )
        while True:
            update = self._make_update(told)
            told = _note_told(told, update)
            try:
                await stream.send_message(update)
            except CALL_FAULTS as error:
                _LOG.info("entry left", extra={"entry": report.box.box, "fault": str(error)})
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._node.watchers.wait(), FRESHNESS_SECONDS)

    def _make_update(self, told: _Told) -> FollowUpdate:
        state = self._node.state
        document = state.documents.document
        targets = state.targets
        is_new = targets.revision != told.targets_revision
        evacuations = state.evacuations
        is_moved = evacuations.revision != told.evacuations_revision
        quarantine = state.quarantine
        is_renewed = quarantine.revision != told.quarantine_revision
        limits = state.rate_limits
        is_limited = limits.revision != told.rate_limits_revision
        entries = state.membership.records()
        control = self._control_addresses()
        return FollowUpdate(
            state_age=self._node.state_age(),
            document=document if document.version > told.document_version else None,
            targets=targets.changes_after(told.targets_revision) if is_new else None,
            evacuations=evacuations.list_for_entries() if is_moved else None,
            quarantine=quarantine.list_for_entries() if is_renewed else None,
            rate_limits=limits.list_all() if is_limited else None,
            entries=entries if entries != told.entries else None,
            control=control if control != told.control else None,
        )

    def _control_addresses(self) -> tuple[str, ...]:
        replica = self._node.replica
        return tuple(member.address for member in replica.members.voters) if replica else ()


def _note_told(told: _Told, update: FollowUpdate) -> _Told:
    if update.document is not None:
        told = replace(told, document_version=update.document.version)
    if update.targets is not None:
        told = replace(told, targets_revision=update.targets.revision)
    if update.evacuations is not None:
        told = replace(told, evacuations_revision=update.evacuations.revision)
    if update.quarantine is not None:
        told = replace(told, quarantine_revision=update.quarantine.revision)
    if update.rate_limits is not None:
        told = replace(told, rate_limits_revision=update.rate_limits.revision)
    if update.entries is not None:
        told = replace(told, entries=update.entries)
    if update.control is not None:
        told = replace(told, control=update.control)
    return told
