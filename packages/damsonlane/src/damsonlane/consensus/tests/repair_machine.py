"""Hypothesis state machine of a group that founds and repairs itself without an operator."""

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from damsonlane.consensus import (
    HardState,
    JoinCandidate,
    Member,
    MemberAddition,
    MemberRemoval,
    Members,
    PersistentState,
    Replica,
    Snapshot,
    can_confirm_removal,
    evaluate_candidate,
    find_member_to_remove,
    may_bootstrap_group,
)
from damsonlane.consensus.tests.group import CLUSTER, Box, Fault
from damsonlane.consensus.tests.machine import PICK, GroupMachine, find_address

#: Repair rounds after which all boxes of a healed group must be voters again.
_MOST_REPAIRS = 80


class RepairMachine(GroupMachine):
    """Drives boxes that look after their group as the control boxes do.

    Disks are lost and boxes replaced, at most as many at once as the group must
    bear; a repair that is over gives the whole allowance back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.replaced = 0
        self.is_forming = True

    @initialize(size=st.sampled_from([3, 5]), seed=st.integers(0, 2**16))
    def found(self, size: int, seed: int) -> None:
        """Start all boxes with empty disks; the least of the seeds founds a group of one."""
        super().found(size, seed)
        names = sorted(self.group.boxes)
        for name in names:
            is_founder = may_bootstrap_group(name, names[:3], is_first_start=True)
            self.group.boxes[name] = Box(self.group, name, _found(name) if is_founder else None)
        for _ in range(_MOST_REPAIRS):
            self._repair_once()
            if self._is_whole():
                break

    # Actions of the boxes.

    @rule(pick=PICK, which=PICK)
    def ask(self, pick: int, which: int) -> None:
        """One box asks one that believes it leads where it stands."""
        for leader in self._believers(which):
            self._ask(self._box(pick), leader)

    @rule(pick=PICK)
    def look(self, pick: int) -> None:
        """One that believes it leads removes whom it must."""
        for leader in self._believers(pick):
            self._remove_gone(leader)

    @rule(rounds=st.integers(1, 6))
    def repair(self, rounds: int) -> None:
        """All boxes do so for a while."""
        for _ in range(rounds):
            self._repair_once()
        if self._is_whole():
            self.lost = 0

    # Lost disks and replaced boxes.

    @precondition(lambda self: self._may_lose())
    @rule(pick=PICK)
    def lose_disk(self, pick: int) -> None:
        """A box comes back at its address with an empty disk."""
        self._start_anew(self._box(pick))
        self.lost += 1

    @precondition(lambda self: self._may_lose())
    @rule(pick=PICK)
    def replace(self, pick: int) -> None:
        """A box is gone for good; another one comes at another address."""
        del self.group.boxes[self._box(pick).name]
        self.replaced += 1
        self.lost += 1
        name = f"new-{self.replaced}"
        self.group.boxes[name] = Box(self.group, name)

    def admit(self, pick: int) -> None:
        """No operator admits anybody here."""

    def dismiss(self, pick: int, which: int) -> None:
        """No operator removes anybody here."""

    # Helpers.

    def _may_lose(self) -> bool:
        if self.lost == 0 and not self._is_whole():
            return False
        return self.lost < (self.size - 1) // 2

    def _is_whole(self) -> bool:
        """Tell whether all boxes vote and hold everything that was committed."""
        leader = self.group.leader()
        replica = leader.replica if leader is not None else None
        if leader is None or replica is None:
            return False
        voters = {member.replica for member in replica.members.voters}
        if voters != set(self.group.boxes) or not replica.is_members_committed():
            return False
        newest = max(self.group.committed, default=1)
        return all(_count_synced(box) >= newest for box in self.group.boxes.values())

    def _repair_once(self) -> None:
        leader = self.group.leader()
        if leader is not None:
            for name in sorted(self.group.boxes):
                if name in self.group.boxes:
                    self._ask(self.group.boxes[name], leader)
            self._remove_gone(leader)
        self.group.settle(4)

    def _ask(self, box: Box, leader: Box) -> None:
        """Ask as the boxes do: those that know no leader, or are in no group."""
        replica, judge = box.replica, leader.replica
        if replica is None or judge is None or not judge.is_leader or not box.is_up():
            return
        if replica.leader and replica.members.voters:
            return
        if {(box.name, leader.name), (leader.name, box.name)} & self.group.cuts:
            return
        if judge.state_age(leader.clock) == float("inf"):
            return
        verdict = evaluate_candidate(judge.members, _apply(box, replica))
        if verdict.change is not None:
            self._change(leader, verdict.change)
        elif verdict.was_removed:
            self._tell_outsider(box, leader)

    def _tell_outsider(self, box: Box, leader: Box) -> None:
        if self.fault is Fault.OUTSIDER_AT_ONCE:
            self._start_anew(box)
            return

        def tell() -> None:
            replica, judge = box.replica, leader.replica
            if replica is None or judge is None or not can_confirm_removal(judge):
                return
            if evaluate_candidate(judge.members, _apply(box, replica)).was_removed:
                self._start_anew(box)

        self.group.read(leader.name, tell)

    def _remove_gone(self, leader: Box) -> None:
        replica = leader.replica
        if replica is None or not replica.is_leader:
            return
        wanted = self.size if self.fault is not Fault.VOTER_GIVEN_UP else 1
        removal = find_member_to_remove(replica.members, replica.seconds_since_reply, wanted)
        if removal is not None:
            self._change(leader, removal)

    def _change(self, leader: Box, change: MemberAddition | MemberRemoval) -> None:
        member = change.member
        if isinstance(change, MemberRemoval):
            self.group.change_members(
                leader.name, lambda replica, now: replica.remove(now, member.replica)
            )
        else:
            self.group.change_members(
                leader.name, lambda replica, now: replica.add_learner(now, member)
            )

    def _start_anew(self, box: Box) -> None:
        if self.group.boxes.pop(box.name, None) is None:
            return
        self.incarnations += 1
        name = f"{find_address(box.name)}+{self.incarnations}"
        self.group.boxes[name] = Box(self.group, name)

    # Invariants.

    def teardown(self) -> None:
        """Heal everything: the group must become whole and accept a change."""
        super().teardown()
        if not hasattr(self, "group"):
            return
        for _ in range(_MOST_REPAIRS):
            if self._is_whole():
                break
            self._repair_once()
        assert self._is_whole(), f"the group is not whole again: {self._describe()}"
        self._require_acceptance()
        self.group.settle(40)
        self.group.check()

    def _can_reach_quorum(self) -> bool:
        """The group must do so after any loss that it has to bear, so nothing is asked first."""
        return False

    def _describe(self) -> str:
        leader = self.group.leader()
        replica = leader.replica if leader is not None else None
        return f"boxes {sorted(self.group.boxes)}, members {replica.members if replica else None}"


def _found(name: str) -> PersistentState:
    """Return the persistent state of a box that founded a group of one."""
    member = Member(replica=name, address=name)
    snapshot = Snapshot(index=1, term=1, members=Members(voters=(member,)), state="")
    return PersistentState(hard_state=HardState(term=1), snapshot=snapshot)


def _apply(box: Box, replica: Replica) -> JoinCandidate:
    cluster = CLUSTER if replica.members.all_members() else ""
    return JoinCandidate(replica=box.name, address=find_address(box.name), cluster=cluster)


def _count_synced(box: Box) -> int:
    return box.replica.last_index if box.replica is not None else 0


def make_repair_machine(injected: Fault) -> type[RepairMachine]:
    """Return a state machine class with the injected fault."""
    namespace: dict[str, Any] = {"fault": injected}
    return type(f"RepairMachineWith{injected.name.title()}", (RepairMachine,), namespace)
