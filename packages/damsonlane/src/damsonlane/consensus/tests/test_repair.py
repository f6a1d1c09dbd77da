"""Founding and repair of a group: single decisions, and the state machine test."""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from damsonlane.consensus import (
    JoinCandidate,
    JoinDecision,
    Member,
    MemberAddition,
    MemberRemoval,
    Members,
    evaluate_candidate,
    find_member_to_remove,
    may_bootstrap_group,
)
from damsonlane.consensus._repair import SILENCE_SECONDS
from damsonlane.consensus.tests.group import ELECTION_SECONDS, Fault
from damsonlane.consensus.tests.repair_machine import RepairMachine, make_repair_machine

_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
_A, _B, _C, _D = (Member(replica=name, address=f"at-{name}") for name in "abcd")
_GROUP = Members(voters=(_A, _B), learners=(_C,))


class ApplicantTest(unittest.TestCase):
    def test_decision_on_each_applicant(self) -> None:
        cases = (
            ("a member", "a", "at-a", "group", JoinDecision()),
            ("a learner", "c", "at-c", "", JoinDecision()),
            ("a removed replica", "x", "at-x", "group", JoinDecision(was_removed=True)),
            ("a new box", "d", "at-d", "", JoinDecision(change=MemberAddition(member=_D))),
            (
                "a box without its disk",
                "b2",
                "at-b",
                "",
                JoinDecision(
                    change=MemberRemoval(member=_B, reason="its box restarted without its disk")
                ),
            ),
        )
        for name, replica, address, cluster, expected in cases:
            with self.subTest(name):
                applicant = JoinCandidate(replica=replica, address=address, cluster=cluster)
                self.assertEqual(evaluate_candidate(_GROUP, applicant), expected)


class FindMemberToRemoveTest(unittest.TestCase):
    def test_which_member_is_removed(self) -> None:
        cases: tuple[tuple[str, str, int, Member | None], ...] = (
            ("no member is silent", "", 1, None),
            ("a silent learner", "c", 2, _C),
            ("a silent surplus voter", "b", 1, _B),
            ("a silent voter that is needed", "b", 2, None),
        )
        for name, silent, wanted, expected in cases:
            with self.subTest(name):

                def silence_of(replica: str, silent: str = silent) -> float:
                    return 2 * SILENCE_SECONDS if replica == silent else 0.0

                removal = find_member_to_remove(_GROUP, silence_of, wanted)
                self.assertEqual(removal.member if removal else None, expected)


class FoundingTest(unittest.TestCase):
    def test_only_the_lowest_seed_founds_and_only_at_the_first_start(self) -> None:
        cases = (
            ("the lowest seed", "1", True, True),
            ("another seed", "2", True, False),
            ("not a seed", "0", True, False),
            ("a later start", "1", False, False),
        )
        for name, own, is_first_start, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    may_bootstrap_group(own, ("2", "1", "3"), is_first_start=is_first_start),
                    expected,
                )


class MachineTest(unittest.TestCase):
    def test_invariants_hold_through_losses_and_repairs(self) -> None:
        run_state_machine_as_test(RepairMachine, settings=_SETTINGS)

    def test_a_silent_voter_without_replacement_is_kept(self) -> None:
        """Random examples rarely reach this sequence, so its steps are fixed."""
        for fault, is_lost in ((Fault.NONE, False), (Fault.VOTER_GIVEN_UP, True)):
            with self.subTest(fault=fault.name):
                machine = make_repair_machine(fault)()
                machine.found(3, seed=1)
                _lose_disk_while_voter_is_silent(machine)
                if is_lost:
                    with self.assertRaises(AssertionError):
                        machine.teardown()
                else:
                    machine.teardown()

    def test_an_uncommitted_removal_erases_no_disk(self) -> None:
        """Random examples rarely reach this sequence, so its steps are fixed."""
        for fault, is_lost in ((Fault.NONE, False), (Fault.OUTSIDER_AT_ONCE, True)):
            with self.subTest(fault=fault.name):
                machine = make_repair_machine(fault)()
                machine.found(3, seed=1)
                _report_removal_that_is_undone(machine)
                if is_lost:
                    with self.assertRaises(AssertionError):
                        machine._require_acceptance()
                else:
                    machine._require_acceptance()


def _lose_disk_while_voter_is_silent(machine: RepairMachine) -> None:
    """Cut one voter off for a long time, then let another one lose its disk."""
    group = machine.group
    leader = group.leader()
    assert leader is not None
    other, silent = (box for box in group.boxes.values() if box is not leader)
    for name in (leader.name, other.name):
        group.cuts |= {(silent.name, name), (name, silent.name)}
    group.settle(int(16 * SILENCE_SECONDS / ELECTION_SECONDS))
    machine._remove_silent_member(leader)
    group.settle(20)
    group.cuts.clear()
    machine._restart_as_new_replica(other)


def _report_removal_that_is_undone(machine: RepairMachine) -> None:
    """Let a leader remove a follower, report it to that follower only, and disappear."""
    group = machine.group
    leader = group.leader()
    assert leader is not None
    assert leader.replica is not None
    follower = next(box for box in group.boxes.values() if box is not leader)
    group.cuts |= {(leader.name, follower.name), (follower.name, leader.name)}
    follower.clock += 10.0
    follower.act(lambda replica: replica.tick(follower.clock))
    assert follower.replica is not None
    assert not follower.replica.leader
    group.flying.clear()
    group.change_members(leader.name, lambda replica, now: replica.remove(now, follower.name))
    group.flying.clear()
    group.cuts.clear()
    machine._ask(follower, leader)
    group.flying.clear()
    del group.boxes[leader.name]


if __name__ == "__main__":
    unittest.main()
