"""Hypothesis state machine of a group that bootstraps and repairs itself without an operator."""

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from damsonlane.consensus import (
    HardState,
    JoinCandidate,
    Member,
    MemberChange,
    MemberDemotion,
    MemberRemoval,
    Members,
    PersistentState,
    Replica,
    Snapshot,
    can_confirm_removal,
    evaluate_candidate,
    evaluate_departure,
    find_lost_member,
    may_bootstrap_group,
)
from damsonlane.consensus.tests.group import CLUSTER, Box, Fault
from damsonlane.consensus.tests.machine import PICK, GroupMachine, find_address

#: Repair rounds after which all boxes of a healed group must be voters again.
_MAX_REPAIR_ROUNDS = 80


class RepairMachine(GroupMachine):
    """Drives boxes that repair their group as the control boxes do.

    Disks are lost and boxes replaced, at most as many at once as the group must tolerate.  Once
    the group is fully repaired, as many may be lost again.  A box that has a successor, and ends
    once the group allows it, is no loss.
    """

    def __init__(self) -> None:
        super().__init__()
        self.replaced = 0
        self.is_forming = True
        #: Names of the boxes whose processes are about to end, and whether for good.
        self.leaving: dict[str, bool] = {}

    @initialize(size=st.sampled_from([3, 5]), seed=st.integers(0, 2**16))
    def found(self, size: int, seed: int) -> None:
        """Start all boxes with empty disks; the lowest seed bootstraps a group of one."""
        super().found(size, seed)
        names = sorted(self.group.boxes)
        for name in names:
            is_founder = may_bootstrap_group(name, names[:3], is_first_start=True)
            self.group.boxes[name] = Box(
                self.group, name, _make_founder_state(name) if is_founder else None
            )
        for _ in range(_MAX_REPAIR_ROUNDS):
            self._repair_once()
            if self._is_fully_repaired():
                break

    # Actions of the boxes.

    @rule(pick=PICK, which=PICK)
    def ask(self, pick: int, which: int) -> None:
        """One box asks a box that believes it is the leader whether it is a member."""
        for leader in self._list_believed_leaders(which):
            self._ask(self._box(pick), leader)

    @rule(pick=PICK)
    def change_silent_member(self, pick: int) -> None:
        """A box that believes it is the leader changes a silent member that is not needed."""
        for leader in self._list_believed_leaders(pick):
            self._change_silent_member(leader)

    @rule(rounds=st.integers(1, 6))
    def repair(self, rounds: int) -> None:
        """For some rounds, all boxes ask the leader, and it removes a silent member."""
        for _ in range(rounds):
            self._repair_once()
        if self._is_fully_repaired():
            self.lost = 0

    # Lost disks and replaced boxes.

    @precondition(lambda self: self._may_lose_box())
    @rule(pick=PICK)
    def lose_disk(self, pick: int) -> None:
        """A box restarts at its address with an empty disk."""
        self._restart_as_new_replica(self._box(pick))
        self.lost += 1

    @precondition(lambda self: self._may_lose_box())
    @rule(pick=PICK)
    def replace(self, pick: int) -> None:
        """A box is lost permanently; another one starts at another address."""
        del self.group.boxes[self._box(pick).name]
        self.replaced += 1
        self.lost += 1
        name = f"new-{self.replaced}"
        self.group.boxes[name] = Box(self.group, name)

    # Planned replacements and restarts.

    @precondition(lambda self: len(self.group.boxes) < self.size + 2)
    @rule()
    def add_successor(self) -> None:
        """A box starts at another address, so that one of the others can leave."""
        self.replaced += 1
        name = f"new-{self.replaced}"
        self.group.boxes[name] = Box(self.group, name)

    @rule(pick=PICK, is_final=st.booleans())
    def terminate(self, pick: int, is_final: bool) -> None:
        """A box is told to stop: for good if it has a successor, else to restart with its disk."""
        box = self._box(pick)
        if box.replica is None:
            return
        staying = [name for name in self.group.boxes if not self.leaving.get(name)]
        is_final = is_final and len(staying) > self.size and self._is_fully_repaired()
        self.leaving.setdefault(box.name, is_final)
        box.replica.leave()
        if self.fault is Fault.LEAVES_UNANNOUNCED:
            self._end(box)

    @rule(pick=PICK)
    def ask_to_leave(self, pick: int) -> None:
        """A box that is about to end asks a box that believes it is the leader."""
        for leader in self._list_believed_leaders(pick):
            for name in sorted(self.leaving):
                self._ask_to_leave(name, leader)

    def admit(self, pick: int) -> None:
        """Do nothing: no operator admits boxes here."""

    def dismiss(self, pick: int, which: int) -> None:
        """Do nothing: no operator removes boxes here."""

    # Helpers.

    def _may_lose_box(self) -> bool:
        if self.lost == 0 and not self._is_fully_repaired():
            return False
        return self.lost < (self.size - 1) // 2

    def _is_fully_repaired(self) -> bool:
        """Return whether all boxes are voters and hold all committed entries."""
        leader = self.group.leader()
        replica = leader.replica if leader is not None else None
        if leader is None or replica is None:
            return False
        voters = {member.replica for member in replica.members.voters}
        if voters != set(self.group.boxes) or not replica.is_members_committed():
            return False
        newest = max(self.group.committed, default=1)
        return all(_count_synced(box) >= newest for box in self.group.boxes.values())

    def _repair_once(self, rounds: int = 4) -> None:
        """Let all boxes ask the leader, and advance the group by some rounds."""
        leader = self.group.leader()
        if leader is not None:
            for name in sorted(self.group.boxes):
                if name in self.group.boxes:
                    self._ask(self.group.boxes[name], leader)
            for name in sorted(self.leaving):
                self._ask_to_leave(name, leader)
            self._change_silent_member(leader)
        self.group.settle(rounds)

    def _ask(self, box: Box, leader: Box) -> None:
        """Ask the leader as boxes do that know of none, or are in no group."""
        replica, leading = box.replica, leader.replica
        if replica is None or leading is None or not leading.is_leader or not box.is_up():
            return
        if replica.leader and replica.members.voters:
            return
        if {(box.name, leader.name), (leader.name, box.name)} & self.group.cuts:
            return
        if leading.state_age(leader.clock) == float("inf"):
            return
        decision = evaluate_candidate(leading.members, _make_candidate(box, replica))
        if decision.change is not None:
            self._change(leader, decision.change)
        elif decision.was_removed:
            self._report_removal(box, leader)

    def _ask_to_leave(self, name: str, leader: Box) -> None:
        """Ask the leader whether a process may end; end it if so."""
        box, leading = self.group.boxes.get(name), leader.replica
        if box is None or box.replica is None or box.is_frozen:
            return
        if leading is None or not leading.is_leader or not leader.is_up():
            return
        if {(name, leader.name), (leader.name, name)} & self.group.cuts:
            return

        def answer() -> None:
            if name not in self.leaving or not leading.is_leader:
                return
            decision = evaluate_departure(
                leading.members, name, leading.seconds_since_reply, self.size
            )
            if decision.change is not None:
                self._change(leader, decision.change)
            elif decision.may_end and leading.is_members_committed():
                self._end(box)

        self.group.read(leader.name, answer)

    def _end(self, box: Box) -> None:
        """End the process of a box: for good, or to restart with its disk."""
        if self.leaving.pop(box.name, False):
            self.group.boxes.pop(box.name, None)
        else:
            box.crash()

    def _report_removal(self, box: Box, leader: Box) -> None:
        if self.fault is Fault.OUTSIDER_AT_ONCE:
            self._restart_as_new_replica(box)
            return

        def report() -> None:
            replica, leading = box.replica, leader.replica
            if replica is None or leading is None or not can_confirm_removal(leading):
                return
            if evaluate_candidate(leading.members, _make_candidate(box, replica)).was_removed:
                self._restart_as_new_replica(box)

        self.group.read(leader.name, report)

    def _change_silent_member(self, leader: Box) -> None:
        replica = leader.replica
        if replica is None or not replica.is_leader:
            return
        wanted = self.size if self.fault is not Fault.VOTER_GIVEN_UP else 1
        change = find_lost_member(
            replica.members, replica.seconds_since_reply, lambda _: False, wanted
        )
        if change is not None:
            self._change(leader, change)

    def _change(self, leader: Box, change: MemberChange) -> None:
        member = change.member
        if isinstance(change, MemberRemoval):
            self.group.change_members(
                leader.name, lambda replica, now: replica.remove(now, member.replica)
            )
        elif isinstance(change, MemberDemotion):
            self.group.change_members(
                leader.name, lambda replica, now: replica.demote(now, member.replica)
            )
        else:
            self.group.change_members(
                leader.name, lambda replica, now: replica.add_learner(now, member)
            )

    def _restart_as_new_replica(self, box: Box) -> None:
        if self.group.boxes.pop(box.name, None) is None:
            return
        self.leaving.pop(box.name, None)
        self.incarnations += 1
        name = f"{find_address(box.name)}+{self.incarnations}"
        self.group.boxes[name] = Box(self.group, name)

    # Invariants.

    def teardown(self) -> None:
        """Heal all faults: the group must be fully repaired and accept a change."""
        if not hasattr(self, "group"):
            return
        for name in self.leaving:
            # A process that the group has not let go yet restarts.
            if name in self.group.boxes:
                self.group.boxes[name].crash()
        self.leaving.clear()
        super().teardown()
        for _ in range(_MAX_REPAIR_ROUNDS):
            if self._is_fully_repaired():
                break
            self._repair_once()
        assert self._is_fully_repaired(), f"the group is not fully repaired: {self._describe()}"
        self._require_acceptance()
        self.group.settle(40)
        self.group.check()

    def _can_reach_quorum(self) -> bool:
        """Return False: acceptance is required after the repair instead, and unconditionally."""
        return False

    def _describe(self) -> str:
        leader = self.group.leader()
        replica = leader.replica if leader is not None else None
        return f"boxes {sorted(self.group.boxes)}, members {replica.members if replica else None}"


def _make_founder_state(name: str) -> PersistentState:
    """Return the persistent state of a box that bootstrapped a group of one."""
    member = Member(replica=name, address=name)
    snapshot = Snapshot(index=1, term=1, members=Members(voters=(member,)), state="")
    return PersistentState(hard_state=HardState(term=1), snapshot=snapshot)


def _make_candidate(box: Box, replica: Replica) -> JoinCandidate:
    cluster = CLUSTER if replica.members.all_members() else ""
    return JoinCandidate(replica=box.name, address=find_address(box.name), cluster=cluster)


def _count_synced(box: Box) -> int:
    return box.replica.last_index if box.replica is not None else 0


def make_repair_machine(injected: Fault) -> type[RepairMachine]:
    """Return a state machine class with the injected fault."""
    namespace: dict[str, Any] = {"fault": injected}
    return type(f"RepairMachineWith{injected.name.title()}", (RepairMachine,), namespace)
