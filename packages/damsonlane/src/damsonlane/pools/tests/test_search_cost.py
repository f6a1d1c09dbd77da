"""The work of one search of the queue, in executed lines, which unlike seconds don't vary."""

import sys
import unittest
from dataclasses import replace
from types import FrameType
from typing import Any

from damsonlane.pools import PieceQueue, WaitingPiece
from damsonlane.pools.tests.test_queue import CAPACITY, ORDER

#: Pieces of each stage.
PIECES = 5


def count_lines(*, targets: int, stages: int) -> int:
    """Return the lines of Python that one search executes."""
    queue = PieceQueue()
    for number in range(stages * PIECES):
        order = replace(ORDER, number=number, request=f"r{number // PIECES}", rank=number % 3)
        queue.add(
            WaitingPiece(
                order=order, sender="e1", deadline_at=9.0, objective_at=1.0 + number % 7 * 0.3
            )
        )
    capacity = replace(CAPACITY, busy_seconds=tuple(0.01 * busy for busy in range(targets)))
    lines = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace

    previous = sys.gettrace()
    queue.select(0.0, capacity)  # Fills caches.
    sys.settrace(trace)
    try:
        queue.select(0.0, capacity)
    finally:
        sys.settrace(previous)
    return lines


class SearchCostTest(unittest.TestCase):
    def test_an_owner_of_many_targets_is_not_slowed_by_each_call(self) -> None:
        # An owner calls every target, so work that grew with targets would grow with their square.
        few, many = count_lines(targets=4, stages=40), count_lines(targets=40, stages=40)
        self.assertLess(many, 2 * few)


if __name__ == "__main__":
    unittest.main()
