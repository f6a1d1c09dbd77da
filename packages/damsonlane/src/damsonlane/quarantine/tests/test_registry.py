"""Which requests are quarantined after exits of targets."""

import random
import unittest
from collections.abc import Sequence
from dataclasses import replace
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from damsonlane.codec import decode_bytes, encode_text
from damsonlane.quarantine import (
    EXIT_WINDOW_SECONDS,
    EXITS_TO_QUARANTINE_TIED,
    MAX_EXITS,
    SERVED_SECONDS,
    ForgetTargetExits,
    InterruptedRequest,
    QuarantineRegistry,
    QuarantineSnapshot,
    RecentlyServed,
    RecordServed,
    RecordTargetExit,
    ReleaseRequest,
)
from damsonlane.quarantine._registry import MAX_RUNS
from damsonlane.quarantine._served import MAX_SERVED


def make_exit(
    number: int, *requests: str, seconds: float = 0.2, at: float = 0.0
) -> RecordTargetExit:
    runs = tuple(InterruptedRequest(fingerprint=name, seconds=seconds) for name in requests)
    return RecordTargetExit(target=f"t{number}", start=number, runs=runs, at=at)


def list_quarantined(registry: QuarantineRegistry) -> list[str]:
    return [request.fingerprint for request in registry.list_for_entries().held]


def make_registry(*exits: Sequence[str]) -> QuarantineRegistry:
    registry = QuarantineRegistry()
    for number, requests in enumerate(exits):
        registry.apply(make_exit(number, *requests))
    return registry


class QuarantineTest(unittest.TestCase):
    def test_a_request_is_quarantined_after_three_exits(self) -> None:
        self.assertEqual(list_quarantined(make_registry(["bad", "a"], ["bad", "b"])), [])
        self.assertEqual(
            list_quarantined(make_registry(["bad", "a"], ["bad", "b"], ["bad"])), ["bad"]
        )

    def test_an_exit_that_several_boxes_report_counts_once(self) -> None:
        registry = QuarantineRegistry()
        for _ in range(5):
            registry.apply(make_exit(1, "a"))
        self.assertEqual(list_quarantined(registry), [])

    def test_each_incarnation_of_a_target_counts(self) -> None:
        registry = QuarantineRegistry()
        for start in range(3):
            runs = (InterruptedRequest(fingerprint="bad", seconds=0.1),)
            registry.apply(RecordTargetExit(target="t", start=start, runs=runs))
        self.assertEqual(list_quarantined(registry), ["bad"])

    def test_exits_of_a_target_that_keeps_its_name_are_told_apart_by_time(self) -> None:
        registry = QuarantineRegistry()
        for at in (10.0, 10.1, 20.0, 20.1):
            registry.apply(replace(make_exit(0, "bad", at=at), is_name_kept=True))
        self.assertEqual(list_quarantined(registry), [])
        registry.apply(replace(make_exit(0, "bad", at=30.0), is_name_kept=True))
        self.assertEqual(list_quarantined(registry), ["bad"])

    def test_requests_next_to_a_quarantined_one_are_not_quarantined(self) -> None:
        registry = make_registry(
            ["bad", "a", "b"], ["bad", "a"], ["bad", "a", "c"], ["bad", "c", "b"], ["bad", "b"]
        )
        self.assertEqual(list_quarantined(registry), ["bad"])

    def test_two_crashing_requests_are_both_quarantined(self) -> None:
        registry = make_registry(["x", "a"], ["x"], ["x", "y"], ["x"], ["y"], ["y", "a"], ["y"])
        self.assertEqual(list_quarantined(registry), ["x", "y"])

    def test_later_reports_move_the_quarantine_from_a_bystander_to_the_cause(self) -> None:
        """At first a bystander is part of more exits than the cause."""
        registry = make_registry(["bad", "a"], ["bad", "a"], ["a"])
        self.assertEqual(list_quarantined(registry), ["a"])
        for number in (2, 3):
            registry.apply(make_exit(number, "bad"))
        self.assertEqual(list_quarantined(registry), ["bad"])

    def test_requests_with_all_exits_in_common_need_more_exits(self) -> None:
        together = [["x", "y"]] * EXITS_TO_QUARANTINE_TIED
        self.assertEqual(list_quarantined(make_registry(*together[:-1])), [])
        self.assertEqual(list_quarantined(make_registry(*together)), ["x", "y"])
        self.assertEqual(list_quarantined(make_registry(*together[:3], ["x"])), ["x"])

    def test_tied_requests_do_not_hide_a_third_one(self) -> None:
        registry = make_registry(["x", "y"], ["x", "y"], ["x", "y"], ["z"], ["z"], ["z"])
        self.assertEqual(list_quarantined(registry), ["z"])


class ReleaseTest(unittest.TestCase):
    def test_a_served_request_is_not_quarantined(self) -> None:
        registry = make_registry(["popular"], ["popular"])
        self.assertEqual(registry.list_for_entries().suspects, ("popular",))
        registry.apply(RecordServed(fingerprints=("popular",)))
        registry.apply(make_exit(9, "popular"))
        self.assertEqual(list_quarantined(registry), [])

    def test_an_operator_releases_a_request(self) -> None:
        registry = make_registry(["bad"], ["bad"], ["bad"])
        before = registry.revision
        registry.apply(ReleaseRequest(fingerprint="bad", operator="o", at=1.0))
        self.assertEqual(list_quarantined(registry), [])
        self.assertGreater(registry.revision, before)

    def test_old_exits_are_removed(self) -> None:
        registry = QuarantineRegistry()
        for number in range(4):
            registry.apply(make_exit(number, "bad", at=100.0 * number))
        self.assertEqual(registry.list_for_entries().held[0].until, 100.0 + EXIT_WINDOW_SECONDS)
        self.assertFalse(registry.has_expired_exits(EXIT_WINDOW_SECONDS))
        self.assertTrue(registry.has_expired_exits(EXIT_WINDOW_SECONDS + 1.0))
        registry.apply(ForgetTargetExits(before=99.0))
        self.assertEqual(list_quarantined(registry), ["bad"])
        registry.apply(ForgetTargetExits(before=101.0))
        self.assertEqual(list_quarantined(registry), [])

    def test_many_other_exits_do_not_release_a_request(self) -> None:
        registry = make_registry(["bad"], ["bad"], ["bad"])
        for number in range(3, 2 * MAX_EXITS):
            registry.apply(make_exit(number, f"other-{number}"))
        self.assertEqual(list_quarantined(registry), ["bad"])
        self.assertEqual(len(registry.snapshot().ends), MAX_EXITS)

    def test_an_exit_with_hundreds_of_requests_keeps_the_shortest_runs(self) -> None:
        registry = QuarantineRegistry()
        for number in range(3):
            registry.apply(
                make_exit(number, *(f"{number}-{other}" for other in range(300)), seconds=2)
            )
            registry.apply(make_exit(number, "bad", seconds=0.1))
        self.assertEqual(list_quarantined(registry), ["bad"])


class RecentlyServedTest(unittest.TestCase):
    def test_a_served_request_counts_as_recent_for_a_minute(self) -> None:
        served = RecentlyServed()
        self.assertFalse(served.contains("a", 0.0))
        served.record("a", 10.0)
        self.assertTrue(served.contains("a", 9.9 + SERVED_SECONDS))
        self.assertFalse(served.contains("a", 10.0 + SERVED_SECONDS))

    def test_the_oldest_requests_are_dropped(self) -> None:
        served = RecentlyServed()
        for number in range(MAX_SERVED + 1):
            served.record(f"r{number % MAX_SERVED}", 0.0)
        self.assertTrue(served.contains("r0", 1.0))
        served.record("new", 0.0)
        self.assertFalse(served.contains("r1", 1.0))
        self.assertTrue(served.contains("r0", 1.0))


class StateTest(unittest.TestCase):
    def test_a_snapshot_holds_everything(self) -> None:
        registry = make_registry(["bad", "a"], ["bad"], ["bad"])
        text = encode_text(registry.snapshot(), QuarantineSnapshot)
        restored = QuarantineRegistry(decode_bytes(text, QuarantineSnapshot))
        self.assertEqual(restored.list_for_entries(), registry.list_for_entries())
        self.assertEqual(restored.snapshot(), registry.snapshot())

    def test_a_request_pushed_out_of_an_exit_is_no_longer_counted_there(self) -> None:
        """Guards against a KeyError in the replicated state, which would stop every replica."""
        registry = make_registry(["long", "a"], ["long", "b"])
        self.assertIn("long", registry.list_for_entries().suspects)
        shorter = [f"short-{index}" for index in range(MAX_RUNS)]
        registry.apply(make_exit(1, *shorter, seconds=0.1))
        self.assertEqual(registry.list_for_entries().suspects, ())
        for number in range(2, MAX_EXITS + 2):
            registry.apply(make_exit(number, f"other-{number}"))
        registry.apply(make_exit(MAX_EXITS + 2, "long", "c"))
        self.assertEqual(registry.list_for_entries().suspects, ())

    def test_a_restored_registry_lists_the_same_suspects(self) -> None:
        """Guards against replicas that differ after one of them restored a snapshot."""
        for seed in range(8):
            randomness = random.Random(seed)
            registry = QuarantineRegistry()
            for _ in range(40):
                names = [f"r{randomness.randrange(90)}" for _ in range(30)]
                registry.apply(
                    make_exit(randomness.randrange(6), *names, seconds=randomness.random())
                )
                restored = QuarantineRegistry(registry.snapshot())
                with self.subTest(seed=seed):
                    self.assertEqual(restored.list_for_entries(), registry.list_for_entries())

    def test_the_revision_rises_only_with_the_list(self) -> None:
        registry = make_registry(["a"], ["b"])
        self.assertEqual(registry.revision, 0)
        registry.apply(make_exit(2, "a"))
        self.assertEqual(registry.revision, 1)

    @given(
        st.lists(st.sets(st.sampled_from("abcdef"), min_size=1), max_size=8),
        st.randoms(use_true_random=False),
    )
    def test_the_order_of_reports_does_not_matter(
        self, exits: list[set[str]], randomness: random.Random
    ) -> None:
        """Each box reports its own requests of an exit, in any order."""
        reported = [(number, name) for number, names in enumerate(exits) for name in sorted(names)]
        registries = []
        for _ in range(2):
            registry = QuarantineRegistry()
            for number, name in reported:
                registry.apply(make_exit(number, name))
            registries.append(registry)
            randomness.shuffle(reported)
        first, second = (registry.list_for_entries() for registry in registries)
        self.assertEqual(first.held, second.held)
        self.assertEqual(first.suspects, second.suspects)

    def test_reports_of_a_lost_rack_do_not_rebuild_the_list(self) -> None:
        """Rebuilding it for each of hundreds of reports would take seconds."""
        registry = QuarantineRegistry()
        for number in range(MAX_EXITS):
            registry.apply(make_exit(number, *(f"{number}-{other}" for other in range(40))))
        with mock.patch.object(registry, "_make_list") as rebuild:
            for number in range(200):
                registry.apply(
                    make_exit(1_000 + number % 10, *(f"r{number}-{n}" for n in range(24)))
                )
        rebuild.assert_not_called()

    @given(
        st.lists(st.sets(st.sampled_from("abcd"), max_size=3), min_size=3, max_size=10),
    )
    def test_the_only_request_in_every_exit_is_the_cause(self, others: list[set[str]]) -> None:
        registry = make_registry(*([*sorted(names), "bad"] for names in others))
        is_alone = all(any(name not in names for names in others) for name in "abcd")
        if is_alone:
            self.assertEqual(list_quarantined(registry), ["bad"])


if __name__ == "__main__":
    unittest.main()
