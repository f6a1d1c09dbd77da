"""One Raft replica as a state machine from events to outputs.

The algorithm is that of Ongaro and Ousterhout ("In Search of an Understandable
Consensus Algorithm", 2014) with pre-votes (called trials in the messages),
learners and membership changes of one member at a time.  The caller passes in
time and randomness.
"""

import random
from collections.abc import Sequence
from typing import Final, Literal

from damsonlane.consensus._followers import Followers, Progress, find_majority
from damsonlane.consensus._log import Log
from damsonlane.consensus._messages import (
    AppendReply,
    AppendRequest,
    Body,
    Envelope,
    HardState,
    LogEntry,
    Member,
    Members,
    Message,
    Noop,
    Opaque,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from damsonlane.consensus._outbox import Outbox
from damsonlane.consensus._output import Output, Persist
from damsonlane.consensus._reads import WaitingReads
from damsonlane.consensus._stored import PersistentState
from damsonlane.errors import GroupChangeError, NotLeaderError

#: Heartbeats that a leader sends per election timeout.
HEARTBEATS_PER_ELECTION: Final = 4
#: Bounds of the first election timeout after a start, as fractions of the election time.
#: It is shorter than later ones, since after a crash of the whole group there is no leader
#: to wait for.  The pre-vote prevents a restarted replica from disturbing a leader that
#: the others can reach.
INITIAL_ELECTION_RANGE: Final = (0.1, 0.6)
#: Maximum number of entries in one message.
ENTRIES_PER_MESSAGE: Final = 512
#: Heartbeat intervals without a reply after which a snapshot is sent again.
SNAPSHOT_RETRY_HEARTBEATS: Final = 20

Standing = Literal["follower", "trial", "candidate", "leader"]


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
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.standing: Standing = "follower"
        self.leader = ""
        self.commit = stored.snapshot.index
        self._log = Log(stored.snapshot, stored.entries)
        self._applied = stored.snapshot.index
        self._synced = self._log.last_index
        self._election_seconds = election_seconds
        self._randomness = randomness
        self._entries_per_message = entries_per_message
        self._now = now
        self._leader_contact_at = float("-inf")
        self._has_known_leader = False
        self._current_as_of = float("-inf")
        self._election_due = 0.0
        self._heartbeat_due = 0.0
        self._quorum_check_due = 0.0
        self._votes: set[str] = set()
        self._is_leaving = False
        self._followers = Followers()
        self._round = 0
        self._reads = WaitingReads()
        self._outbox = self._make_outbox()
        self._reset_election()

    # Queries.

    @property
    def members(self) -> Members:
        """Latest members in the log, committed or not."""
        entry = self._log.members_entry()
        if entry is not None and isinstance(entry.body, Members):
            return entry.body
        return self._log.snapshot.members

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
        for member in self.members.all_members():
            if member.replica == self.leader:
                return member.address
        return ""

    def is_members_committed(self) -> bool:
        """Return whether the latest members are committed, so that no leader can undo them."""
        entry = self._log.members_entry()
        return entry is None or entry.index <= self.commit

    def match_index(self, replica: str) -> int:
        """Return the highest index known to be synced at a replica (leader only)."""
        if replica == self.name:
            return self._synced
        progress = self._followers.find(replica)
        return progress.match if progress else 0

    def state_age(self, now: float) -> float:
        """Return an upper bound on the staleness of the committed state, in seconds.

        Everything acknowledged longer ago than this is in the state.  At the leader
        the bound is the time since a quorum last replied.  A follower takes the bound
        from the last message of the leader that brought it up to date, and adds the
        time since then.  Infinite when neither is known.
        """
        if self.is_leader:
            if self._log.term_at(self.commit) != self.term:
                return float("inf")
            return now - self._followers.quorum_contact_at(self.members, self.name, self._now)
        return now - self._current_as_of if self.leader else float("inf")

    def seconds_since_reply(self, replica: str) -> float:
        """Return the seconds since a member last replied (leader only)."""
        if replica == self.name:
            return 0.0
        progress = self._followers.find(replica)
        return self._now - progress.last_reply_at if progress else float("inf")

    # Events.

    def tick(self, now: float) -> Output:
        """Advance the clock and start what is due: an election, heartbeats or the quorum check."""
        self._now = max(self._now, now)
        if self.standing == "leader":
            self._tick_leader()
        elif self._now >= self._election_due:
            self._start_pre_vote()
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
        self._now = max(self._now, now)
        self._require_leader()
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
        self._now = max(self._now, now)
        self._require_leader()
        self._round += 1
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
        self._now = max(self._now, now)
        self._require_change_allowed()
        if any(known.replica == member.replica for known in self.members.all_members()):
            raise GroupChangeError(f"replica '{member.replica}' is a member already")
        self._change_members(self.members.with_learner(member))
        return self._take_output()

    def remove(self, now: float, replica: str) -> Output:
        """Remove a member; its vote stops counting at once.

        Raises:
            NotLeaderError: this replica is not the leader.
            GroupChangeError: another membership change is in progress, it is not a
                member, or it is the last voter.
        """
        self._now = max(self._now, now)
        self._require_change_allowed()
        members = self.members
        if not any(known.replica == replica for known in members.all_members()):
            raise GroupChangeError(f"replica '{replica}' is not a member")
        if members.is_voter(replica) and len(members.voters) == 1:
            raise GroupChangeError(f"replica '{replica}' is the last voter")
        self._change_members(members.without(replica))
        return self._take_output()

    def demote(self, now: float, replica: str) -> Output:
        """Demote a voter to learner; it is promoted again once it replies.

        Raises:
            NotLeaderError: this replica is not the leader.
            GroupChangeError: another membership change is in progress, or it is not a
                voter, or the last one.
        """
        self._now = max(self._now, now)
        self._require_change_allowed()
        members = self.members
        if not members.is_voter(replica):
            raise GroupChangeError(f"replica '{replica}' is not a voter")
        if len(members.voters) == 1:
            raise GroupChangeError(f"replica '{replica}' is the last voter")
        self._change_members(members.with_demoted(replica))
        return self._take_output()

    def leave(self) -> None:
        """Announce that the process of this replica is about to end.

        Once it is demoted, it no longer acknowledges entries, since the leader would promote it.
        """
        self._is_leaving = True

    def acknowledge_persist(self) -> Output:
        """Record that everything in the last output's `Persist` is synced."""
        self._synced = self._log.last_index
        if self.standing == "leader":
            self._advance_commit()
        return self._take_output()

    def compact(self, state: str, index: int) -> Snapshot:
        """Replace the log up to ``index`` by a snapshot of the state after that entry.

        Returns:
            The snapshot; the caller writes it to disk with the entries that follow it.

        Raises:
            GroupChangeError: the entry is not in the log.
        """
        term = self._log.term_at(index)
        if term is None:
            raise GroupChangeError(f"entry {index} is not in the log")
        members = self._log.members_at(index)
        snapshot = Snapshot(index=index, term=term, members=members, state=state)
        self._log.compact(snapshot)
        return snapshot

    def persistent_state(self) -> PersistentState:
        """Return everything that the disk should hold now."""
        return PersistentState(
            hard_state=HardState(term=self.term, voted_for=self.voted_for),
            snapshot=self._log.snapshot,
            entries=self._log.between(self._log.snapshot.index + 1, self._log.last_index),
        )

    # Elections.

    def _start_pre_vote(self) -> None:
        self.leader = ""
        if not self._may_campaign():
            self._reset_election()
            return
        self.standing = "trial"
        self._votes = {self.name}
        self._reset_election()
        self._request_votes(self.term + 1, is_trial=True)
        self._count_votes()

    def _may_campaign(self) -> bool:
        """Return whether this replica is a voter, or was before an uncommitted change.

        A replica that an uncommitted change removes may have the longest log, in
        which case nobody else can be elected.  Only votes of the new members count,
        so its own does not.
        """
        entry = self._log.members_entry()
        if self.members.is_voter(self.name) or entry is None or entry.index <= self.commit:
            return self.members.is_voter(self.name)
        return self._log.members_at(entry.index - 1).is_voter(self.name)

    def _start_election(self) -> None:
        self.standing = "candidate"
        self.term += 1
        self.voted_for = self.name
        self._outbox.has_new_hard_state = True
        self._votes = {self.name}
        self._reset_election()
        self._request_votes(self.term, is_trial=False)
        self._count_votes()

    def _request_votes(self, term: int, *, is_trial: bool) -> None:
        request = VoteRequest(
            term=term,
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            is_trial=is_trial,
        )
        for member in self.members.voters:
            self._outbox.send(member.replica, request)

    def _count_votes(self) -> None:
        granted = sum(1 for member in self.members.voters if member.replica in self._votes)
        if granted < self.members.quorum():
            return
        if self.standing == "trial":
            self._start_election()
        elif self.standing == "candidate":
            self._become_leader()

    def _become_leader(self) -> None:
        self.standing = "leader"
        self.leader = self.name
        self._has_known_leader = True
        self._followers.clear()
        self._update_followers()
        self._append(Noop())
        self._quorum_check_due = self._now + self._election_seconds
        self._heartbeat_due = self._now + self._election_seconds / HEARTBEATS_PER_ELECTION
        self._broadcast()

    def _step_down(self, term: int, leader: str = "") -> None:
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._outbox.has_new_hard_state = True
        self.standing = "follower"
        self.leader = leader
        self._current_as_of = float("-inf")
        self._outbox.failed.extend(self._reads.take_all())
        self._reset_election()

    def _reset_election(self) -> None:
        low, high = (1.0, 2.0) if self._has_known_leader else INITIAL_ELECTION_RANGE
        share = self._randomness.uniform(low, high)
        self._election_due = self._now + share * self._election_seconds

    # Messages.

    def _receive(self, sender: str, message: Message) -> None:
        if isinstance(message, VoteRequest):
            self._receive_vote_request(sender, message)
        elif isinstance(message, VoteReply):
            self._receive_vote_reply(sender, message)
        elif isinstance(message, AppendReply):
            self._receive_append_reply(sender, message)
        elif message.term < self.term:
            self._reply_append(sender, message.round, is_success=False, match=0)
        else:
            self._record_leader_contact(sender, message.term)
            if isinstance(message, AppendRequest):
                self._receive_append(sender, message)
            else:
                self._receive_snapshot(sender, message)

    def _receive_vote_request(self, sender: str, request: VoteRequest) -> None:
        if request.is_trial:
            self._receive_pre_vote(sender, request)
            return
        if request.term > self.term:
            self._step_down(request.term)
        is_granted = (
            request.term == self.term
            and self.voted_for in ("", sender)
            and self._is_log_up_to_date(request)
        )
        if is_granted:
            self.voted_for = sender
            self._outbox.has_new_hard_state = True
            self._reset_election()
        self._outbox.send(sender, VoteReply(term=self.term, is_granted=is_granted, is_trial=False))

    def _receive_pre_vote(self, sender: str, request: VoteRequest) -> None:
        has_leader = self.is_leader or (
            self._now - self._leader_contact_at < self._election_seconds and self.leader != ""
        )
        is_granted = (
            request.term > self.term and self._is_log_up_to_date(request) and not has_leader
        )
        term = request.term if is_granted else self.term
        self._outbox.send(sender, VoteReply(term=term, is_granted=is_granted, is_trial=True))

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        own = (self._log.last_term, self._log.last_index)
        return (request.last_term, request.last_index) >= own

    def _receive_vote_reply(self, sender: str, reply: VoteReply) -> None:
        if not reply.is_granted:
            if reply.term > self.term:
                self._step_down(reply.term)
            return
        expected = self.term + 1 if reply.is_trial else self.term
        wanted: Standing = "trial" if reply.is_trial else "candidate"
        if self.standing == wanted and reply.term == expected:
            self._votes.add(sender)
            self._count_votes()

    def _record_leader_contact(self, sender: str, term: int) -> None:
        if term > self.term or self.standing != "follower":
            self._step_down(term, sender)
        self.leader = sender
        self._has_known_leader = True
        self._leader_contact_at = self._now
        self._reset_election()

    def _receive_append(self, sender: str, request: AppendRequest) -> None:
        snapshot_index = self._log.snapshot.index
        if request.previous_index < snapshot_index:
            # Entries inside the snapshot are committed and so match; append only later ones.
            entries = tuple(entry for entry in request.entries if entry.index > snapshot_index)
            reaches_snapshot = request.previous_index + len(request.entries) >= snapshot_index
            if not reaches_snapshot:
                self._reply_append(sender, request.round, is_success=True, match=snapshot_index)
                return
        elif self._log.term_at(request.previous_index) != request.previous_term:
            hint = min(request.previous_index - 1, self._log.last_index)
            self._reply_append(sender, request.round, is_success=False, match=hint)
            return
        else:
            entries = request.entries
        self._store_entries(entries)
        match = max(request.previous_index + len(request.entries), snapshot_index)
        self._raise_commit(min(request.commit, match))
        # A replica that lacks entries committed by the leader is staler than the leader says.
        if request.quorum_age is not None and self.commit >= request.commit:
            self._current_as_of = self._now - request.quorum_age
        self._reply_append(sender, request.round, is_success=True, match=match)

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
        if snapshot.index > self.commit:
            self._log.replace(snapshot)
            self.commit = snapshot.index
            self._applied = snapshot.index
            self._outbox.installed = snapshot
            self._outbox.unsynced_from = snapshot.index + 1
        match = max(snapshot.index, self.commit)
        self._reply_append(sender, request.round, is_success=True, match=match)

    def _reply_append(self, leader: str, number: int, *, is_success: bool, match: int) -> None:
        if is_success and self._is_leaving and not self.members.is_voter(self.name):
            return
        reply = AppendReply(term=self.term, is_success=is_success, match=match, round=number)
        self._outbox.send(leader, reply)

    def _receive_append_reply(self, sender: str, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._step_down(reply.term)
            return
        progress = self._followers.find(sender)
        if self.standing != "leader" or reply.term < self.term or progress is None:
            return
        progress.last_reply_at = self._now
        progress.round = max(progress.round, reply.round)
        if reply.is_success:
            progress.match = max(progress.match, reply.match)
            progress.next_index = max(progress.next_index, progress.match + 1)
            progress.snapshot_at = float("-inf")
            self._advance_commit()
            self._promote(sender)
        else:
            progress.next_index = max(progress.match + 1, min(progress.next_index, reply.match + 1))
        self._answer_reads()
        if progress.next_index <= self._log.last_index and self.standing == "leader":
            self._send_append(sender, progress)

    # Leading.

    def _tick_leader(self) -> None:
        if self._now >= self._quorum_check_due:
            if not self._has_quorum_contact():
                self._step_down(self.term)
                return
            self._quorum_check_due = self._now + self._election_seconds
        if self._now < self._heartbeat_due:
            return
        interval = self._election_seconds / HEARTBEATS_PER_ELECTION
        self._heartbeat_due = self._now + interval
        self._followers.rewind_silent(self._now - 2 * interval)
        self._broadcast()

    def _has_quorum_contact(self) -> bool:
        since = self._now - self._election_seconds
        responsive = self._followers.count_responsive(self.members, self.name, since)
        return responsive >= self.members.quorum()

    def _append(self, body: Body) -> LogEntry:
        entry = LogEntry(index=self._log.last_index + 1, term=self.term, body=body)
        self._log.append(entry)
        self._outbox.mark_unsynced(entry.index)
        return entry

    def _broadcast(self) -> None:
        for replica in self._followers:
            progress = self._followers.find(replica)
            if progress is not None:
                self._send_append(replica, progress)

    def _send_append(self, replica: str, progress: Progress) -> None:
        previous = progress.next_index - 1
        previous_term = self._log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(replica, progress)
            return
        last = min(self._log.last_index, previous + self._entries_per_message)
        request = AppendRequest(
            term=self.term,
            previous_index=previous,
            previous_term=previous_term,
            entries=self._log.between(progress.next_index, last),
            commit=self.commit,
            round=self._round,
            quorum_age=self._find_quorum_age(),
        )
        progress.next_index = last + 1
        self._outbox.send(replica, request)

    def _find_quorum_age(self) -> float | None:
        age = self.state_age(self._now)
        return age if age < float("inf") else None

    def _send_snapshot(self, replica: str, progress: Progress) -> None:
        retry_interval = (
            SNAPSHOT_RETRY_HEARTBEATS * self._election_seconds / HEARTBEATS_PER_ELECTION
        )
        if self._now - progress.snapshot_at < retry_interval:
            return
        progress.snapshot_at = self._now
        snapshot = self._log.snapshot
        self._outbox.send(
            replica, SnapshotRequest(term=self.term, snapshot=snapshot, round=self._round)
        )

    def _advance_commit(self) -> None:
        reached = find_majority(self.members, self.match_index)
        # Raft: only entries of the leader's own term are committed by counting replicas.
        if reached > self.commit and self._log.term_at(reached) == self.term:
            self._raise_commit(reached)
            self._answer_reads()
            if not self.members.is_voter(self.name) and self.is_members_committed():
                self._step_down(self.term)

    def _raise_commit(self, index: int) -> None:
        self.commit = max(self.commit, index)

    def _answer_reads(self) -> None:
        if self._log.term_at(self.commit) != self.term:
            return
        confirmed = find_majority(self.members, self._round_of)
        self._outbox.ready.extend(self._reads.take_confirmed(confirmed, self.commit))

    def _round_of(self, replica: str) -> int:
        if replica == self.name:
            return self._round
        progress = self._followers.find(replica)
        return progress.round if progress else 0

    # Membership changes.

    def _require_leader(self) -> None:
        if self.standing != "leader":
            raise NotLeaderError(self.leader_address())

    def _require_change_allowed(self) -> None:
        self._require_leader()
        if not self._is_change_allowed():
            raise GroupChangeError("another change of the group is under way; try again shortly")

    def _is_change_allowed(self) -> bool:
        has_own_entry = self._log.term_at(self.commit) == self.term
        return has_own_entry and self.is_members_committed()

    def _change_members(self, members: Members) -> None:
        self._append(members)
        self._update_followers()
        self._broadcast()

    def _update_followers(self) -> None:
        next_index = self._log.last_index + 1
        self._followers.set_members(self.members, self.name, next_index, self._now)

    def _promote(self, replica: str) -> None:
        """Promote a learner to voter if it holds every committed entry."""
        if not self.members.is_learner(replica) or not self._is_change_allowed():
            return
        if self.match_index(replica) >= self.commit:
            self._change_members(self.members.with_promoted(replica))

    # Output.

    def _make_outbox(self) -> Outbox:
        return Outbox(
            cluster=self.cluster, sender=self.name, unsynced_from=self._log.last_index + 1
        )

    def _take_output(self) -> Output:
        outbox = self._outbox
        output = Output(
            persist=self._make_persist(outbox),
            envelopes=tuple(outbox.envelopes),
            installed=outbox.installed,
            committed=self._log.between(self._applied + 1, self.commit),
            reads=tuple(outbox.ready),
            failed_reads=tuple(outbox.failed),
        )
        self._applied = self.commit
        self._synced = min(self._synced, outbox.unsynced_from - 1)
        self._outbox = self._make_outbox()
        return output

    def _make_persist(self, outbox: Outbox) -> Persist:
        has_new = outbox.has_new_hard_state
        hard_state = HardState(term=self.term, voted_for=self.voted_for) if has_new else None
        entries = self._log.between(outbox.unsynced_from, self._log.last_index)
        return Persist(hard_state=hard_state, snapshot=outbox.installed, entries=entries)
