"""Shares of limits by capacity: the sum stays within the limit while boxes have different lists."""

import random
import unittest
from collections.abc import Sequence

from damsonlane.membership import BoxRecord, CapacityShares
from damsonlane.membership._shares import HOLD_SECONDS, MAX_LISTS


def _make_record(number: int, capacity: float) -> BoxRecord:
    return BoxRecord(
        box=f"entry-{number}",
        incarnation="one",
        started_at=0.0,
        data_centre="dha",
        address=f"127.0.0.1:{number}",
        standing="live",
        via="control-1",
        place=number,
        capacity=capacity,
    )


UNEVEN = [_make_record(number, 0.387 if number % 4 else 1.29) for number in range(66)]


def _follow(records: Sequence[BoxRecord], now: float = 0.0) -> list[CapacityShares]:
    """Return the shares of all boxes in a list that they have had for long."""
    followers = [CapacityShares(record.address) for record in records]
    for shares in followers:
        shares.record(records, now - 2 * HOLD_SECONDS)
    return followers


class SplitTest(unittest.TestCase):
    def test_parts_follow_the_capacities_and_add_up_to_at_most_the_limit(self) -> None:
        """Guards against rounding that exceeds the limit, and against parts that are not used."""
        followers = _follow(UNEVEN)
        for limit in (1, 7, 66, 132, 450, 5_000):
            parts = [shares.split_singly("t1", limit, 0.0) for shares in followers]
            self.assertLessEqual(sum(parts), limit)
            self.assertGreaterEqual(sum(parts), min(limit, 16))
            connections = [shares.split(limit, 2, 0.0) for shares in followers]
            self.assertLessEqual(sum(connections), max(limit, 2 * len(followers)))
        self.assertAlmostEqual(sum(shares.find_share(0.0) for shares in followers), 1.0)
        self.assertAlmostEqual(
            followers[0].find_share(0.0) / followers[1].find_share(0.0), 1.29 / 0.387
        )

    def test_a_box_of_unknown_capacity_gets_the_part_of_the_smallest(self) -> None:
        """Guards against a box of an earlier release that gets no part."""
        followers = _follow([*UNEVEN, _make_record(66, 0.0)])
        self.assertEqual(followers[66].find_share(0.0), followers[1].find_share(0.0))

    def test_equal_and_unknown_capacities_are_not_split_here(self) -> None:
        """Guards against deployments of boxes of one size that behave differently than before."""
        for capacity in (0.0, 0.516):
            for shares in _follow([_make_record(number, capacity) for number in range(5)]):
                self.assertFalse(shares.is_uneven(0.0))

    def test_a_started_box_has_no_share_until_the_others_know_it(self) -> None:
        """Guards against a new box that uses a share which others still use."""
        shares = CapacityShares(UNEVEN[0].address)
        shares.record(UNEVEN, 0.0)
        self.assertEqual(shares.find_share(HOLD_SECONDS - 0.1), 0.0)
        self.assertGreater(shares.find_share(HOLD_SECONDS + 0.1), 0.0)

    def test_a_share_shrinks_at_once_and_grows_later(self) -> None:
        """Guards against a box that takes over a share while its owner still uses it."""
        shares = _follow(UNEVEN)[0]
        before = shares.find_share(0.0)
        shares.record(UNEVEN[:40], 1.0)
        self.assertEqual(shares.find_share(1.0 + HOLD_SECONDS - 0.1), before)
        self.assertGreater(shares.find_share(1.0 + HOLD_SECONDS + 0.1), before)
        shares.record(UNEVEN, 10.0)
        self.assertEqual(shares.find_share(10.0), before)

    def test_the_number_of_lists_is_bounded(self) -> None:
        """Guards against memory that grows while boxes come and go."""
        shares = _follow(UNEVEN)[0]
        for number in range(200):
            shares.record(UNEVEN[: 40 + number % 20], number * 0.001)
            shares.find_share(number * 0.001)
        self.assertLessEqual(len(shares._lists), MAX_LISTS + 1)

    def test_many_lists_at_once_do_not_make_a_share_grow_early(self) -> None:
        """Guards against a sum above the limit while all boxes restart after a power loss."""
        shares = CapacityShares(UNEVEN[0].address)
        for number in range(3 * MAX_LISTS):
            shares.record(UNEVEN[: 1 + number % len(UNEVEN)], 0.001 * number)
        self.assertEqual(shares.find_share(0.9 * HOLD_SECONDS), 0.0)
        shares = _follow(UNEVEN)[0]
        many = (*UNEVEN, *(_make_record(number, 1.29) for number in range(66, 99)))
        shares.record(many, 0.0)
        share = shares.find_share(0.0)
        for number in range(3 * MAX_LISTS):
            shares.record(UNEVEN, 0.001 * number)
        self.assertAlmostEqual(shares.find_share(1.0), share)
        self.assertGreater(shares.find_share(2.0 * HOLD_SECONDS), share)


class DifferentListsTest(unittest.TestCase):
    def test_sums_stay_within_limits_while_lists_arrive_at_different_times(self) -> None:
        """Guards against boxes that exceed a limit together during loss, start and reload."""
        busiest, most_parts, most_connections = 0.0, 0, 0
        for seed in range(6):
            randomness = random.Random(seed)
            capacities = {number: record.capacity for number, record in enumerate(UNEVEN)}
            listed = set(range(50))
            followers = _follow(UNEVEN[:50])
            followers += [CapacityShares(record.address) for record in UNEVEN[50:]]
            #: When each box gets each list, and the number of that list.
            arrivals: list[tuple[float, int, int, list[BoxRecord]]] = []
            made_at = 0.0
            # Each box changes once, and many boxes change at about the same time.
            for version, changed in enumerate(randomness.sample(range(66), 40)):
                made_at += randomness.choice((0.0, 0.5, 3.0, 20.0))
                if randomness.random() < 0.5:
                    listed ^= {changed}
                else:
                    capacities[changed] = randomness.choice((0.0, 0.387, 1.29))
                records = [_make_record(box, capacities[box]) for box in sorted(listed)]
                for box in range(66):
                    delay = randomness.uniform(0.0, 0.95 * HOLD_SECONDS)
                    arrivals.append((made_at + delay, version, box, records))
            newest = [-1] * 66
            for at, version, box, records in sorted(arrivals, key=lambda arrival: arrival[0]):
                # Control sends the newest list only, so some lists never reach some boxes.
                if version < newest[box]:
                    continue
                newest[box] = version
                followers[box].record(records, at)
                if randomness.random() < 0.1:
                    started = [shares for shares in followers if shares._lists]
                    busiest = max(busiest, sum(shares.find_share(at) for shares in started))
                    parts = sum(shares.split_singly("t1", 7, at) for shares in started)
                    most_parts = max(most_parts, parts)
                    # Boxes that are not listed anywhere have the least number as well.
                    held = sum(shares.split(450, 2, at) for shares in started) - 2 * 66
                    most_connections = max(most_connections, held)
        self.assertLessEqual(busiest, 1.0 + 1e-9)
        self.assertGreater(busiest, 0.9)
        self.assertLessEqual(most_parts, 7)
        self.assertLessEqual(most_connections, 450)


if __name__ == "__main__":
    unittest.main()
