"""Two fixed sequences that random examples rarely reach, without and with the injected fault."""

import unittest

from damsonlane.consensus import AppendRequest, Envelope, Member
from damsonlane.consensus.tests.group import ELECTION_SECONDS, Box, Fault, Group


def _connect(group: Group, *names: str) -> None:
    """Let only these boxes reach each other."""
    group.flying.clear()
    group.cuts = {
        (one, other)
        for one in group.boxes
        for other in group.boxes
        if one not in names or other not in names
    }


def _deliver(group: Group, rounds: int, *, without_term: int = -1, to: str = "") -> None:
    """Deliver messages round by round; drop those to one box with entries of one term."""
    for _ in range(rounds):
        flying, group.flying = group.flying, []
        for envelope in flying:
            if envelope.receiver != to or not _carries_term(envelope, without_term):
                group.deliver(envelope)


def _carries_term(envelope: Envelope, term: int) -> bool:
    message = envelope.message
    if not isinstance(message, AppendRequest):
        return False
    return any(entry.term == term for entry in message.entries)


def _make_leader(group: Group, name: str) -> Box:
    """Have one box elected; its first entry is not delivered yet."""
    box = group.boxes[name]
    if box.replica is None:
        box.start()
    for _ in range(10):
        for other in group.boxes.values():
            other.clock += 1.01 * ELECTION_SECONDS
        box.clock += 2 * ELECTION_SECONDS
        box.act(lambda replica: replica.tick(box.clock))
        for _ in range(5):
            if box.replica is not None and box.replica.is_leader:
                group.flying.clear()
                return box
            _deliver(group, 1)
    raise RuntimeError(f"{name} was not elected")


def _start(size: int, fault: Fault) -> Group:
    group = Group(size, fault, seed=3)
    group.entries_per_message = 1
    for box in group.boxes.values():
        box.start()
    # A replica that has known a leader waits a whole election time before it campaigns.
    group.settle(100, until=lambda: group.leader() is not None)
    group.settle(6)
    _make_leader(group, "box-0")
    group.settle(6)
    return group


def _commit_entry_of_old_term(fault: Fault) -> None:
    """Replay figure 8 of the Raft paper: an entry on a majority is replaced by another leader."""
    group = _start(5, fault)
    _connect(group, "box-0", "box-1")
    group.propose("box-0", "change", 0)
    _deliver(group, 1)
    group.boxes["box-0"].crash()
    _connect(group, "box-2", "box-3", "box-4")
    _make_leader(group, "box-4").crash()
    _connect(group, "box-0", "box-1", "box-2")
    first = _make_leader(group, "box-0")
    assert first.replica is not None
    own_term = first.replica.term
    first.clock += ELECTION_SECONDS / 2
    first.act(lambda replica: replica.tick(first.clock))
    for _ in range(6):
        _deliver(group, 2, without_term=own_term, to="box-2")
        first.clock += ELECTION_SECONDS / 4
        first.act(lambda replica: replica.tick(first.clock))
    first.crash()
    _connect(group, "box-2", "box-3", "box-4")
    _make_leader(group, "box-4")
    group.settle(20)


def _change_members_too_early(fault: Fault) -> None:
    """Let a new leader change the members while another change is being replicated."""
    group = _start(4, fault)
    group.boxes["box-9"] = Box(group, "box-9")
    _connect(group, "box-0", "box-1", "box-2", "box-3")
    member = Member(replica="box-9", address="box-9")
    group.change_members("box-0", lambda replica, now: replica.add_learner(now, member))
    group.settle(4)
    _connect(group, "box-0", "box-9")
    old = group.boxes["box-0"]
    for _ in range(8):
        old.clock += ELECTION_SECONDS / 10
        old.act(lambda replica: replica.tick(old.clock))
        _deliver(group, 2)
    old.crash()
    _connect(group, "box-1", "box-2", "box-3")
    _make_leader(group, "box-1")
    _connect(group, "box-1", "box-2")
    group.change_members("box-1", lambda replica, now: replica.remove(now, "box-0"))
    new = group.boxes["box-1"]
    for _ in range(6):
        new.clock += ELECTION_SECONDS / 10
        new.act(lambda replica: replica.tick(new.clock))
        _deliver(group, 4)
    new.crash()
    _connect(group, "box-0", "box-3", "box-9")
    try:
        _make_leader(group, "box-0")
    except RuntimeError:
        return
    group.settle(20)


class ScriptedFaultsTest(unittest.TestCase):
    def test_a_committed_entry_of_an_old_term_is_never_replaced(self) -> None:
        _commit_entry_of_old_term(Fault.NONE)

    def test_committing_an_old_term_by_counting_is_detected(self) -> None:
        with self.assertRaisesRegex(AssertionError, "committed twice, differently"):
            _commit_entry_of_old_term(Fault.COMMIT_OLD_TERM)

    def test_membership_changes_never_overlap(self) -> None:
        _change_members_too_early(Fault.NONE)

    def test_a_membership_change_before_an_own_entry_is_detected(self) -> None:
        with self.assertRaisesRegex(AssertionError, "committed twice, differently"):
            _change_members_too_early(Fault.CHANGE_WITHOUT_OWN_ENTRY)


if __name__ == "__main__":
    unittest.main()
