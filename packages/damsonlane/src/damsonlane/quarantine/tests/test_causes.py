"""Names of what requests share, and exits that are attributed to them."""

import unittest
from collections.abc import Sequence

from damsonlane.codec import decode_bytes, encode_text
from damsonlane.quarantine import (
    EXITS_TO_QUARANTINE_TIED,
    InterruptedRequest,
    QuarantineRegistry,
    QuarantineSnapshot,
    RecordServed,
    RecordTargetExit,
    ReleaseRequest,
    RequestCauses,
    list_shared_causes,
)
from damsonlane.quarantine._registry import MAX_RUNS, MAX_SHARED_NAMES
from damsonlane.quarantine._served import SERVED_SECONDS, UNSERVED_SECONDS, RecentlyServed


class NamesTest(unittest.TestCase):
    def test_each_shared_cause_has_a_name_everywhere_and_one_at_a_target(self) -> None:
        causes = RequestCauses(request="f", shared=("part:a",), model="m")
        names = causes.list_names("llm", "v1")
        self.assertEqual(names, {"f", "part:a", "part:a@llm/m/v1"})

    def test_empty_and_repeated_parts_count_once_or_not_at_all(self) -> None:
        self.assertEqual(list_shared_causes(parts=["", "a", "b", "a"]), ("part:a", "part:b"))
        self.assertEqual(list_shared_causes(), ())

    def test_identities_that_differ_by_case_are_different(self) -> None:
        self.assertEqual(len(list_shared_causes(parts=["ab", "AB"])), 2)

    def test_odd_and_long_identities_give_short_names(self) -> None:
        odd = ["a@b", "a/b", "\ud800", "x" * 10_000, " ", "part:a"]
        names = list_shared_causes(parts=odd)
        self.assertEqual(len(set(names)), len(odd))
        self.assertTrue(all(len(name) < 40 and "@" not in name for name in names))

    def test_the_scope_of_one_target_is_not_that_of_another(self) -> None:
        causes = RequestCauses(shared=("part:a",))
        scopes = {causes.list_shared(*at)[1] for at in (("a/b", ""), ("a", "b"), ("a", "/b"))}
        self.assertEqual(len(scopes), 3)

    def test_kinds_of_contents_do_not_meet(self) -> None:
        names = list_shared_causes(parts=["a"], material_key="a", body=b"a")
        self.assertEqual(len(names), 3)


def make_exit(number: int, *runs: tuple[str, Sequence[str]], at: float = 0.0) -> RecordTargetExit:
    """Return an exit; each run is the fingerprint of a request and what it shares."""
    interrupted = tuple(
        InterruptedRequest(fingerprint=fingerprint, seconds=0.2, shared=tuple(shared))
        for fingerprint, shared in runs
    )
    return RecordTargetExit(target=f"t{number}", start=number, runs=interrupted, at=at)


def make_registry(*exits: Sequence[tuple[str, Sequence[str]]]) -> QuarantineRegistry:
    registry = QuarantineRegistry()
    for number, runs in enumerate(exits):
        registry.apply(make_exit(number, *runs))
    return registry


def list_held(registry: QuarantineRegistry) -> list[tuple[str, ...]]:
    return [request.names for request in registry.list_for_entries().held]


class AttributionTest(unittest.TestCase):
    def test_a_part_is_quarantined_after_three_exits_under_different_requests(self) -> None:
        registry = make_registry(*([(f"f{n}", ["part:d"])] for n in range(3)))
        self.assertEqual(list_held(registry), [("part:d",)])

    def test_parts_that_always_come_together_are_quarantined_together(self) -> None:
        registry = make_registry(*([(f"f{n}", ["part:d", "part:i"])] for n in range(3)))
        self.assertEqual(list_held(registry), [("part:d", "part:i")])

    def test_the_next_exit_tells_them_apart(self) -> None:
        registry = make_registry(*([(f"f{n}", ["part:d", "part:i"])] for n in range(3)))
        registry.apply(make_exit(3, ("f3", ["part:d"])))
        self.assertEqual(list_held(registry), [("part:d",)])

    def test_an_answer_tells_them_apart(self) -> None:
        registry = make_registry(*([(f"f{n}", ["part:d", "part:i"])] for n in range(3)))
        registry.apply(RecordServed(fingerprints=("part:i",)))
        self.assertEqual(list_held(registry), [("part:d",)])

    def test_parts_of_other_requests_at_the_same_targets_need_more_exits(self) -> None:
        exits = [[(f"f{n}", ["part:d"]), (f"g{n}", ["part:i"])] for n in range(8)]
        together = exits[:EXITS_TO_QUARANTINE_TIED]
        self.assertEqual(list_held(make_registry(*together[:-1])), [])
        self.assertEqual(list_held(make_registry(*together)), [("part:d",), ("part:i",)])
        registry = make_registry(*exits[:3], [("f9", ["part:d"])])
        self.assertEqual(list_held(registry), [("part:d",)])

    def test_the_same_request_again_and_again_does_not_hide_its_part(self) -> None:
        registry = make_registry(*([("f", ["part:d"])] for _ in range(3)))
        self.assertEqual(list_held(registry), [("part:d", "f")])
        registry.apply(make_exit(3, ("g", ["part:d"])))
        self.assertEqual(list_held(registry), [("part:d",)])

    def test_a_release_of_one_name_releases_those_quarantined_with_it(self) -> None:
        registry = make_registry(*([(f"f{n}", ["part:d", "part:d@s//v"])] for n in range(3)))
        registry.apply(ReleaseRequest(fingerprint="part:d", operator="o", at=1.0))
        self.assertEqual(list_held(registry), [])

    def test_the_list_names_the_newest_exits(self) -> None:
        registry = QuarantineRegistry()
        for number in range(7):
            registry.apply(make_exit(number, (f"f{number}", ["part:d"]), at=float(number)))
        held = registry.list_for_entries().held[0]
        self.assertEqual((held.ends, held.targets), (7, ("t6", "t5", "t4", "t3", "t2")))


class StateTest(unittest.TestCase):
    def test_a_snapshot_and_commands_without_shared_causes_still_load(self) -> None:
        """Guards against replicas that can't read what an earlier release stored."""
        text = (
            '{"revision":3,"ends":[{"target":"t","start":1,"at":2.0,'
            '"runs":[{"fingerprint":"f","seconds":0.5}]}]}'
        )
        snapshot = decode_bytes(text.encode(), QuarantineSnapshot)
        self.assertEqual(snapshot.ends[0].runs[0].names, ("f",))
        self.assertEqual(encode_text(snapshot, QuarantineSnapshot), text)

    def test_an_exit_stores_a_bounded_number_of_names(self) -> None:
        registry = QuarantineRegistry()
        runs = [(f"f{n}", [f"part:{n}-{part}" for part in range(64)]) for n in range(200)]
        registry.apply(make_exit(1, *runs))
        stored = registry.snapshot().ends[0]
        self.assertLessEqual(len(stored.runs), MAX_RUNS)
        self.assertLessEqual(len(stored.names), MAX_RUNS + MAX_SHARED_NAMES)

    def test_a_snapshot_holds_everything(self) -> None:
        registry = make_registry(*([(f"f{n}", ["part:d", "part:i"])] for n in range(3)))
        text = encode_text(registry.snapshot(), QuarantineSnapshot)
        restored = QuarantineRegistry(decode_bytes(text, QuarantineSnapshot))
        self.assertEqual(restored.list_for_entries(), registry.list_for_entries())


class ServedTest(unittest.TestCase):
    def test_an_earlier_answer_counts_until_exits_go_on_without_another_one(self) -> None:
        served = RecentlyServed()
        served.record("part:a", 0.0)
        served.record_exit("part:a", 10.0)
        self.assertTrue(served.contains("part:a", 9.9 + UNSERVED_SECONDS))
        self.assertFalse(served.contains("part:a", 10.1 + UNSERVED_SECONDS))
        served.record("part:a", 20.0)
        self.assertTrue(served.contains("part:a", 19.9 + SERVED_SECONDS))


if __name__ == "__main__":
    unittest.main()
