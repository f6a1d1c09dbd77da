"""Replication of a leader's log to the other members."""

from typing import Final

from damsonlane.consensus._followers import Followers, Progress
from damsonlane.consensus._log import Log
from damsonlane.consensus._messages import AppendReply, AppendRequest, SnapshotRequest
from damsonlane.consensus._outbox import Outbox

#: Heartbeats that a leader sends per election timeout.
HEARTBEATS_PER_ELECTION: Final = 4
#: Maximum number of entries in one message.
ENTRIES_PER_MESSAGE: Final = 512
#: Heartbeat intervals without a reply after which a snapshot is sent again.
SNAPSHOT_RETRY_HEARTBEATS: Final = 20


class Replication:
    """Sends entries and snapshots to the other members, while this replica leads.

    Args:
        name: name of this replica.
        log: the log of this replica.
        outbox: collects the messages to send.
        election_seconds: shortest time without a leader before an election.
        entries_per_message: maximum number of entries in one message.
    """

    def __init__(
        self,
        *,
        name: str,
        log: Log,
        outbox: Outbox,
        election_seconds: float,
        entries_per_message: int,
    ) -> None:
        #: Number of the latest round of messages that confirms the leadership for reads.
        self.round = 0
        self._name: Final = name
        self._log: Final = log
        self._outbox: Final = outbox
        self._election_seconds: Final = election_seconds
        self._heartbeat_seconds: Final = election_seconds / HEARTBEATS_PER_ELECTION
        self._entries_per_message: Final = entries_per_message
        self._term = 0
        self._heartbeat_due = 0.0
        self._quorum_check_due = 0.0
        self._followers: Final = Followers()

    def start(self, term: int, now: float) -> None:
        """Begin to replicate as the leader of a term."""
        self._term = term
        self._followers.clear()
        self.update_members(now)
        self._quorum_check_due = now + self._election_seconds
        self._heartbeat_due = now + self._heartbeat_seconds

    def tick(self, now: float, quorum_age: float) -> bool:
        """Send heartbeats if they are due; arguments as of `broadcast`.

        Returns:
            False if no quorum replied within an election timeout, so that this replica may no
            longer lead; this is checked once in that time.
        """
        if now >= self._quorum_check_due:
            members = self._log.members
            since = now - self._election_seconds
            if self._followers.count_responsive(members, self._name, since) < members.quorum():
                return False
            self._quorum_check_due = now + self._election_seconds
        if now >= self._heartbeat_due:
            self._heartbeat_due = now + self._heartbeat_seconds
            self._followers.rewind_silent(now - 2 * self._heartbeat_seconds)
            self.broadcast(now, quorum_age)
        return True

    def update_members(self, now: float) -> None:
        """Replicate to the latest members in the log from now on."""
        next_index = self._log.last_index + 1
        self._followers.set_members(self._log.members, self._name, next_index, now)

    def match_of(self, replica: str) -> int:
        """Return the highest index known to be synced at another replica."""
        progress = self._followers.find(replica)
        return progress.match if progress else 0

    def last_reply_at(self, replica: str) -> float:
        """Return when a member last replied, or minus infinity if it is not tracked."""
        progress = self._followers.find(replica)
        return progress.last_reply_at if progress else float("-inf")

    def round_of(self, replica: str) -> int:
        """Return the latest round that a replica acknowledged."""
        if replica == self._name:
            return self.round
        progress = self._followers.find(replica)
        return progress.round if progress else 0

    def state_age(self, now: float, stepped_at: float) -> float:
        """Return the seconds since a quorum last replied, or infinity before the first commit.

        Args:
            now: current time of the local clock, in seconds.
            stepped_at: time of the latest step of this replica, which counts as its reply.
        """
        if self._log.term_at(self._log.commit) != self._term:
            return float("inf")
        members = self._log.members
        return now - self._followers.quorum_contact_at(members, self._name, stepped_at)

    def record_reply(self, sender: str, reply: AppendReply, now: float) -> bool:
        """Record a reply in the current term, and return whether its sender is a member."""
        progress = self._followers.find(sender)
        if progress is None:
            return False
        progress.last_reply_at = now
        progress.round = max(progress.round, reply.round)
        if reply.is_success:
            progress.match = max(progress.match, reply.match)
            progress.next_index = max(progress.next_index, progress.match + 1)
            progress.snapshot_at = float("-inf")
        else:
            progress.next_index = max(progress.match + 1, min(progress.next_index, reply.match + 1))
        return True

    def broadcast(self, now: float, quorum_age: float) -> None:
        """Send the next entries, or a heartbeat, to every other member.

        Args:
            now: current time of the local clock, in seconds.
            quorum_age: upper bound on the staleness of the committed state, in seconds.
        """
        for replica in self._followers:
            progress = self._followers.find(replica)
            if progress is not None:
                self._send_append(replica, progress, now, quorum_age)

    def send_missing(self, replica: str, now: float, quorum_age: float) -> None:
        """Send the next entries to a member that does not hold all of them.

        Args:
            replica: name of the member.
            now: current time of the local clock, in seconds.
            quorum_age: as of `broadcast`.
        """
        progress = self._followers.find(replica)
        if progress is not None and progress.next_index <= self._log.last_index:
            self._send_append(replica, progress, now, quorum_age)

    def _send_append(self, replica: str, progress: Progress, now: float, quorum_age: float) -> None:
        previous = progress.next_index - 1
        previous_term = self._log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(replica, progress, now)
            return
        last = min(self._log.last_index, previous + self._entries_per_message)
        request = AppendRequest(
            term=self._term,
            previous_index=previous,
            previous_term=previous_term,
            entries=self._log.between(progress.next_index, last),
            commit=self._log.commit,
            round=self.round,
            quorum_age=quorum_age if quorum_age < float("inf") else None,
        )
        progress.next_index = last + 1
        self._outbox.send(replica, request)

    def _send_snapshot(self, replica: str, progress: Progress, now: float) -> None:
        if now - progress.snapshot_at < SNAPSHOT_RETRY_HEARTBEATS * self._heartbeat_seconds:
            return
        progress.snapshot_at = now
        request = SnapshotRequest(term=self._term, snapshot=self._log.snapshot, round=self.round)
        self._outbox.send(replica, request)
