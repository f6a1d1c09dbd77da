"""The stateful machine finds no fault, and finds every planted one."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from damsonlane.agreement.tests.group import Fault
from damsonlane.agreement.tests.machine import GroupMachine, make_machine

_SETTINGS = settings(
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
#: Planted faults are searched for longer, and not shrunk.
_SEARCH = settings(_SETTINGS, max_examples=3000, phases=[Phase.generate])

#: The others need longer sequences; test_scripts plays them.
_FOUND_BY_CHANCE = (
    Fault.VOTE_BEFORE_SYNC,
    Fault.FORGET_CHANGE_IDS,
    Fault.EMPTY_FOLDER_VOTES,
    Fault.READ_WITHOUT_QUORUM,
    Fault.COUNT_UNSYNCED,
)


class MachineTest(unittest.TestCase):
    def test_promises_hold(self) -> None:
        run_state_machine_as_test(GroupMachine, settings=_SETTINGS)

    def test_planted_faults_are_found(self) -> None:
        for fault in _FOUND_BY_CHANCE:
            with self.subTest(fault=fault.name), self.assertRaises(AssertionError):
                run_state_machine_as_test(make_machine(fault), settings=_SEARCH)


if __name__ == "__main__":
    unittest.main()
