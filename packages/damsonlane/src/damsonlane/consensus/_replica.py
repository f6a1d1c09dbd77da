"""One Raft replica as a state machine from events to outputs.

The algorithm is that of Ongaro and Ousterhout ("In Search of an Understandable
Consensus Algorithm", 2014) with pre-votes (called trials in the messages),
learners and membership changes of one member at a time.  The caller passes in
time and randomness.
"""

import random
from collections.abc import Sequence
from typing import Final

from damsonlane.consensus._changes import add_learner, demote_voter, remove_member
from damsonlane.consensus._election import Election, Standing
from damsonlane.consensus._followers import find_majority
from damsonlane.consensus._log import Log
from damsonlane.consensus._messages import (
    AppendReply,
    Body,
    Envelope,
    LogEntry,
    Member,
    Members,
    Message,
    Noop,
    Opaque,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from damsonlane.consensus._outbox import Outbox
from damsonlane.consensus._output import Output
from damsonlane.consensus._reads import WaitingReads
from damsonlane.consensus._receiver import LogReceiver
from damsonlane.consensus._replication import ENTRIES_PER_MESSAGE, Replication
from damsonlane.consensus._stored import PersistentState
from damsonlane.errors import GroupChangeError, NotLeaderError


class Replica:
    """A replica of the group.

    Call its methods from one thread, and carry out each output that they return.

    Args:
        cluster: identity of the group.
        name: name of this replica.
        stored: the persistent state on its disk.
        election_seconds: shortest time without a leader before an election.
        randomness: source of election timeouts.
        now: current time of the local clock, in seconds.
        entries_per_message: maximum number of entries in one message.
    """

    def __init__(
        self,
        *,
        cluster: str,
        name: str,
        stored: PersistentState,
        election_seconds: float,
        randomness: random.Random,
        now: float,
        entries_per_message: int = ENTRIES_PER_MESSAGE,
    ) -> None:
        self.cluster: Final = cluster
        self.name: Final = name
        self._now = now
        self._election_due = now
        self._log: Final = Log(stored.snapshot, stored.entries)
        self._outbox: Final = Outbox(
            cluster=cluster, sender=name, unsynced_from=self._log.last_index + 1
        )
        self._election: Final = Election(
            name=name,
            hard_state=stored.hard_state,
            log=self._log,
            outbox=self._outbox,
            election_seconds=election_seconds,
            randomness=randomness,
            schedule=self._schedule_election,
            on_win=self._start_leading,
            on_step_down=self._stop_leading,
        )
        self._replication: Final = Replication(
            name=name,
            log=self._log,
            outbox=self._outbox,
            election_seconds=election_seconds,
            entries_per_message=entries_per_message,
        )
        self._receiver: Final = LogReceiver(
            name=name, log=self._log, outbox=self._outbox, election=self._election
        )
        self._reads: Final = WaitingReads()
        self._synced = self._log.last_index

    # Queries.

    @property
    def term(self) -> int:
        """The current term."""
        return self._election.term

    @property
    def voted_for(self) -> str:
        """Name of the replica that has this one's vote in the term, or an empty string."""
        return self._election.voted_for

    @property
    def standing(self) -> Standing:
        """The part of this replica in the term."""
        return self._election.standing

    @property
    def leader(self) -> str:
        """Name of the leader, or an empty string if it is not known."""
        return self._election.leader

    @property
    def commit(self) -> int:
        """Index of the last entry that is known to be committed."""
        return self._log.commit

    @property
    def members(self) -> Members:
        """Latest members in the log, committed or not."""
        return self._log.members

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._log.last_index

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry inside the snapshot."""
        return self._log.snapshot.index

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it is the leader."""
        return self.standing == "leader"

    def leader_address(self) -> str:
        """Return the leader's address, or an empty string if it is not known."""
        return self.members.address_of(self.leader)

    def is_members_committed(self) -> bool:
        """Return whether the latest members are committed, so that no leader can undo them."""
        return self._log.is_members_committed()

    def match_index(self, replica: str) -> int:
        """Return the highest index known to be synced at a replica (leader only)."""
        return self._synced if replica == self.name else self._replication.match_of(replica)

    def state_age(self, now: float) -> float:
        """Return an upper bound on the staleness of the committed state, in seconds.

        Everything acknowledged longer ago than this is in the state.  At the leader
        the bound is the time since a quorum last replied.  A follower takes the bound
        from the last message of the leader that brought it up to date, and adds the
        time since then.  Infinite when neither is known.
        """
        if self.is_leader:
            return self._replication.state_age(now, self._now)
        return self._receiver.state_age(now)

    def seconds_since_reply(self, replica: str) -> float:
        """Return the seconds since a member last replied (leader only)."""
        if replica == self.name:
            return 0.0
        return self._now - self._replication.last_reply_at(replica)

    # Events.

    def tick(self, now: float) -> Output:
        """Advance the clock and start what is due: an election, heartbeats or the quorum check."""
        self._now = max(self._now, now)
        if self.is_leader:
            if not self._replication.tick(self._now, self.state_age(self._now)):
                self._step_down(self.term)
        elif self._now >= self._election_due:
            self._election.start_pre_vote()
        return self._take_output()

    def receive(self, now: float, envelope: Envelope) -> Output:
        """Process a message; one for another group or replica is ignored."""
        self._now = max(self._now, now)
        if envelope.cluster == self.cluster and envelope.receiver == self.name:
            self._receive(envelope.sender, envelope.message)
        return self._take_output()

    def propose(self, now: float, texts: Sequence[str]) -> tuple[Output, tuple[LogEntry, ...]]:
        """Append commands as the leader.

        Returns:
            The output and the new entries.  A command is committed only once an output
            contains its entry as committed, with the same index and term.

        Raises:
            NotLeaderError: this replica is not the leader.
        """
        self._require_leader(now)
        entries = tuple(self._append(Opaque(text=text)) for text in texts)
        self._broadcast()
        return self._take_output(), entries

    def read(self, now: float, reference: int) -> Output:
        """Start a linearizable read, confirmed by a round of messages to a quorum.

        Args:
            now: current time of the local clock, in seconds.
            reference: identifies the read in the output that completes or fails it.

        Raises:
            NotLeaderError: this replica is not the leader.
        """
        self._require_leader(now)
        self._replication.round += 1
        self._reads.add(self._round, reference)
        self._broadcast()
        self._answer_reads()
        return self._take_output()

    def add_learner(self, now: float, member: Member) -> Output:
        """Add a learner, which is promoted to voter once it holds every committed entry.

        Raises:
            NotLeaderError: this replica is not the leader.
            GroupChangeError: another membership change is in progress, or it is already a member.
        """
        self._require_change_allowed(now)
        self._change_members(add_learner(self.members, member))
        return self._take_output()

    def remove(self, now: float, replica: str) -> Output:
        """Remove a member; its vote stops counting at once.

        Raises:
            NotLeaderError: this replica is not the leader.
            GroupChangeError: another membership change is in progress, it is not a
                member, or it is the last voter.
        """
        self._require_change_allowed(now)
        self._change_members(remove_member(self.members, replica))
        return self._take_output()

    def demote(self, now: float, replica: str) -> Output:
        """Demote a voter to learner; it is promoted again once it replies.

        Raises:
            NotLeaderError: this replica is not the leader.
            GroupChangeError: another membership change is in progress, or it is not a
                voter, or the last one.
        """
        self._require_change_allowed(now)
        self._change_members(demote_voter(self.members, replica))
        return self._take_output()

    def leave(self) -> None:
        """Announce that the process of this replica is about to end.

        Once it is demoted, it no longer acknowledges entries, since the leader would promote it.
        """
        self._receiver.is_leaving = True

    def acknowledge_persist(self) -> Output:
        """Record that everything in the last output's `Persist` is synced."""
        self._synced = self._log.last_index
        if self.is_leader:
            self._advance_commit()
        return self._take_output()

    def compact(self, state: str, index: int) -> Snapshot:
        """Replace the log up to ``index`` by a snapshot of the state after that entry.

        Returns:
            The snapshot; the caller writes it to disk with the entries that follow it.

        Raises:
            GroupChangeError: the entry is not in the log.
        """
        snapshot = self._log.make_snapshot(index, state)
        self._log.compact(snapshot)
        return snapshot

    def persistent_state(self) -> PersistentState:
        """Return everything that the disk should hold now."""
        return self._log.persistent_state(self._election.hard_state)

    # Standing and messages.

    def _schedule_election(self, seconds: float) -> None:
        self._election_due = self._now + seconds

    def _start_leading(self) -> None:
        self._replication.start(self.term, self._now)
        self._append(Noop())
        self._broadcast()

    def _step_down(self, term: int) -> None:
        self._election.step_down(term, leader="")

    def _stop_leading(self) -> None:
        self._receiver.forget_age()
        self._outbox.failed.extend(self._reads.take_all())

    def _receive(self, sender: str, message: Message) -> None:
        if isinstance(message, VoteRequest):
            self._election.receive_request(sender, message, self._now)
        elif isinstance(message, VoteReply):
            self._election.receive_reply(sender, message)
        elif isinstance(message, AppendReply):
            self._receive_append_reply(sender, message)
        else:
            self._receiver.receive(sender, message, self._now)

    def _receive_append_reply(self, sender: str, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._step_down(reply.term)
            return
        is_current = self.is_leader and reply.term == self.term
        if not is_current or not self._replication.record_reply(sender, reply, self._now):
            return
        if reply.is_success:
            self._advance_commit()
            self._promote(sender)
        self._answer_reads()
        if self.is_leader:
            self._replication.send_missing(sender, self._now, self.state_age(self._now))

    # Leading.

    def _append(self, body: Body) -> LogEntry:
        entry = LogEntry(index=self._log.last_index + 1, term=self.term, body=body)
        self._log.append(entry)
        self._outbox.mark_unsynced(entry.index)
        return entry

    def _broadcast(self) -> None:
        self._replication.broadcast(self._now, self.state_age(self._now))

    def _advance_commit(self) -> None:
        reached = find_majority(self.members, self.match_index)
        # Raft: only entries of the leader's own term are committed by counting replicas.
        if reached > self.commit and self._log.term_at(reached) == self.term:
            self._raise_commit(reached)
            self._answer_reads()
            if not self.members.is_voter(self.name) and self.is_members_committed():
                self._step_down(self.term)

    def _raise_commit(self, index: int) -> None:
        self._log.raise_commit(index)

    @property
    def _round(self) -> int:
        return self._replication.round

    def _answer_reads(self) -> None:
        if self._log.term_at(self.commit) != self.term:
            return
        confirmed = find_majority(self.members, self._replication.round_of)
        self._outbox.ready.extend(self._reads.take_confirmed(confirmed, self.commit))

    # Membership changes.

    def _require_leader(self, now: float) -> None:
        self._now = max(self._now, now)
        if not self.is_leader:
            raise NotLeaderError(self.leader_address())

    def _require_change_allowed(self, now: float) -> None:
        self._require_leader(now)
        if not self._is_change_allowed():
            raise GroupChangeError("another change of the group is under way; try again shortly")

    def _is_change_allowed(self) -> bool:
        has_own_entry = self._log.term_at(self.commit) == self.term
        return has_own_entry and self.is_members_committed()

    def _change_members(self, members: Members) -> None:
        self._append(members)
        self._replication.update_members(self._now)
        self._broadcast()

    def _promote(self, replica: str) -> None:
        """Promote a learner to voter if it holds every committed entry."""
        if not self.members.is_learner(replica) or not self._is_change_allowed():
            return
        if self.match_index(replica) >= self.commit:
            self._change_members(self.members.with_promoted(replica))

    # Output.

    def _take_output(self) -> Output:
        self._synced = min(self._synced, self._outbox.unsynced_from - 1)
        return self._outbox.take_output(self._log, self._election.hard_state)
