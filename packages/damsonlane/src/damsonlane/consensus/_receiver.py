"""Storing of what a leader sends to a replica."""

from collections.abc import Sequence
from typing import Final

from damsonlane.consensus._election import Election
from damsonlane.consensus._log import Log
from damsonlane.consensus._messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotRequest,
)
from damsonlane.consensus._outbox import Outbox


class LogReceiver:
    """Stores the entries and snapshots of the leader, and acknowledges them.

    Args:
        name: name of this replica.
        log: the log of this replica.
        outbox: collects the messages to send.
        election: its term and leader.
    """

    def __init__(self, *, name: str, log: Log, outbox: Outbox, election: Election) -> None:
        #: Whether the process of this replica is about to end.
        self.is_leaving = False
        self._name: Final = name
        self._log: Final = log
        self._outbox: Final = outbox
        self._election: Final = election
        self._current_as_of = float("-inf")

    def state_age(self, now: float) -> float:
        """Return an upper bound on the staleness of the committed state, in seconds."""
        return now - self._current_as_of if self._election.leader else float("inf")

    def forget_age(self) -> None:
        """Treat the state as stale until a leader brings it up to date."""
        self._current_as_of = float("-inf")

    def receive(self, sender: str, request: AppendRequest | SnapshotRequest, now: float) -> None:
        """Store the entries or the snapshot of the leader, unless its term is over."""
        if request.term < self._election.term:
            self._reply(sender, request.round, is_success=False, match=0)
            return
        self._election.record_leader_contact(sender, request.term, now)
        if isinstance(request, AppendRequest):
            self._receive_append(sender, request, now)
        else:
            self._receive_snapshot(sender, request)

    def _receive_append(self, sender: str, request: AppendRequest, now: float) -> None:
        snapshot_index = self._log.snapshot.index
        if request.previous_index < snapshot_index:
            # Entries inside the snapshot are committed and so match; append only later ones.
            entries = tuple(entry for entry in request.entries if entry.index > snapshot_index)
            reaches_snapshot = request.previous_index + len(request.entries) >= snapshot_index
            if not reaches_snapshot:
                self._reply(sender, request.round, is_success=True, match=snapshot_index)
                return
        elif self._log.term_at(request.previous_index) != request.previous_term:
            hint = min(request.previous_index - 1, self._log.last_index)
            self._reply(sender, request.round, is_success=False, match=hint)
            return
        else:
            entries = request.entries
        self._store_entries(entries)
        match = max(request.previous_index + len(request.entries), snapshot_index)
        self._log.raise_commit(min(request.commit, match))
        # A replica that lacks entries committed by the leader is staler than the leader says.
        if request.quorum_age is not None and self._log.commit >= request.commit:
            self._current_as_of = now - request.quorum_age
        self._reply(sender, request.round, is_success=True, match=match)

    def _store_entries(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            term = self._log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._log.truncate_from(entry.index)
            self._log.append(entry)
            self._outbox.mark_unsynced(entry.index)

    def _receive_snapshot(self, sender: str, request: SnapshotRequest) -> None:
        snapshot = request.snapshot
        if snapshot.index > self._log.commit:
            self._log.replace(snapshot)
            self._outbox.installed = snapshot
            self._outbox.unsynced_from = snapshot.index + 1
        match = max(snapshot.index, self._log.commit)
        self._reply(sender, request.round, is_success=True, match=match)

    def _reply(self, leader: str, number: int, *, is_success: bool, match: int) -> None:
        if is_success and self.is_leaving and not self._log.members.is_voter(self._name):
            return
        reply = AppendReply(
            term=self._election.term, is_success=is_success, match=match, round=number
        )
        self._outbox.send(leader, reply)
