"""Accounting of result memory, and the throughput of pools."""

import unittest

from damsonlane.pools import ResultMemory, ThroughputEstimate
from damsonlane.pools._result_memory import UNKNOWN_SECONDS
from damsonlane.pools._throughput import SHARE_RANGE


class ResultMemoryTest(unittest.TestCase):
    def test_memory_reported_missing_counts_as_used_for_a_while(self) -> None:
        memory = ResultMemory(100, keep_seconds=4.0)
        memory.commit(0, {"h1": 20}, 0.0)
        memory.record_rejection(80, 10, 1.0)
        self.assertEqual(memory.free_bytes(1.1), 0)
        self.assertTrue(memory.was_rejected_recently(1.1))
        self.assertEqual(memory.free_bytes(1.0 + UNKNOWN_SECONDS), 80)
        self.assertFalse(memory.was_rejected_recently(1.0 + UNKNOWN_SECONDS))

    def test_released_results_free_memory_even_if_unknown(self) -> None:
        memory = ResultMemory(100, keep_seconds=4.0)
        memory.commit(0, {"h1": 20}, 0.0)
        memory.record_rejection(80, 10, 1.0)
        memory.release("h1")
        self.assertEqual(memory.free_bytes(1.0), 20)
        memory.release("of an earlier owner")
        self.assertEqual(memory.free_bytes(1.0), 30)

    def test_a_second_rejection_adds_to_the_first_only_while_that_counts(self) -> None:
        cases = (("while the first counts", 1.5, 40), ("after that", 2.5, 70))
        for name, rejected_at, expected in cases:
            with self.subTest(name):
                memory = ResultMemory(100, keep_seconds=4.0)
                memory.record_rejection(30, 10, 1.0)
                memory.record_rejection(30, 10, rejected_at)
                self.assertEqual(memory.free_bytes(rejected_at), expected)

    def test_results_use_memory_until_released_or_expired(self) -> None:
        memory = ResultMemory(100, keep_seconds=4.0)
        memory.reserve(40)
        self.assertEqual(memory.free_bytes(0.0), 60)
        memory.commit(40, {"h1": 20, "h2": 10}, 1.0)
        self.assertEqual(memory.free_bytes(1.0), 70)
        self.assertTrue(memory.release("h1"))
        self.assertFalse(memory.release("h1"))
        self.assertEqual(memory.free_bytes(1.0), 90)
        self.assertEqual(memory.free_bytes(5.1), 100)


class ThroughputTest(unittest.TestCase):
    def test_the_share_follows_calls_that_could_have_been_full(self) -> None:
        throughput = ThroughputEstimate()
        self.assertEqual(throughput.ratio(), 1.0)
        for _ in range(60):
            throughput.record_call(3, 5, 0.3, 0.37)
        self.assertAlmostEqual(throughput.ratio(), 3 / 5 * 0.37 / 0.3, places=2)

    def test_the_share_is_bounded(self) -> None:
        throughput = ThroughputEstimate()
        for _ in range(60):
            throughput.record_call(1, 30, 9.0, 0.37)
        self.assertEqual(throughput.ratio(), SHARE_RANGE[0])


if __name__ == "__main__":
    unittest.main()
