"""The list of boxes that operators see."""

import asyncio
import unittest
from typing import cast

from damsonlane.membership import BoxRecord
from damsonlane_cli._context import OperatorSettings
from damsonlane_cli._control import _read_boxes
from damsonlane_rpc import BoxesView, ControlClient, QueryReply, QueryRequest


class FakeControl:
    """A control group that lists boxes of given capacities."""

    def __init__(self, *records: BoxRecord) -> None:
        self._records = records

    async def query(self, request: QueryRequest, seconds: float) -> QueryReply:
        return QueryReply(outcome=BoxesView(boxes=self._records))


def make_record(number: int, capacity: float, *, is_overloaded: bool = False) -> BoxRecord:
    return BoxRecord(
        box=f"entry-{number}",
        incarnation="one",
        started_at=0.0,
        data_centre="dha",
        address=f"127.0.0.1:{number}",
        standing="live",
        via="control-1",
        capacity=capacity,
        is_overloaded=is_overloaded,
    )


class BoxesTest(unittest.TestCase):
    def test_each_box_has_its_capacity(self) -> None:
        """Guards against operators who can't see why a box owns nothing."""
        control = FakeControl(
            make_record(1, 1.29), make_record(2, 0.387, is_overloaded=True), make_record(3, 0.0)
        )
        settings = OperatorSettings(control=())
        rows = asyncio.run(_read_boxes(cast(ControlClient, control), settings))
        self.assertEqual([row["cores"] for row in rows], [1.29, 0.387, "unknown"])
        self.assertEqual([row["overloaded"] for row in rows], [False, True, False])


if __name__ == "__main__":
    unittest.main()
