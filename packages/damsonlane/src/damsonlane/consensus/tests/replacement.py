"""A planned replacement of boxes beside the loss of disks, step by step."""

from damsonlane.consensus.tests.group import ELECTION_SECONDS, Box, Group
from damsonlane.consensus.tests.repair_machine import RepairMachine

#: Simulated seconds of one step.
_STEP_SECONDS = ELECTION_SECONDS / 8
#: Seconds after which a process ends although the group does not allow it.
_LEAVE_SECONDS = 5.0


class Replacement:
    """Successors join, old boxes are told to stop, and disks are lost after an acknowledgement.

    Args:
        machine: drives the group.
        size: number of voters that the group should have.
        role: what the first box that leaves is: leader, follower, isolated (cut off from all
            others) or frozen; or "beside frozen": a follower, while another box is frozen.
        count: number of boxes that are replaced.
    """

    def __init__(self, machine: RepairMachine, size: int, role: str, count: int = 1) -> None:
        self.machine = machine
        self.role = role
        machine.found(size, seed=size)
        for _ in range(count):
            machine.add_successor()
            machine.repair(20)
        assert machine._is_fully_repaired(), machine._describe()
        self._old = self._choose_old(count)
        self._tolerated = (size - 1) // 2

    def play(self, loss_at: float) -> None:
        """Stop the old boxes and lose as many disks as the group must tolerate.

        Args:
            loss_at: when the disks are lost, in seconds since the last old box has ended; since
                it was told to stop if negative.
        """
        self._impair()
        if loss_at < 0:
            self._wait(-loss_at - 1.0)
            # A box that is cut off or frozen counts as lost until it is removed.
            self._lose_disks(self._tolerated - (self.role not in ("leader", "follower")))
            self._wait(1.0 if loss_at < -1.0 else -loss_at)
        for box in self._old:
            self._terminate(box)
        self._wait_for_end()
        if loss_at > 0:
            self._wait(loss_at)
            self._lose_disks(self._tolerated - (self.role == "beside frozen"))
        self._wait(_LEAVE_SECONDS)

    def _impair(self) -> None:
        """Cut off or freeze the box that the role names."""
        group, old = self.machine.group, self._old[0]
        if self.role == "isolated":
            for other in set(group.boxes) - {old.name}:
                group.cuts |= {(old.name, other), (other, old.name)}
        elif self.role == "frozen":
            old.is_frozen = True
        elif self.role == "beside frozen":
            self._find_others()[-1].is_frozen = True

    def _find_others(self) -> list[Box]:
        """Return the boxes that stay, without the leader."""
        group = self.machine.group
        leader = group.leader()
        return [
            box
            for name, box in sorted(group.boxes.items())
            if box is not leader and box not in self._old
        ]

    def _choose_old(self, count: int) -> list[Box]:
        group = self.machine.group
        leader = group.leader()
        assert leader is not None
        others = [box for name, box in sorted(group.boxes.items()) if box is not leader]
        return [leader, *others][:count] if self.role == "leader" else others[:count]

    def _terminate(self, box: Box) -> None:
        if box.replica is not None and self.machine.group.boxes.get(box.name) is box:
            self.machine.leaving[box.name] = True
            if not box.is_frozen:
                box.replica.leave()

    def _wait_for_end(self) -> None:
        """Wait until the old boxes have ended, with the permission of the group or without."""
        if self.machine.fault.name == "NONE":
            self._wait(_LEAVE_SECONDS, is_final=True)
        for name in list(self.machine.leaving):
            self.machine._end(self.machine.group.boxes[name])

    def _wait(self, seconds: float, *, is_final: bool = False) -> None:
        for _ in range(round(seconds / _STEP_SECONDS)):
            if is_final and not self.machine.leaving:
                return
            self.machine._repair_once(rounds=1)

    def _lose_disks(self, count: int) -> None:
        """Lose disks right after a change is accepted: that of the leader and of others."""
        leader = accept_change(self.machine.group, "before the loss")
        others = [box for box in self._find_others() if not box.is_frozen]
        losable = [leader, *others] if leader not in self._old else others
        for box in losable[:count]:
            self.machine._restart_as_new_replica(box)


def accept_change(group: Group, change: str) -> Box:
    """Propose a change until it is accepted, and return the leader that accepted it."""
    for _ in range(20):
        group.settle(20, until=lambda: group.leader() is not None)
        leader = group.leader()
        assert leader is not None, "no leader accepts the change"
        group.propose(leader.name, change, leader.state.settings.version)
        group.settle(8, until=lambda: change in group.answers)
        if change in group.answers:
            return leader
    raise AssertionError("the change is not accepted")
