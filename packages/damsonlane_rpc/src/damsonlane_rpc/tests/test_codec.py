"""Tests of the encoding of messages between boxes."""

import json
import math
import unittest
import zlib
from typing import Any

from grpclib.exceptions import GRPCError

from damsonlane.codec import encode_bytes
from damsonlane.membership import BoxRecord, is_plausible_capacity
from damsonlane.placement import PromptOutcome
from damsonlane.pools import PieceOrder
from damsonlane_rpc import (
    MESSAGE_COUNTERS,
    DataclassCodec,
    FollowReport,
    FollowUpdate,
    PoolOrders,
    WatchReport,
)
from damsonlane_rpc._codec import MAX_MESSAGE_BYTES, MIN_COMPRESSED_BYTES

_ORDER = PieceOrder(
    number=1,
    request="r1",
    stage=0,
    piece=0,
    material_key="key",
    inputs=("127.0.0.1:1/h",),
    left_seconds=5.0,
    aim_left_seconds=1.0,
    give_up_left_seconds=2.0,
    rank=0,
    result_bytes=10,
)


_RECORD = BoxRecord(
    box="b",
    incarnation="i",
    started_at=1.0,
    data_centre="d",
    address="127.0.0.1:1",
    standing="live",
    via="c",
)
_REPORT = FollowReport(
    box=WatchReport(
        box="b", incarnation="i", data_centre="d", version=1, started_at=1.0, address="127.0.0.1:1"
    ),
    targets_revision=1,
)
#: JSON texts that are neither a number nor a flag, or not a plausible one.
_ODD_VALUES = ("null", '"fast"', "[1]", "{}", "-1", "1e400", "1" + "0" * 400, "NaN", "Infinity")


class HintTest(unittest.TestCase):
    """Guards against a whole message that is lost since one hint in it is invalid."""

    def decode_with(self, message: Any, path: tuple[str | int, ...], text: str) -> Any:
        """Return a message decoded with some JSON in place of the field at a path."""
        codec = DataclassCodec()
        data = json.loads(encode_bytes(message, type(message)))
        holder = data
        for step in path[:-1]:
            holder = holder[step]
        holder[path[-1]] = "@"
        odd = json.dumps(data).replace('"@"', text).encode()
        return codec.decode(odd, type(message))

    def test_odd_values_of_a_box_leave_the_rest_of_its_report_valid(self) -> None:
        for text in _ODD_VALUES:
            with self.subTest(text[:10]):
                capacity = self.decode_with(_REPORT, ("box", "capacity"), text).box.capacity
                self.assertFalse(is_plausible_capacity(capacity))
                flagged = self.decode_with(_REPORT, ("box", "is_overloaded"), text)
                self.assertEqual(flagged, _REPORT)
                unreached = self.decode_with(_REPORT, ("box", "unreached"), text).box.unreached
                self.assertTrue(all(isinstance(name, str) for name in unreached))

    def test_odd_values_of_a_box_leave_the_list_of_entries_valid(self) -> None:
        update = FollowUpdate(state_age=0.0, entries=(_RECORD, _RECORD))
        for text in _ODD_VALUES:
            with self.subTest(text[:10]):
                entries = self.decode_with(update, ("entries", 0, "capacity"), text).entries
                self.assertFalse(is_plausible_capacity(entries[0].capacity))
                self.assertEqual(entries[1], _RECORD)
                flagged = self.decode_with(update, ("entries", 0, "is_overloaded"), text)
                self.assertEqual(flagged, update)

    def test_odd_values_of_an_outcome_leave_the_others_valid(self) -> None:
        outcome = PromptOutcome(number=1, seconds=0.1, slowness=2.5, slowness_age_seconds=0.1)
        orders = PoolOrders(service="s", reads=(outcome, outcome))
        for field in ("slowness", "slowness_age_seconds"):
            for text in _ODD_VALUES:
                with self.subTest(field, text=text[:10]):
                    reads = self.decode_with(orders, ("reads", 0, field), text).reads
                    self.assertEqual(reads[0].seconds, 0.1)
                    value = getattr(reads[0], field)
                    is_usable = value is not None and math.isfinite(value) and value >= 0
                    self.assertFalse(is_usable)
                    self.assertEqual(reads[1], outcome)

    def test_outcomes_without_a_slowness_are_encoded_as_before(self) -> None:
        """Guards against other messages in services that report no slowness."""
        orders = PoolOrders(service="s", reads=(PromptOutcome(number=1, seconds=0.1),))
        data = json.loads(DataclassCodec().encode(orders, PoolOrders))
        self.assertEqual(data["reads"], [{"number": 1, "seconds": 0.1}])


class DataclassCodecTest(unittest.TestCase):
    def test_messages_survive_a_round_trip(self) -> None:
        codec = DataclassCodec()
        for count in (0, 1, 50):
            with self.subTest(count=count):
                message = PoolOrders(service="pool", orders=(_ORDER,) * count)
                self.assertEqual(
                    codec.decode(codec.encode(message, PoolOrders), PoolOrders), message
                )

    def test_only_long_messages_are_compressed(self) -> None:
        codec = DataclassCodec()
        cases = (("short", 1, True), ("long", 50, False))
        for name, count, is_text in cases:
            with self.subTest(name):
                data = codec.encode(PoolOrders(service="p", orders=(_ORDER,) * count), PoolOrders)
                self.assertEqual(data.startswith(b"{"), is_text)
                self.assertLess(len(data), MIN_COMPRESSED_BYTES)

    def test_a_message_is_limited_as_decompressed(self) -> None:
        message = PoolOrders(service="pool", orders=(_ORDER,))
        data = DataclassCodec().encode(message, PoolOrders)
        whole = zlib.compress(data + b" " * (MAX_MESSAGE_BYTES - len(data)))
        self.assertEqual(DataclassCodec().decode(whole, PoolOrders), message)
        with self.assertRaises(GRPCError):
            DataclassCodec().decode(zlib.compress(b" " * (MAX_MESSAGE_BYTES + 1)), PoolOrders)

    def test_sent_bytes_are_counted_after_compression(self) -> None:
        before = MESSAGE_COUNTERS.bytes_sent
        message = PoolOrders(service="pool", orders=(_ORDER,) * 50)
        data = DataclassCodec().encode(message, PoolOrders)
        self.assertEqual(MESSAGE_COUNTERS.bytes_sent - before, len(data))


if __name__ == "__main__":
    unittest.main()
