"""How many requests cold targets get."""

import random
import unittest

from damsonlane.coldness import ColdBound, ColdGate, ColdNews, find_entry_share
from damsonlane.targets import TargetRecord

BOUND = ColdBound(rate=6.7, ratio=1.5, slack=5.0)
RECORD = TargetRecord(
    target="t1",
    service="desk",
    address="10.0.0.1:80",
    data_centre="gulberg",
    slots=4,
    standing="live",
    sequence=1,
)


def cold(seconds: float) -> TargetRecord:
    return TargetRecord(**{**vars(RECORD), "cold_seconds": seconds})


class BoundTest(unittest.TestCase):
    def test_two_owners_and_all_entries_stay_within_the_bound(self) -> None:
        for rate in (0.0, 0.3, 1.0, 6.7, 14.0, 100.0):
            for slack in (5.0, 10.0):
                bound = ColdBound(rate=rate, ratio=1.5, slack=slack)
                together = 2 * bound.owner_limit() + bound.entries_limit()
                self.assertLessEqual(together, bound.most())

    def test_an_owner_places_what_a_target_bears(self) -> None:
        self.assertEqual(BOUND.owner_limit(), 6)


class GateTest(unittest.TestCase):
    def test_a_wave_at_targets_that_come_back_together_stays_within_the_limit(self) -> None:
        """A hundred requests a second for 18 targets that all entries see idle."""
        gate = ColdGate()
        sent: dict[str, list[float]] = {f"t{number}": [] for number in range(18)}
        dice = random.Random(7)
        now = 0.0
        elsewhere = 0
        while now < 4.0:
            now += dice.expovariate(400.0)
            among = [name for name in sent if gate.admits(name, BOUND.owner_limit(), now)]
            if not among:
                elsewhere += 1
                continue
            name = dice.choice(among)
            gate.note(name, now)
            sent[name].append(now)
        self.assertGreater(elsewhere, 0)
        for times in sent.values():
            busiest = max(sum(begin <= at < begin + 1.0 for at in times) for begin in times)
            self.assertLessEqual(busiest, 6)

    def test_targets_that_are_gone_are_forgotten(self) -> None:
        gate = ColdGate()
        gate.note("t1", 0.0)
        gate.forget_others({"t2"})
        self.assertTrue(gate.admits("t1", 1, 0.1))


class ShareTest(unittest.TestCase):
    def test_entries_by_themselves_stay_within_their_limit(self) -> None:
        for count in (1, 2, 3, 6, 86, 350):
            entries = [f"10.0.0.{number}:7000" for number in range(count)]
            for target in ("t1", "t2", "t3"):
                shares = [
                    find_entry_share(target, entry, entries, BOUND.entries_limit())
                    for entry in entries
                ]
                self.assertLessEqual(sum(shares), BOUND.entries_limit())
                self.assertGreater(sum(shares), 0)

    def test_an_entry_that_is_not_listed_sends_nothing(self) -> None:
        self.assertEqual(find_entry_share("t1", "10.0.0.9:7000", ["10.0.0.1:7000"], 3), 0)


class NewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.news = ColdNews()

    def test_a_target_that_turns_cold_and_warm_again_is_news_once_each(self) -> None:
        self.assertTrue(self.news.is_news(cold(3.0), RECORD, 10.0))
        self.news.note(cold(3.0), 10.0)
        self.assertFalse(self.news.is_news(cold(1.8), cold(3.0), 11.3))
        self.assertTrue(self.news.is_news(RECORD, cold(3.0), 13.6))
        self.news.note(RECORD, 13.6)
        self.assertFalse(self.news.is_news(RECORD, RECORD, 14.8))

    def test_a_target_that_turns_cold_again_meanwhile_is_news(self) -> None:
        self.news.note(cold(3.0), 10.0)
        self.assertTrue(self.news.is_news(cold(2.9), cold(3.0), 11.2))

    def test_what_another_replica_noted_is_noted_once_more(self) -> None:
        self.assertTrue(self.news.is_news(cold(1.8), cold(3.0), 11.2))


if __name__ == "__main__":
    unittest.main()
