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
        role: what the first box that leaves is: leader, follower or isolated.
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
        if self.role == "isolated":
            for other in set(self.machine.group.boxes) - {self._old[0].name}:
                cuts = {(self._old[0].name, other), (other, self._old[0].name)}
                self.machine.group.cuts |= cuts
        if loss_at < 0:
            self._wait(-loss_at - 1.0)
            # A box that is cut off counts as lost until it is removed.
            self._lose_disks(self._tolerated - (self.role == "isolated"))
            self._wait(1.0 if loss_at < -1.0 else -loss_at)
        for box in self._old:
            self._terminate(box)
        self._wait_for_end()
        if loss_at > 0:
            self._wait(loss_at)
            self._lose_disks(self._tolerated)
        self._wait(_LEAVE_SECONDS)

    def _choose_old(self, count: int) -> list[Box]:
        group = self.machine.group
        leader = group.leader()
        assert leader is not None
        others = [box for name, box in sorted(group.boxes.items()) if box is not leader]
        return [leader, *others][:count] if self.role == "leader" else others[:count]

    def _terminate(self, box: Box) -> None:
        if box.replica is not None and self.machine.group.boxes.get(box.name) is box:
            box.replica.leave()
            self.machine.leaving[box.name] = True

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
            self._step()

    def _step(self) -> None:
        machine = self.machine
        leader = machine.group.leader()
        if leader is not None:
            for name in sorted(machine.group.boxes):
                if name in machine.group.boxes:
                    machine._ask(machine.group.boxes[name], leader)
            for name in sorted(machine.leaving):
                machine._ask_to_leave(name, leader)
            machine._change_silent_member(leader)
        machine.group.settle(1)

    def _lose_disks(self, count: int) -> None:
        """Lose disks right after a change is accepted: that of the leader and of others."""
        machine = self.machine
        leader = accept_change(machine.group, "before the loss")
        others = [
            box
            for name, box in sorted(machine.group.boxes.items())
            if box is not leader and not machine.leaving.get(name) and box not in self._old
        ]
        losable = [leader, *others] if leader not in self._old else others
        for box in losable[:count]:
            machine._restart_as_new_replica(box)


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
