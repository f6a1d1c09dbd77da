"""Tests of the encoding of messages between boxes."""

import unittest

from damsonlane.pools import PieceOrder
from damsonlane_rpc import MESSAGE_COUNTERS, DataclassCodec, PoolOrders
from damsonlane_rpc._codec import MIN_COMPRESSED_BYTES

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

    def test_sent_bytes_are_counted_after_compression(self) -> None:
        before = MESSAGE_COUNTERS.bytes_sent
        message = PoolOrders(service="pool", orders=(_ORDER,) * 50)
        data = DataclassCodec().encode(message, PoolOrders)
        self.assertEqual(MESSAGE_COUNTERS.bytes_sent - before, len(data))


if __name__ == "__main__":
    unittest.main()
