"""Tests of the choice of the control replicas that are told of origins."""

import math
import unittest
from collections import Counter

from damsonlane.versions import REPLICA_COPIES, ReplicaRanking
from damsonlane.versions._replicas import MAX_COLLECT_SECONDS

REPLICAS = [f"10.1.0.{number}:7000" for number in range(5)]


def rank(own: str, replicas: list[str]) -> tuple[str, ...]:
    ranking = ReplicaRanking(own)
    ranking.update(replicas)
    return ranking.rank()


class ReplicaRankingTest(unittest.TestCase):
    def test_boxes_spread_over_the_replicas(self) -> None:
        told = Counter(
            address
            for number in range(500)
            for address in rank(f"10.0.0.{number}:7000", REPLICAS)[:REPLICA_COPIES]
        )
        self.assertEqual(set(told), set(REPLICAS))
        self.assertGreater(min(told.values()), 200)

    def test_the_order_of_the_list_does_not_matter(self) -> None:
        self.assertEqual(rank("a:1", REPLICAS), rank("a:1", REPLICAS[::-1]))

    def test_a_replica_that_leaves_moves_no_other_one(self) -> None:
        before = rank("a:1", REPLICAS)
        without = [address for address in REPLICAS if address != before[1]]
        self.assertEqual(rank("a:1", without), (before[0], *before[2:]))

    def test_the_number_of_replicas_is_bounded(self) -> None:
        many = [f"10.1.0.{number}:7000" for number in range(40)]
        self.assertEqual(len(rank("a:1", many)), 9)

    def test_boxes_of_large_fleets_collect_origins_for_a_message(self) -> None:
        ranking = ReplicaRanking("a:1")
        self.assertEqual(ranking.find_collect_seconds(350), 0.0)
        ranking.update(REPLICAS)
        self.assertLess(ranking.find_collect_seconds(8), 0.01)
        for boxes in (66, 195, 350, 2_000):
            seconds = ranking.find_collect_seconds(boxes)
            messages = boxes * REPLICA_COPIES / len(REPLICAS) / seconds
            self.assertTrue(seconds == MAX_COLLECT_SECONDS or messages <= 501, (boxes, seconds))
            self.assertLessEqual(seconds, MAX_COLLECT_SECONDS)

    def test_a_stream_is_lost_since_its_origin_waits_for_others(self) -> None:
        ranking = ReplicaRanking("a:1")
        ranking.update(REPLICAS)
        interval = ranking.find_collect_seconds(66)
        self.assertEqual(ranking.find_collect_seconds(66, math.inf), 0.0)
        self.assertAlmostEqual(ranking.find_collect_seconds(66, interval / 4), 0.75 * interval)


if __name__ == "__main__":
    unittest.main()
