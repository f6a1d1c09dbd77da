"""Runs the stateful machines for a given time with a printed seed.

With ``--fault NAME`` a planted fault is searched for instead, and the number
of examples that it took is printed.
"""

import argparse
import random
import time
from typing import Any

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from damsonlane.consensus.tests import group, machine
from damsonlane.requests.tests import machine as request_machine
from damsonlane.requests.tests import world

#: Examples of one round.
ROUND = 500


def search(shape: Any, number: int, examples: int, *, shrinks: bool) -> int:
    """Run a machine and return how many examples it took.

    Raises:
        AssertionError: a promise was broken.
    """
    count = 0

    class Counted(shape):  # type: ignore[misc]
        def __init__(self) -> None:
            nonlocal count
            count += 1
            super().__init__()

    chosen = settings(
        max_examples=examples,
        stateful_step_count=50,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate, Phase.shrink] if shrinks else [Phase.generate],
    )
    try:
        run_state_machine_as_test(seed(number)(Counted), settings=chosen)
    except AssertionError as error:
        if not shrinks:
            print(f"found after {count} examples: {error}")
            return count
        raise
    return count


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(2**32))
    parser.add_argument("--fault", default="")
    parser.add_argument("--examples", type=int, default=6000)
    options = parser.parse_args()
    print(f"seed {options.seed}")
    if options.fault:
        search(_plant(options.fault), options.seed, options.examples, shrinks=False)
        return
    due = time.monotonic() + options.seconds
    number, total = options.seed, 0
    while time.monotonic() < due:
        for shape in (machine.GroupMachine, request_machine.RequestMachine):
            total += search(shape, number, ROUND, shrinks=True)
        number += 1
    print(f"{total} examples, nothing found")


def _plant(name: str) -> Any:
    if name in group.Fault.__members__:
        return machine.make_machine(group.Fault[name])
    return request_machine.make_machine(world.Fault[name])


if __name__ == "__main__":
    main()
