"""Run Hypothesis' stateful tests for a given time and print the seed.

With ``--fault NAME`` a fault is injected and searched for instead, and the
number of examples until it is found is printed.
"""

import argparse
import random
import time
from typing import Any

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from damsonlane.consensus.tests import group, machine, repair_machine
from damsonlane.requests.tests import machine as request_machine
from damsonlane.requests.tests import world

#: Examples of one machine before the next one runs.
EXAMPLES_PER_ROUND = 500


def search(machine_class: Any, number: int, examples: int, *, shrinks: bool) -> int:
    """Run a state machine and return the number of examples that ran.

    Args:
        machine_class: class of the state machine.
        number: seed of the examples.
        examples: most examples to run.
        shrinks: whether a failing example is shrunk and raised; else the first one ends the
            search.

    Raises:
        AssertionError: a guarantee is violated, and ``shrinks`` is set.
    """
    count = 0

    class CountingMachine(machine_class):  # type: ignore[misc]
        def __init__(self) -> None:
            nonlocal count
            count += 1
            super().__init__()

    run_settings = settings(
        max_examples=examples,
        stateful_step_count=50,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate, Phase.shrink] if shrinks else [Phase.generate],
    )
    try:
        run_state_machine_as_test(seed(number)(CountingMachine), settings=run_settings)
    except AssertionError as error:
        if not shrinks:
            print(f"found after {count} examples: {error}")
            return count
        raise
    return count


def main() -> None:
    """Run the fuzzer until its time has passed or it finds a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(2**32))
    parser.add_argument("--fault", default="")
    parser.add_argument("--examples", type=int, default=6000)
    options = parser.parse_args()
    print(f"seed {options.seed}")
    if options.fault:
        search(_inject(options.fault), options.seed, options.examples, shrinks=False)
        return
    deadline = time.monotonic() + options.seconds
    number, total = options.seed, 0
    while time.monotonic() < deadline:
        for machine_class in (
            machine.GroupMachine,
            repair_machine.RepairMachine,
            request_machine.RequestMachine,
        ):
            total += search(machine_class, number, EXAMPLES_PER_ROUND, shrinks=True)
        number += 1
    print(f"{total} examples, nothing found")


def _inject(name: str) -> Any:
    """Return the class of a state machine with a fault of the given name."""
    if name in group.Fault.__members__:
        return machine.make_machine(group.Fault[name])
    return request_machine.make_machine(world.Fault[name])


if __name__ == "__main__":
    main()
