"""Founding and repair of a group: single decisions, and the state machine test."""

import itertools
import unittest
from collections.abc import Callable

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from damsonlane.consensus import (
    DepartureDecision,
    JoinCandidate,
    JoinDecision,
    Member,
    MemberAddition,
    MemberDemotion,
    MemberRemoval,
    Members,
    evaluate_candidate,
    evaluate_departure,
    find_lost_member,
    may_bootstrap_group,
)
from damsonlane.consensus._repair import LEARNER_SILENCE_SECONDS
from damsonlane.consensus.tests.group import ELECTION_SECONDS, Fault
from damsonlane.consensus.tests.repair_machine import RepairMachine, make_repair_machine
from damsonlane.consensus.tests.replacement import Replacement, accept_change

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
#: What the box that leaves is, as `Replacement` takes it.
_ROLES = ("leader", "follower", "isolated", "frozen", "beside frozen")
#: When the disks are lost, in seconds since the old box ended; since its SIGTERM if negative.
_LOSS_SECONDS = (-5.0, -2.0, -1.0, -0.5, -0.1, 0.1, 0.5, 1.0, 2.0, 5.0)


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


class LostMemberTest(unittest.TestCase):
    def test_which_member_is_changed(self) -> None:
        cases: tuple[tuple[str, str, str, int, Member | None, type], ...] = (
            ("no member is silent", "", "", 1, None, type(None)),
            ("a silent learner", "c", "", 2, _C, MemberRemoval),
            ("a silent surplus voter", "b", "", 1, _B, MemberDemotion),
            ("a silent voter that is needed", "b", "", 2, None, type(None)),
            ("a surplus voter that has ended", "", "b", 1, _B, MemberDemotion),
            ("one that has ended beside a silent one", "a", "b", 1, _B, MemberDemotion),
            ("a voter that has ended and is needed", "", "b", 2, None, type(None)),
            ("a learner that has ended", "", "c", 2, None, type(None)),
        )
        for name, silent, ended, wanted, expected, kind in cases:
            with self.subTest(name):
                change = find_lost_member(
                    _GROUP,
                    _silence_of(silent),
                    lambda replica, ended=ended: replica == ended,  # type: ignore[misc]
                    wanted,
                )
                self.assertIsInstance(change, kind)
                self.assertEqual(change.member if change else None, expected)

    def test_a_demoted_voter_that_stays_silent_is_removed(self) -> None:
        group = _GROUP.with_demoted("b")
        removal = find_lost_member(group, _silence_of("b"), lambda _: False, 1)
        self.assertIsInstance(removal, MemberRemoval)
        self.assertEqual(removal.member if removal else None, _B)


class DepartureTest(unittest.TestCase):
    def test_decision_on_a_replica_whose_process_is_about_to_end(self) -> None:
        voters = Members(voters=(_A, _B))
        silent = Members(voters=(_A, _B), learners=(_D,))
        cases = (
            ("a surplus voter", voters, "a", 1, DepartureDecision(change=_demote(_A))),
            ("a voter that is needed", voters, "a", 2, DepartureDecision(may_end=True)),
            ("a successor catches up", _GROUP, "a", 2, DepartureDecision()),
            ("a learner is silent", silent, "a", 2, DepartureDecision(may_end=True)),
            ("a learner", _GROUP, "c", 2, DepartureDecision(may_end=True)),
            ("no member", _GROUP, "x", 1, DepartureDecision(may_end=True)),
        )
        for name, members, replica, wanted, expected in cases:
            with self.subTest(name):
                decision = evaluate_departure(members, replica, _silence_of("d"), wanted)
                self.assertEqual(decision, expected)


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

    def test_a_replaced_box_and_lost_disks_leave_a_group_with_all_changes(self) -> None:
        """Guards against a group without a quorum after a planned replacement and lost disks."""
        for size, role, loss_at in itertools.product((3, 5), _ROLES, _LOSS_SECONDS):
            with self.subTest(size=size, role=role, loss_at=loss_at):
                replacement = Replacement(RepairMachine(), size, role)
                replacement.play(loss_at)
                replacement.machine.teardown()

    def test_two_replacements_in_series_and_lost_disks(self) -> None:
        """The second box leaves while the group still changes for the first one."""
        for size, loss_at in itertools.product((3, 5), _LOSS_SECONDS):
            with self.subTest(size=size, loss_at=loss_at):
                replacement = Replacement(RepairMachine(), size, "leader", count=2)
                replacement.play(loss_at)
                replacement.machine.teardown()

    def test_a_box_that_is_stopped_waits_for_a_successor_that_is_learning(self) -> None:
        """Guards against a vote that is given up before there is another one for it."""
        machine = RepairMachine()
        machine.found(5, seed=1)
        leader = machine.group.leader()
        assert leader is not None
        assert leader.replica is not None
        machine.add_successor()
        machine._ask(machine.group.boxes["new-1"], leader)
        old = next(box for box in machine.group.boxes.values() if box is not leader)
        assert old.replica is not None
        old.replica.leave()
        machine.leaving[old.name] = True
        machine._ask_to_leave(old.name, leader)
        machine.group.settle(1)
        self.assertIn(old.name, machine.group.boxes)
        machine.repair(8)
        self.assertNotIn(old.name, machine.group.boxes)
        names = [member.replica for member in leader.replica.members.voters]
        self.assertEqual(len(names), 5)
        self.assertIn("new-1", names)
        machine.teardown()

    def test_leaders_that_lose_their_disks_while_the_first_one_learns(self) -> None:
        """Each has just acknowledged a change, and the first loss is not repaired yet."""
        for loss_at in _LOSS_SECONDS[5:]:
            with self.subTest(loss_at=loss_at):
                machine = RepairMachine()
                machine.found(5, seed=1)
                group = machine.group
                machine._restart_as_new_replica(accept_change(group, "first"))
                # The empty box is admitted and then hears nothing more.
                group.settle(20, until=lambda group=group: group.leader() is not None)  # type: ignore[misc]
                machine.repair(1)
                newcomer = next(name for name in group.boxes if "+" in name)
                group.cuts |= {(other, newcomer) for other in group.boxes}
                group.settle(round(loss_at * 8 / ELECTION_SECONDS))
                machine._restart_as_new_replica(accept_change(group, "second"))
                self.assertEqual(len(group.accepted), 2)
                machine.teardown()

    def test_a_replaced_box_that_keeps_its_vote_is_found(self) -> None:
        machine = make_repair_machine(Fault.LEAVES_UNANNOUNCED)()
        replacement = Replacement(machine, 5, "follower")
        replacement.play(0.1)
        with self.assertRaises(AssertionError):
            machine.teardown()

    def test_a_box_that_restarts_beside_a_successor_stays_a_member(self) -> None:
        """A restart with the same disk is no removal: each box is a voter again, with its name."""
        machine = RepairMachine()
        machine.found(5, seed=1)
        machine.add_successor()
        machine.repair(20)
        names = set(machine.group.boxes)
        for name in sorted(names):
            box = machine.group.boxes[name]
            assert box.replica is not None
            box.replica.leave()
            machine.leaving[name] = False
            machine.repair(4)
            self.assertIsNone(box.replica, f"{name} did not end")
            box.start()
            machine.repair(4)
            self.assertTrue(machine._is_fully_repaired(), machine._describe())
        self.assertEqual(set(machine.group.boxes), names)

    def test_a_learner_whose_admission_is_undone_asks_again(self) -> None:
        """Otherwise it waits for ever for the leader that admitted it and was replaced."""
        machine = RepairMachine()
        machine.found(size=3, seed=0)
        group = machine.group
        machine.crash(pick=1)
        machine.add_successor()
        group.boxes["box-2"].crashes_next = True
        leader = group.leader()
        assert leader is not None
        machine._ask(group.boxes["new-1"], leader)
        group.settle(5)
        newcomer = group.boxes["new-1"].replica
        self.assertTrue(newcomer is not None and newcomer.members.is_learner("new-1"))
        leader.crash()
        for name in ("box-1", "box-2"):
            group.boxes[name].crash()
            group.boxes[name].start()
        group.settle(40, until=lambda: group.leader() is not None)
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


def _silence_of(silent: str) -> Callable[[str], float]:
    """Return the seconds since each member last replied, where one is silent."""
    return lambda replica: 2 * LEARNER_SILENCE_SECONDS if replica == silent else 0.0


def _demote(member: Member) -> MemberDemotion:
    reason = "its process is about to end and the group has more voters than wanted"
    return MemberDemotion(member=member, reason=reason)


def _lose_disk_while_voter_is_silent(machine: RepairMachine) -> None:
    """Cut one voter off for a long time, then let another one lose its disk."""
    group = machine.group
    leader = group.leader()
    assert leader is not None
    other, silent = (box for box in group.boxes.values() if box is not leader)
    for name in (leader.name, other.name):
        group.cuts |= {(silent.name, name), (name, silent.name)}
    group.settle(int(16 * LEARNER_SILENCE_SECONDS / ELECTION_SECONDS))
    for _ in range(2):
        machine._change_silent_member(leader)
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
