"""Streams that push the document, targets, fleet and age of the state to entries."""

import asyncio
import contextlib
import logging
from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.membership import BoxRecord
from damsonlane.records import dataclass
from damsonlane.versions import SteadyVersion
from damsonlane_rpc import CALL_ERRORS, FOLLOW, FollowReport, FollowUpdate
from damsonlaned.control._node import ControlNode
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between messages that carry only the age of the state.  An entry must detect a
#: replica without a quorum well within the two seconds in which a document must take effect.
FRESHNESS_SECONDS: Final = 0.25


@dataclass(frozen=True, kw_only=True)
class _SentState:
    """What has been sent to an entry."""

    #: Version of the newest document that the entry holds.
    document_version: int
    #: Revision of the registry of targets that it holds.
    targets_revision: int
    #: Revision of its list of evacuated data centres.
    evacuations_revision: int
    #: Revision of its list of quarantined requests.
    quarantine_revision: int
    #: Revision of its list of rate limits.
    rate_limits_revision: int
    #: Entries that were sent last; None if none were.
    entries: tuple[BoxRecord, ...] | None = None
    #: Addresses of the control replicas that were sent last; None if none were.
    control: tuple[str, ...] | None = None


class FollowService:
    """Serves the entries that follow the state of this replica."""

    def __init__(self, node: ControlNode) -> None:
        self._node: Final = node

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of calls from entries, by path."""
        return {FOLLOW.path: FOLLOW.handler(self._follow)}

    async def _follow(self, stream: Stream[FollowReport, FollowUpdate]) -> None:
        report = await stream.recv_message()
        if report is None:
            return
        self._node.watchers.record(report.box, self._node.now())
        sender = start_task(self._push(stream, report), "stream to an entry")
        try:
            async for report in stream:
                self._node.watchers.record(report.box, self._node.now())
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sender

    async def _push(self, stream: Stream[FollowReport, FollowUpdate], report: FollowReport) -> None:
        sent = _SentState(
            document_version=report.box.version,
            targets_revision=report.targets_revision,
            evacuations_revision=report.evacuations_revision,
            quarantine_revision=report.quarantine_revision,
            rate_limits_revision=report.rate_limits_revision,
        )
        while True:
            update = self._make_update(sent)
            sent = _record_sent(sent, update)
            try:
                await stream.send_message(update)
            except CALL_ERRORS as error:
                _LOG.info(
                    "stream to entry failed", extra={"entry": report.box.box, "fault": str(error)}
                )
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._node.watchers.wait(), FRESHNESS_SECONDS)

    def _make_update(self, sent: _SentState) -> FollowUpdate:
        state = self._node.state
        document = state.documents.document
        targets = state.targets
        has_new_targets = targets.revision != sent.targets_revision
        evacuations = state.evacuations
        has_new_evacuations = evacuations.revision != sent.evacuations_revision
        quarantine = state.quarantine
        has_new_quarantine = quarantine.revision != sent.quarantine_revision
        limits = state.rate_limits
        has_new_rate_limits = limits.revision != sent.rate_limits_revision
        entries = state.membership.records()
        control = self._list_control_addresses()
        is_first = sent.entries is None
        return FollowUpdate(
            state_age=self._node.state_age(),
            document=document if document.version > sent.document_version else None,
            targets=targets.changes_after(sent.targets_revision) if has_new_targets else None,
            steady_versions=self._list_steady() if has_new_targets or is_first else None,
            evacuations=evacuations.list_for_entries() if has_new_evacuations else None,
            quarantine=quarantine.list_for_entries() if has_new_quarantine else None,
            rate_limits=limits.list_all() if has_new_rate_limits else None,
            entries=entries if entries != sent.entries else None,
            control=control if control != sent.control else None,
        )

    def _list_steady(self) -> tuple[SteadyVersion, ...]:
        return self._node.versions.list_steady(self._node.now())

    def _list_control_addresses(self) -> tuple[str, ...]:
        replica = self._node.replica
        return tuple(member.address for member in replica.members.voters) if replica else ()


def _record_sent(sent: _SentState, update: FollowUpdate) -> _SentState:
    if update.document is not None:
        sent = replace(sent, document_version=update.document.version)
    if update.targets is not None:
        sent = replace(sent, targets_revision=update.targets.revision)
    if update.evacuations is not None:
        sent = replace(sent, evacuations_revision=update.evacuations.revision)
    if update.quarantine is not None:
        sent = replace(sent, quarantine_revision=update.quarantine.revision)
    if update.rate_limits is not None:
        sent = replace(sent, rate_limits_revision=update.rate_limits.revision)
    if update.entries is not None:
        sent = replace(sent, entries=update.entries)
    if update.control is not None:
        sent = replace(sent, control=update.control)
    return sent
