"""When the owner of a shard divides its service."""

import unittest

from damsonlane.pools import DivisionPolicy, OwnedWork
from damsonlane.targets import DivideService, Shard


def make_work(
    index: int = 0, *, service: str = "pool", pieces: float = 500.0, shards: int = 1, targets: int
) -> OwnedWork:
    return OwnedWork(
        shard=Shard(service=service, index=index),
        pieces_per_second=pieces,
        shards=shards,
        targets=targets,
    )


def command(expected: int, shards: int, service: str = "pool") -> DivideService:
    return DivideService(service=service, expected=expected, shards=shards)


class DivisionPolicyTest(unittest.TestCase):
    def test_a_busy_owner_divides_its_service(self) -> None:
        cases: tuple[tuple[str, float, list[OwnedWork], DivideService | None], ...] = (
            ("idle", 0.3, [make_work(targets=21)], None),
            ("busy", 0.45, [make_work(targets=21)], command(1, 2)),
            ("full", 1.0, [make_work(targets=21)], command(1, 4)),
            ("full in shards", 1.0, [make_work(1, shards=2, targets=21)], command(2, 7)),
            ("no more shards", 1.0, [make_work(shards=7, targets=21)], None),
            ("few targets", 1.0, [make_work(targets=5)], None),
            ("busy with callers", 1.0, [make_work(targets=21, pieces=5.0)], None),
            ("owns nothing", 1.0, [], None),
            (
                "largest of two",
                0.45,
                [make_work(targets=21), make_work(service="b", pieces=600.0, targets=11)],
                command(1, 2, "b"),
            ),
        )
        for name, load, works, expected in cases:
            with self.subTest(name):
                self.assertEqual(DivisionPolicy().decide(0.0, load, works), expected)

    def test_a_division_is_not_repeated_before_its_effect_shows(self) -> None:
        policy = DivisionPolicy()
        self.assertIsNotNone(policy.decide(0.0, 0.9, [make_work(targets=21)]))
        self.assertIsNone(policy.decide(1.0, 0.9, [make_work(targets=21)]))
        self.assertIsNotNone(policy.decide(2.5, 0.9, [make_work(shards=4, targets=21)]))

    def test_shards_of_an_idle_service_are_merged(self) -> None:
        last = make_work(1, shards=2, targets=21, pieces=1.0)
        first = make_work(0, shards=2, targets=21, pieces=1.0)
        policy = DivisionPolicy()
        self.assertIsNone(policy.decide(0.0, 0.01, [last]))
        self.assertIsNone(policy.decide(100.0, 0.2, [last]))
        self.assertIsNone(policy.decide(200.0, 0.01, [last]))
        self.assertIsNone(policy.decide(230.0, 0.01, [first]))
        self.assertEqual(policy.decide(230.0, 0.01, [first, last]), command(2, 1))


if __name__ == "__main__":
    unittest.main()
