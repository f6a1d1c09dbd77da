"""Hypothesis state machine that drives a group of replicas through faults."""

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from damsonlane.consensus import HardState, Member, Members, PersistentState, Snapshot
from damsonlane.consensus.tests.group import ELECTION_SECONDS, Box, Disk, Fault, Group

#: Maximum number of attempts to send a change after all faults are healed.
_MAX_RESENDS = 20
#: Selects one of a list of candidates, by the remainder.
PICK = st.integers(min_value=0, max_value=1000)


class GroupMachine(RuleBasedStateMachine):
    """Drives a group of replicas; subclasses say which fault is injected."""

    fault = Fault.NONE

    def __init__(self) -> None:
        super().__init__()
        self.group: Group
        self.changes = 0
        self.lost = 0
        self.incarnations = 0

    @initialize(size=st.sampled_from([3, 5]), seed=st.integers(0, 2**16))
    def found(self, size: int, seed: int) -> None:
        self.group = Group(size, self.fault, seed)
        self.size = size

    def _box(self, pick: int) -> Box:
        names = sorted(self.group.boxes)
        return self.group.boxes[names[pick % len(names)]]

    # Progress.

    @rule(rounds=st.integers(1, 30))
    def settle(self, rounds: int) -> None:
        self.group.settle(rounds)

    @rule()
    def settle_long(self) -> None:
        self.group.settle(40, until=lambda: self.group.leader() is not None)

    @rule(pick=PICK, seconds=st.floats(0, 3))
    def tick(self, pick: int, seconds: float) -> None:
        box = self._box(pick)
        box.clock += seconds
        box.act(lambda replica: replica.tick(box.clock))

    @precondition(lambda self: self.group.flying)
    @rule(pick=PICK, is_kept=st.booleans())
    def deliver_one(self, pick: int, is_kept: bool) -> None:
        flying = self.group.flying
        position = pick % len(flying)
        envelope = flying[position] if is_kept else flying.pop(position)
        self.group.deliver(envelope)

    @precondition(lambda self: self.group.flying)
    @rule(keep=st.integers(0, 3))
    def drop_most(self, keep: int) -> None:
        del self.group.flying[keep:]

    # Operators.

    @rule(is_racing=st.booleans(), pick=PICK)
    def propose(self, is_racing: bool, pick: int) -> None:
        """Propose at a box that believes it is the leader; a replaced one may still do so."""
        self.changes += 1
        for box in self._list_believed_leaders(pick):
            expected = box.state.settings.version
            self.group.propose(box.name, f"change-{self.changes}", expected)
            if is_racing:
                self.changes += 1
                self.group.propose(box.name, f"change-{self.changes}", expected)

    @precondition(lambda self: self.changes > 0)
    @rule(pick=PICK, which=PICK)
    def resend(self, pick: int, which: int) -> None:
        change = f"change-{1 + which % self.changes}"
        for box in self._list_believed_leaders(pick):
            self.group.propose(box.name, change, box.state.settings.version)

    @rule(pick=PICK)
    def read(self, pick: int) -> None:
        for box in self._list_believed_leaders(pick):
            self.group.read(box.name)

    def _list_believed_leaders(self, pick: int) -> list[Box]:
        found = [
            box
            for box in self.group.boxes.values()
            if box.is_up() and box.replica is not None and box.replica.is_leader
        ]
        return found[pick % len(found) :][:1] if found else []

    # Faults.

    @rule(pick=PICK)
    def crash(self, pick: int) -> None:
        self._box(pick).crash()

    @rule(pick=PICK)
    def crash_before_sync(self, pick: int) -> None:
        self._box(pick).crashes_next = True

    @rule(pick=PICK)
    def restart(self, pick: int) -> None:
        down = [box for box in self.group.boxes.values() if box.replica is None]
        if down:
            down[pick % len(down)].start()

    @rule()
    def restart_all(self) -> None:
        for box in self.group.boxes.values():
            if box.replica is None:
                box.start()

    @rule(pick=PICK)
    def freeze(self, pick: int) -> None:
        self._box(pick).is_frozen = True

    @rule(jump=st.floats(0, 10))
    def thaw_all(self, jump: float) -> None:
        for box in self.group.boxes.values():
            if box.is_frozen:
                box.is_frozen = False
                box.clock += jump

    @rule(sender=PICK, receiver=PICK)
    def cut_one_way(self, sender: int, receiver: int) -> None:
        self.group.cuts.add((self._box(sender).name, self._box(receiver).name))

    @rule(pick=PICK)
    def isolate(self, pick: int) -> None:
        """Cut all links of a box; half of the time it is the leader."""
        leader = self.group.leader()
        box = leader if leader is not None and pick % 2 else self._box(pick)
        for other in self.group.boxes:
            self.group.cuts |= {(box.name, other), (other, box.name)}

    @rule()
    def heal(self) -> None:
        self.group.cuts.clear()

    @rule(pick=PICK)
    def compact(self, pick: int) -> None:
        self._box(pick).compact()

    @precondition(lambda self: self.lost < (self.size - 1) // 2)
    @rule(pick=PICK)
    def lose_disk(self, pick: int) -> None:
        """Erase the disk of a box; it restarts under a new name and waits to be admitted."""
        box = self._box(pick)
        self.lost += 1
        if self.fault is Fault.EMPTY_FOLDER_VOTES:
            self._restart_under_old_name(box)
            return
        del self.group.boxes[box.name]
        self.incarnations += 1
        name = f"{box.name}+{self.incarnations}"
        self.group.boxes[name] = Box(self.group, name)

    def _restart_under_old_name(self, box: Box) -> None:
        members = Members(
            voters=tuple(
                Member(replica=f"box-{number}", address=f"box-{number}")
                for number in range(self.size)
            )
        )
        snapshot = Snapshot(index=1, term=1, members=members, state="")
        box.disk = Disk(PersistentState(hard_state=HardState(term=1), snapshot=snapshot))
        box.start()

    # Sequences that single rules rarely produce.

    @rule(pick=PICK, count=st.integers(0, 2), is_member_change=st.booleans())
    def crash_leader_after_partial_replication(
        self, pick: int, count: int, is_member_change: bool
    ) -> None:
        """A leader appends an entry, replicates it to a few replicas and crashes."""
        leader = self.group.leader()
        if leader is None:
            return
        self.group.flying.clear()
        if is_member_change:
            self.dismiss(pick, pick)
        else:
            self.propose(False, pick)
        names = sorted({envelope.receiver for envelope in self.group.flying})
        names = names[pick % (len(names) or 1) :] + names[: pick % (len(names) or 1)]
        for envelope in list(self.group.flying):
            if envelope.receiver in names[:count]:
                self.group.deliver(envelope)
        self.group.flying.clear()
        leader.crash()

    @rule(pick=PICK, rounds=st.integers(2, 6))
    def campaign(self, pick: int, rounds: int) -> None:
        """One replica starts an election; all messages arrive for a few rounds."""
        box = self._box(pick)
        for other in self.group.boxes.values():
            if other.replica is None and other is not box:
                continue
            other.clock += 1.01 * ELECTION_SECONDS
        if box.replica is None:
            box.start()
        box.clock += 3 * ELECTION_SECONDS
        box.act(lambda replica: replica.tick(box.clock))
        for _ in range(rounds):
            flying, self.group.flying = self.group.flying, []
            for envelope in flying:
                self.group.deliver(envelope)
        self.group.flying.clear()

    @rule()
    def replace_frozen_leader(self) -> None:
        """A leader freezes; another is elected and accepts a change; the first one resumes."""
        old = self.group.leader()
        if old is None:
            return
        old.is_frozen = True
        self.group.settle(40, until=lambda: self.group.leader() is not None)
        self.propose(False, 0)
        self.group.settle(4)
        old.is_frozen = False

    # Membership changes.

    @rule(pick=PICK)
    def admit(self, pick: int) -> None:
        for box in self._list_believed_leaders(pick):
            members = self._members(box)
            outside = [name for name in sorted(self.group.boxes) if name not in members]
            if outside:
                name = outside[pick % len(outside)]
                member = Member(replica=name, address=find_address(name))
                self.group.change_members(
                    box.name,
                    lambda replica, now, m=member: replica.add_learner(now, m),  # type: ignore[misc]
                )

    @rule(pick=PICK, which=PICK)
    def dismiss(self, pick: int, which: int) -> None:
        for box in self._list_believed_leaders(pick):
            members = self._members(box)
            if len(members) > 2:
                name = members[which % len(members)]
                self.group.change_members(
                    box.name,
                    lambda replica, now, n=name: replica.remove(now, n),  # type: ignore[misc]
                )

    def _members(self, box: Box) -> list[str]:
        replica = box.replica
        return [member.replica for member in replica.members.all_members()] if replica else []

    # Invariants.

    @invariant()
    def guarantees_hold(self) -> None:
        if hasattr(self, "group"):
            self.group.check()

    def teardown(self) -> None:
        """Heal all faults: a group that has a quorum must then accept a change."""
        if not hasattr(self, "group"):
            return
        group = self.group
        group.cuts.clear()
        for box in group.boxes.values():
            box.is_frozen = False
            box.crashes_next = False
            if box.replica is None:
                box.start()
        if self._can_reach_quorum():
            self._require_acceptance()
        group.settle(40)
        group.check()

    def _require_acceptance(self) -> None:
        """Propose one change until it is answered, as an operator's command would."""
        group = self.group
        for _ in range(_MAX_RESENDS):
            group.settle(20, until=lambda: group.leader() is not None)
            leader = group.leader()
            if leader is not None:
                group.propose(leader.name, "last", leader.state.settings.version)
                group.settle(20, until=lambda: "last" in group.answers)
            if "last" in group.answers:
                group.read(leader.name if leader else "")
                return
        raise AssertionError("no change is answered after all faults are healed")

    def _can_reach_quorum(self) -> bool:
        """Return whether a quorum of the voters that each box knows still exists."""
        for box in self.group.boxes.values():
            replica = box.replica
            if replica is None or not replica.members.voters:
                continue
            present = [m for m in replica.members.voters if m.replica in self.group.boxes]
            if len(present) < replica.members.quorum():
                return False
        return True


def find_address(name: str) -> str:
    """Return the address of a box, which all its incarnations share."""
    return name.partition("+")[0]


def make_machine(injected: Fault) -> type[GroupMachine]:
    """Return a state machine class whose replicas have the injected fault."""
    namespace: dict[str, Any] = {"fault": injected}
    return type(f"GroupMachineWith{injected.name.title()}", (GroupMachine,), namespace)
