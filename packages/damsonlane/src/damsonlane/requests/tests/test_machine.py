"""The state machine test finds no fault in the code, and finds every injected one."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from damsonlane.requests.tests.machine import RequestMachine, make_machine
from damsonlane.requests.tests.world import Fault

_SETTINGS = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
#: Injected faults are searched for with more examples, and without shrinking.
_SEARCH = settings(_SETTINGS, max_examples=3000, phases=[Phase.generate])


class MachineTest(unittest.TestCase):
    def test_guarantees_hold(self) -> None:
        run_state_machine_as_test(RequestMachine, settings=_SETTINGS)

    def test_injected_faults_are_found(self) -> None:
        for fault in Fault:
            if fault is Fault.NONE:
                continue
            with self.subTest(fault=fault.name), self.assertRaises(AssertionError):
                run_state_machine_as_test(make_machine(fault), settings=_SEARCH)


if __name__ == "__main__":
    unittest.main()
