"""A group of replicas with a simulated network and disks in memory."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from damsonlane.cluster import (
    ChangeAccepted,
    ChangeSettings,
    ClusterSnapshot,
    ClusterState,
    Reply,
    decode_command,
    encode_command,
)
from damsonlane.codec import decode_bytes, encode_text
from damsonlane.consensus import (
    EMPTY_SNAPSHOT,
    Envelope,
    HardState,
    LogEntry,
    Member,
    Members,
    Opaque,
    Output,
    Persist,
    PersistentState,
    Replica,
    Snapshot,
)
from damsonlane.consensus._followers import find_majority
from damsonlane.errors import GroupChangeError, NotLeaderError
from damsonlane.settings import Edit

ELECTION_SECONDS = 1.0
CLUSTER = "group"


class Fault(Enum):
    """Faults that can be injected, to show that the state machine test finds them."""

    NONE = "none"
    VOTE_BEFORE_SYNC = "messages are sent before the disk has synced"
    FORGET_CHANGE_IDS = "a snapshot loses the change ids"
    EMPTY_FOLDER_VOTES = "a replica with an erased disk votes under its old name"
    READ_WITHOUT_QUORUM = "a leader answers reads without confirmation by a quorum"
    CHANGE_WITHOUT_OWN_ENTRY = (
        "a membership change before an entry of the leader's own term is committed"
    )
    COMMIT_OLD_TERM = "an entry of an older term is committed by counting replicas"
    COUNT_UNSYNCED = "a leader counts its own entries before they are synced"
    OUTSIDER_AT_ONCE = "a replica erases its disk on a report of a leader that no quorum confirmed"
    LEAVES_UNANNOUNCED = "a replaced box ends without giving up its vote"
    VOTER_GIVEN_UP = "a silent voter is removed before another one has replaced it"


class _ReadsUnconfirmed(Replica):
    """Answers reads without confirmation by a quorum."""

    def _answer_reads(self) -> None:
        self._outbox.ready.extend(self._reads.take_confirmed(self._round, self.commit))


class _ChangesMembersTooEarly(Replica):
    """Changes members before an entry of its own term is committed."""

    def _is_change_allowed(self) -> bool:
        return self.is_members_committed()


class _CommitsOldTerms(Replica):
    """Commits entries of older terms by counting replicas."""

    def _advance_commit(self) -> None:
        self._raise_commit(find_majority(self.members, self.match_index))


class _CountsUnsynced(Replica):
    """Counts its own entries before they are synced."""

    def match_index(self, replica: str) -> int:
        return self.last_index if replica == self.name else super().match_index(replica)

    def _append(self, body: object) -> LogEntry:
        entry = super()._append(body)  # type: ignore[arg-type]
        self._advance_commit()
        return entry


_REPLICA_CLASSES: dict[Fault, type[Replica]] = {
    Fault.READ_WITHOUT_QUORUM: _ReadsUnconfirmed,
    Fault.CHANGE_WITHOUT_OWN_ENTRY: _ChangesMembersTooEarly,
    Fault.COMMIT_OLD_TERM: _CommitsOldTerms,
    Fault.COUNT_UNSYNCED: _CountsUnsynced,
}


@dataclass
class Disk:
    """State of a box that survives a crash."""

    stored: PersistentState = field(
        default_factory=lambda: PersistentState(hard_state=HardState(), snapshot=EMPTY_SNAPSHOT)
    )

    def write(self, persist: Persist) -> None:
        self.stored = self.stored.with_persist(persist)


@dataclass
class PendingRead:
    """A read that is not answered yet."""

    least_version: int
    index: int | None = None
    #: Called once the read is answered.
    on_answer: Callable[[], None] = lambda: None


class Box:
    """A box that runs one replica, with its disk, clock and applied state."""

    def __init__(self, group: "Group", name: str, stored: PersistentState | None = None) -> None:
        self.group = group
        self.name = name
        self.disk = Disk(stored) if stored else Disk()
        self.clock = 0.0
        self.is_frozen = False
        self.crashes_next = False
        self.replica: Replica | None = None
        self.state = ClusterState()
        self.applied = 0
        self.waiters: dict[int, tuple[int, ChangeSettings]] = {}
        self.reads: dict[int, PendingRead] = {}
        self.start()

    def start(self) -> None:
        stored = self.disk.stored
        shape = _REPLICA_CLASSES.get(self.group.fault, Replica)
        self.replica = shape(
            cluster=CLUSTER,
            name=self.name,
            stored=stored,
            election_seconds=ELECTION_SECONDS,
            randomness=self.group.randomness,
            now=self.clock,
            entries_per_message=self.group.entries_per_message,
        )
        self.state = ClusterState.from_text(stored.snapshot.state)
        self.applied = stored.snapshot.index
        self.waiters = {}
        self.reads = {}
        self.is_frozen = False

    def crash(self) -> None:
        self.replica = None
        self.crashes_next = False

    def is_up(self) -> bool:
        return self.replica is not None and not self.is_frozen

    def act(self, step: Callable[[Replica], Output]) -> None:
        """Take one step and carry out its output, crashing before the sync if `crashes_next`."""
        replica = self.replica
        if replica is not None and not self.is_frozen:
            self.carry_out(replica, step(replica))

    def carry_out(self, replica: Replica, output: Output) -> None:
        self.group.check_leader(replica)
        if self.group.fault in (Fault.VOTE_BEFORE_SYNC, Fault.COUNT_UNSYNCED):
            self.group.send(output.envelopes)
            if self.group.fault is Fault.COUNT_UNSYNCED:
                self._apply_all(output)
        if not output.persist.is_empty():
            if self.crashes_next:
                self.crash()
                return
            self.disk.write(output.persist)
            follow_up = replica.acknowledge_persist()
        else:
            follow_up = Output()
        self.group.send(output.envelopes)
        self._apply_all(output)
        if follow_up != Output():
            self.carry_out(replica, follow_up)

    def compact(self) -> None:
        if self.replica is None or self.is_frozen or self.applied <= self.replica.snapshot_index:
            return
        text = self.state.to_text()
        if self.group.fault is Fault.FORGET_CHANGE_IDS:
            text = _drop_answers(text)
            self.state = ClusterState.from_text(text)
        self.replica.compact(text, self.applied)
        self.disk.stored = self.replica.persistent_state()

    def _apply_all(self, output: Output) -> None:
        if output.installed is not None:
            self.state = ClusterState.from_text(output.installed.state)
            self.applied = output.installed.index
        for entry in output.committed:
            if entry.index == self.applied + 1:
                self._apply(entry)
        for ready in output.reads:
            if ready.reference in self.reads:
                self.reads[ready.reference].index = ready.index
        for reference in output.failed_reads:
            self.reads.pop(reference, None)
        self._answer_reads()

    def _apply(self, entry: LogEntry) -> None:
        self.group.check_committed(entry)
        self.applied = entry.index
        if not isinstance(entry.body, Opaque):
            return
        reply = self.state.apply(decode_command(entry.body.text))
        term, command = self.waiters.pop(entry.index, (0, None))
        if command is not None and term == entry.term:
            self.group.check_reply(command, reply)

    def _answer_reads(self) -> None:
        for reference, read in list(self.reads.items()):
            if read.index is not None and self.applied >= read.index and reference in self.reads:
                del self.reads[reference]
                self.group.check_read(read, self.state.settings.version)
                read.on_answer()


class Group:
    """All boxes, the messages in transit, and the replies that clients received."""

    def __init__(self, size: int, fault: Fault, seed: int) -> None:
        self.fault = fault
        self.randomness = random.Random(seed)
        # With one entry per message, entries of different terms arrive separately.
        self.entries_per_message = self.randomness.choice([1, 512])
        self.flying: list[Envelope] = []
        self.cuts: set[tuple[str, str]] = set()
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, LogEntry] = {}
        self.accepted: dict[int, ChangeSettings] = {}
        self.answers: dict[str, Reply] = {}
        self.references = 0
        names = [f"box-{number}" for number in range(size)]
        members = Members(voters=tuple(Member(replica=n, address=n) for n in names))
        snapshot = Snapshot(index=1, term=1, members=members, state="")
        stored = PersistentState(hard_state=HardState(term=1), snapshot=snapshot)
        self.boxes = {name: Box(self, name, stored) for name in names}

    # Called by the boxes.

    def send(self, envelopes: tuple[Envelope, ...]) -> None:
        self.flying.extend(envelopes)
        del self.flying[:-400]

    def check_leader(self, replica: Replica) -> None:
        if replica.is_leader:
            known = self.leaders.setdefault(replica.term, replica.name)
            assert known == replica.name, f"two leaders in term {replica.term}"

    def check_committed(self, entry: LogEntry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f"entry {entry.index} was committed twice, differently"

    def check_reply(self, command: ChangeSettings, reply: Reply) -> None:
        known = self.answers.setdefault(command.change, reply)
        assert known == reply, f"change {command.change} got two different replies"
        if isinstance(reply, ChangeAccepted):
            known_change = self.accepted.setdefault(reply.version, command)
            assert known_change.change == command.change, "two changes produced the same version"

    def check_read(self, read: PendingRead, version: int) -> None:
        assert version >= read.least_version, (
            f"a read returned version {version} after {read.least_version} was accepted"
        )

    # Called by the tests.

    def last_accepted(self) -> int:
        return max(self.accepted, default=0)

    def deliver(self, envelope: Envelope) -> None:
        if (envelope.sender, envelope.receiver) in self.cuts:
            return
        box = self.boxes.get(envelope.receiver)
        if box is not None:
            box.act(lambda replica: replica.receive(box.clock, envelope))

    def pass_time(self, seconds: float) -> None:
        for box in list(self.boxes.values()):
            if not box.is_frozen:
                box.clock += seconds
            box.act(lambda replica, box=box: replica.tick(box.clock))  # type: ignore[misc]

    def settle(self, rounds: int, until: Callable[[], bool] = lambda: False) -> None:
        """Advance the clocks and deliver messages in order."""
        for _ in range(rounds):
            if until():
                return
            self.pass_time(ELECTION_SECONDS / 8)
            for _ in range(20):
                flying, self.flying = self.flying, []
                if not flying:
                    break
                for envelope in flying:
                    self.deliver(envelope)

    def propose(self, name: str, change: str, expected: int) -> None:
        box = self.boxes[name]
        replica = box.replica
        if replica is None or box.is_frozen:
            return
        edit = Edit(path="/policy/weight", value=1 + len(change))
        command = ChangeSettings(
            change=change, expected_version=expected, operator="o", at=0.0, edits=(edit,)
        )
        try:
            output, entries = replica.propose(box.clock, [encode_command(command)])
        except NotLeaderError:
            return
        box.waiters[entries[0].index] = (entries[0].term, command)
        box.carry_out(replica, output)

    def read(self, name: str, on_answer: Callable[[], None] = lambda: None) -> None:
        box = self.boxes[name]
        replica = box.replica
        if replica is None or box.is_frozen:
            return
        self.references += 1
        box.reads[self.references] = PendingRead(
            least_version=self.last_accepted(), on_answer=on_answer
        )
        try:
            output = replica.read(box.clock, self.references)
        except NotLeaderError:
            del box.reads[self.references]
            return
        box.carry_out(replica, output)

    def change_members(self, name: str, step: Callable[[Replica, float], Output]) -> bool:
        box = self.boxes[name]
        replica = box.replica
        if replica is None or box.is_frozen:
            return False
        try:
            output = step(replica, box.clock)
        except (NotLeaderError, GroupChangeError):
            return False
        box.carry_out(replica, output)
        return True

    def leader(self) -> Box | None:
        """Return the leader with the highest term, or None."""
        leading = [
            box
            for box in self.boxes.values()
            if box.is_up() and box.replica is not None and box.replica.is_leader
        ]
        return max(leading, key=lambda box: box.replica.term if box.replica else 0, default=None)

    def check(self) -> None:
        """Check the invariants of the applied state."""
        for box in self.boxes.values():
            history = box.state.settings.history()
            changes = [change.change for change in history]
            assert len(changes) == len(set(changes)), f"{box.name}: a change was applied twice"
            for applied in history:
                expected = self.accepted.get(applied.version)
                if expected is not None:
                    assert expected.change == applied.change, (
                        f"{box.name}: version {applied.version} differs from the accepted change"
                    )


def _drop_answers(text: str) -> str:
    snapshot = decode_bytes(text, ClusterSnapshot)
    settings = snapshot.settings
    emptied = type(settings)(
        version=settings.version, document=settings.document, history=settings.history
    )
    return encode_text(
        ClusterSnapshot(settings=emptied, jobs=snapshot.jobs, clock=snapshot.clock),
        ClusterSnapshot,
    )
