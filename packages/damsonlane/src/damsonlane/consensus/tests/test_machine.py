"""State machine test of a group of replicas, without and with injected faults."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from damsonlane.consensus.tests.group import Fault
from damsonlane.consensus.tests.machine import GroupMachine, make_machine

_SETTINGS = settings(
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
#: The search for injected faults uses more examples and does not shrink them.
_SEARCH = settings(_SETTINGS, max_examples=3000, phases=[Phase.generate])

#: Faults that random examples find; longer sequences are in test_scripts and test_repair.
_FAULTS_FOUND_AT_RANDOM = (
    Fault.VOTE_BEFORE_SYNC,
    Fault.FORGET_CHANGE_IDS,
    Fault.EMPTY_FOLDER_VOTES,
    Fault.READ_WITHOUT_QUORUM,
    Fault.COUNT_UNSYNCED,
)


class MachineTest(unittest.TestCase):
    def test_invariants_hold(self) -> None:
        run_state_machine_as_test(GroupMachine, settings=_SETTINGS)

    def test_injected_faults_are_found(self) -> None:
        for fault in _FAULTS_FOUND_AT_RANDOM:
            with self.subTest(fault=fault.name), self.assertRaises(AssertionError):
                run_state_machine_as_test(make_machine(fault), settings=_SEARCH)


if __name__ == "__main__":
    unittest.main()
