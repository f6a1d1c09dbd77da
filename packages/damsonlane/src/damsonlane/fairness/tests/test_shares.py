"""Which waiting work is within the share of its organisation."""

import unittest
from collections import Counter
from collections.abc import Collection

from damsonlane.fairness import Claim, OrganisationShares, OrganisationUsage, WaitingWork
from damsonlane.fairness._usage import MAX_NAMES, OTHERS

#: Capacity in units of work per second.
CAPACITY = 10.0


def list_claims(name: str, count: int, seconds: float = 1.0) -> list[Claim]:
    return [Claim(organisation=name, work=1.0, seconds=seconds) for _ in range(count)]


class OrganisationSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = OrganisationShares()
        #: Organisations of a lower priority than the others.
        self.later: Collection[str] = ()

    def count_within(self, claims: list[Claim], now: float = 0.0) -> dict[str, int]:
        work = Counter(claim.organisation for claim in claims)
        waiting = {
            name: WaitingWork(work=count, priority=int(name in self.later))
            for name, count in work.items()
        }
        self.shares.divide(waiting, CAPACITY, now)
        flags = self.shares.find_excess(claims)
        within = [claim.organisation for claim, flag in zip(claims, flags, strict=True) if not flag]
        return {name: within.count(name) for name in {claim.organisation for claim in claims}}

    def test_a_new_owner_divides_by_what_waits(self) -> None:
        """Guards against an owner that must learn before it protects anyone."""
        within = self.count_within([*list_claims("large", 100), *list_claims("small", 4)])
        self.assertEqual(within["small"], 4)
        self.assertLess(within["large"], 10)

    def test_recent_use_beyond_the_share_counts_and_is_forgotten(self) -> None:
        claims = [*list_claims("a", 20), *list_claims("b", 20)]
        before = self.count_within(claims)
        for _ in range(40):
            self.shares.record_started("a", 1.0, 0.0)
        used = self.count_within(claims)
        self.assertLess(used["a"], before["a"])
        self.assertEqual(self.count_within(claims, now=60.0), before)

    def test_idle_time_is_not_saved_up(self) -> None:
        """Guards against a burst after a pause that displaces those who kept to their share."""
        claims = [*list_claims("a", 20), *list_claims("b", 20)]
        self.count_within(list_claims("a", 1))
        self.assertEqual(self.count_within(claims, now=60.0)["a"], 6)

    def test_many_new_organisations_are_forgotten(self) -> None:
        """Guards against memory that grows with the number of organisations ever seen."""
        for number in range(5_000):
            self.shares.record_refused(f"o{number}", 0.04, 0.0)
        self.shares.divide({}, CAPACITY, 60.0)
        self.assertEqual(len(self.shares.entitlements), 0)

    def test_organisations_of_a_higher_priority_do_not_give_way_to_others(self) -> None:
        """Guards against shares that override the configured priorities."""
        claims = [*list_claims("first", 8), *list_claims("a", 8), *list_claims("b", 8)]
        self.later = ("a", "b")
        self.assertEqual(self.count_within(claims), {"first": 8, "a": 2, "b": 2})
        self.assertFalse(self.shares.is_contended("first"))
        self.assertAlmostEqual(self.shares.find_part("a"), 0.2)

    def test_weights_divide_the_shares(self) -> None:
        self.shares = OrganisationShares({"a": 3.0, "b": 1.0}.__getitem__)
        within = self.count_within([*list_claims("a", 50), *list_claims("b", 50)])
        self.assertEqual(within, {"a": 8, "b": 3})

    def test_time_that_goes_back_changes_nothing(self) -> None:
        self.shares.record_started("a", 1.0, 10.0)
        self.shares.record_started("a", 1.0, 5.0)
        self.count_within(list_claims("a", 1), now=10.0)
        self.assertIn("a", self.shares.entitlements)


class OrganisationUsageTest(unittest.TestCase):
    def test_the_number_of_names_is_bounded(self) -> None:
        """Guards against labels and log lines that grow with the number of organisations."""
        usage = OrganisationUsage()
        for number in range(3 * MAX_NAMES):
            usage.record_started(f"o{number}", 1.0, 0.0)
        totals = usage.take()
        self.assertLessEqual(len(totals), MAX_NAMES + 1)
        self.assertEqual(totals[OTHERS].started, 2 * MAX_NAMES)
        self.assertEqual(usage.take(), {})


if __name__ == "__main__":
    unittest.main()
