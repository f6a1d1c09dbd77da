"""The soak: plans, what its judge finds, and one short run."""

import tempfile
import unittest
from pathlib import Path

from damsonlane.codec import decode_bytes, encode_text
from damsonlane_bench.soak import (
    FAULT_KINDS,
    LIMIT_KINDS,
    WORD_KINDS,
    FleetSize,
    Plan,
    Soak,
    draw_plan,
)
from damsonlane_bench.soak._checks import WHOLE_STREAM
from damsonlane_bench.soak._evaluation import judge
from damsonlane_bench.soak._guarantees import PROMISES
from damsonlane_bench.soak._observations import (
    Answer,
    Arrival,
    Disturbance,
    Naming,
    ReadBack,
    RunJournal,
    TargetRun,
    read_target_runs,
)

#: Seed and length of the run of each build.
SEED = 7
#: The promise that what targets say of themselves is heeded.
LIMIT = "a target gets no more than it names from all entries together"
BACKOFF = "a target that asks for rest, or leaves, gets nothing from that box"
SECONDS = 14.0
#: The faults of a seed that showed one: time, kind and process.
SEED_109 = [
    (0.39, "power", ""),
    (0.46, "hang-up", "entry-2"),
    (0.89, "stop", "entry-1"),
    (1.61, "kill", "desk-2"),
    (1.83, "kill", "model-2"),
    (2.29, "stop", "entry-1"),
    (2.3, "kill", "encode-1"),
    (3.39, "hang-up", "entry-1"),
    (4.71, "power", ""),
    (5.25, "hang-up", "control-1"),
    (5.28, "power", ""),
    (5.44, "kill", "entry-1"),
    (6.33, "freeze", "encode-2"),
    (6.7, "kill", "encode-1"),
    (7.49, "freeze", "control-1"),
    (8.27, "hang-up", "control-3"),
    (8.58, "kill", "model-1"),
    (9.4, "stop", "entry-2"),
    (12.42, "stop", "entry-1"),
    (12.53, "hang-up", "control-1"),
    (14.29, "stop", "entry-1"),
]


class PlanTest(unittest.TestCase):
    def test_a_seed_gives_the_same_plan_each_time(self) -> None:
        plan = draw_plan(3, 20.0)
        self.assertEqual(draw_plan(3, 20.0), plan)
        self.assertNotEqual(draw_plan(4, 20.0).faults, plan.faults)
        self.assertEqual(decode_bytes(encode_text(plan, Plan), Plan), plan)

    def test_seeds_keep_the_faults_that_they_had_before_targets_spoke(self) -> None:
        """Seed 109 showed a box that ended by itself, and stays the same run."""
        faults = draw_plan(109, 20.0).faults
        older = [fault for fault in faults if fault.kind in FAULT_KINDS]
        self.assertEqual([(fault.at, fault.kind, fault.process) for fault in older], SEED_109)

    def test_faults_happen_to_all_of_a_larger_fleet(self) -> None:
        size = FleetSize(controls=5, entries=9, targets=7)
        plans = [draw_plan(seed, 60.0, size) for seed in range(50)]
        drawn = {fault.process for plan in plans for fault in plan.faults} - {""}
        targets = {target.name for target in size.list_targets()}
        self.assertEqual(drawn, {*size.list_controls(), *size.list_entries(), *targets})
        self.assertEqual(decode_bytes(encode_text(plans[0], Plan), Plan), plans[0])

    def test_fifty_seeds_have_every_kind_of_fault_overlapping(self) -> None:
        plans = [draw_plan(seed, 20.0) for seed in range(50)]
        kinds = {fault.kind for plan in plans for fault in plan.faults}
        self.assertEqual(kinds, {*FAULT_KINDS, *WORD_KINDS, *LIMIT_KINDS})
        overlapping = sum(
            later.at < earlier.at + earlier.seconds
            for plan in plans
            for earlier, later in zip(plan.faults, plan.faults[1:], strict=False)
        )
        self.assertGreater(overlapping, 50)


class JudgeTest(unittest.TestCase):
    """Each promise is broken once, and found by its own look alone."""

    def setUp(self) -> None:
        self.journal = RunJournal()
        self.runs = [_run("refund-1"), _run("chat-1"), _run("ping-1")]
        self._answer("refund-1", 200, "ok")
        self._answer("chat-1", 200, WHOLE_STREAM)

    def _answer(self, request: str, status: int, body: str = "", *, is_whole: bool = True) -> None:
        route = request.partition("-")[0]
        answer = Answer(request=request, route=route, status=status, is_whole=is_whole, body=body)
        self.journal.note_answer(answer)

    def _find(self) -> list[str]:
        return [breach.promise for breach in judge(self.journal, self.runs)]

    def test_nothing_is_found_where_all_is_kept(self) -> None:
        self._answer("chat-1", 200, WHOLE_STREAM[:40], is_whole=False)
        self._answer("refund-2", 503)
        self.journal.note_read_back(ReadBack(acknowledged=3, answered=3))
        self.assertEqual(self._find(), [])

    def test_a_doubled_run(self) -> None:
        self.runs.append(_run("refund-1"))
        self.assertEqual(self._find(), ["runs once at most"])

    def test_a_false_refusal(self) -> None:
        self._answer("refund-1", 503)
        self.assertEqual(self._find(), ["a refusal that says not run is true"])

    def test_an_answer_that_nobody_made(self) -> None:
        self._answer("refund-9", 200, "ok")
        self.assertEqual(self._find(), ["an answer is whole and of its request"])

    def test_a_stream_joined_wrongly_or_cut_short(self) -> None:
        first, second = WHOLE_STREAM.split("\n\n")[:2]
        for body in (f"{first}\n\n{first}\n\n", f"{second}\n\n", f"{first}\n\n"):
            with self.subTest(body=body):
                self.setUp()
                self._answer("chat-1", 200, body)
                self.assertIn("an answer is whole and of its request", self._find())

    def test_a_version_that_goes_back(self) -> None:
        self.journal.note_read_back(ReadBack(acknowledged=3, answered=2))
        self.assertEqual(self._find(), ["what was acknowledged is never older"])

    def test_a_deadly_request_that_goes_on(self) -> None:
        self.runs += [_run("ping-2", at=float(at), is_deadly=True) for at in (0, 1, 2, 3, 4)]
        self.assertEqual(self._find(), [])
        self.runs += [_run("ping-2", at=float(at), is_deadly=True) for at in (6, 7, 8, 9)]
        self.assertEqual(self._find(), ["a request that ends targets is kept from them"])
        self.journal.disturbances.append(Disturbance(process="control-1", at=5.5))
        self.assertEqual(self._find(), [])

    def _arrive(self, entry: str, *times: float, rest: float = 0.0, leaves: bool = False) -> None:
        for at in times:
            self.journal.arrivals.append(
                Arrival(
                    request=f"ping-1@{entry}" if entry else "",
                    target="desk-1",
                    rest=rest,
                    is_leaving=leaves,
                    at=at,
                )
            )

    def test_a_target_that_asked_for_rest_gets_requests(self) -> None:
        self._arrive("entry-1", 10.0, rest=1.5)
        self._arrive("entry-1", 10.1, 10.2, 10.4, 10.6, 11.4, 11.6, 11.7)
        self._arrive("entry-2", 10.6, 10.7, 10.8, 10.9)
        self.assertEqual(self._find(), [])
        self._arrive("entry-1", 10.9)
        self.assertEqual(self._find(), [BACKOFF])
        self.journal.disturbances.append(Disturbance(process="entry-2", at=10.5))
        self.assertEqual(self._find(), [BACKOFF])
        self.journal.disturbances.append(Disturbance(process="entry-1", at=10.5))
        self.assertEqual(self._find(), [])

    def test_a_target_that_leaves_gets_requests(self) -> None:
        self._arrive("entry-1", 10.0, leaves=True)
        self._arrive("entry-1", 11.0, 11.5, 11.9, 15.0, 20.0)
        self.assertEqual(self._find(), [])
        self._arrive("entry-1", 30.0)
        self.assertEqual(self._find(), [BACKOFF])

    def test_a_target_of_a_pool_that_asked_for_rest_gets_calls(self) -> None:
        self._arrive("", 10.0, rest=1.5)
        self._arrive("", 10.6, 10.7, 10.8, 10.9, 11.0)
        self.assertEqual(self._find(), [])
        self._arrive("", 11.1)
        self.assertEqual(self._find(), [BACKOFF])

    def test_a_pool_with_two_owners_of_which_one_has_waited_its_time(self) -> None:
        """Seed 217: the entry that was told at 5.951 came back at 7.485, the other one did not."""
        for at in (5.951, 6.157):
            self._arrive("", at, rest=1.5)
        self._arrive("", 7.485, 7.517, 7.554, 7.563, 7.602, 7.626, 7.688)
        self.assertEqual(self._find(), [])
        self._arrive("", 6.7, 6.8, 6.9, 7.0, 7.1, 7.2)
        self.assertEqual(self._find(), [BACKOFF])

    def _name(self, entry: str, rate: float | None, at: float) -> None:
        request = f"ping-1@{entry}" if entry else ""
        self.journal.namings.append(Naming(request=request, target="desk-1", rate=rate, at=at))

    def test_a_target_that_named_a_limit_gets_more_from_two_entries_together(self) -> None:
        """One a second allows 11 in four seconds; neither entry alone sends so many."""
        for entry in ("entry-1", "entry-2"):
            self._name(entry, 1.0, 10.0)
            self._arrive(entry, 14.0, 14.5, 15.0, 15.5, 16.0)
        self._arrive("entry-1", 16.5)
        self.assertEqual(self._find(), [])
        self._arrive("entry-2", 16.6)
        self.assertEqual(self._find(), [LIMIT])
        # A higher rate was named in between, or none.
        for rate in (2.0, None):
            self._name("entry-1", rate, 15.2)
            self.assertEqual(self._find(), [])
            self.journal.namings.pop()
        # An entry that was started again knows nothing; a frozen target gets all at once.
        for process in ("entry-2", "desk-2"):
            self.journal.disturbances.append(Disturbance(process=process, at=14.6))
            self.assertEqual(self._find(), [])
            self.journal.disturbances.pop()
        self.assertEqual(self._find(), [LIMIT])

    def test_entries_that_were_not_told_of_a_limit(self) -> None:
        self._name("entry-1", 1.0, 10.0)
        self._arrive("entry-2", *(14.0 + step / 10 for step in range(30)))
        self.assertEqual(self._find(), [])
        self._name("entry-2", 1.0, 14.0)
        self.assertEqual(self._find(), [LIMIT])

    def test_a_target_of_a_pool_that_named_a_limit_gets_more_calls(self) -> None:
        self._name("", 0.5, 10.0)
        self._arrive("", *(14.0 + step / 10 for step in range(8)))
        self.assertEqual(self._find(), [])
        self._arrive("", 14.9)
        self.assertEqual(self._find(), [LIMIT])

    def test_a_box_that_ends_by_itself(self) -> None:
        self.journal.own_ends.append("entry-1 ended by itself")
        self.assertEqual(self._find(), ["processes end only when they are ended"])

    def test_every_promise_has_its_test(self) -> None:
        self.assertEqual(len(PROMISES), 8)

    def test_what_targets_ran_is_read_from_their_logs(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "desk-1.log"
            log.write_text('{"ran": "r", "deadly": true, "at": 1.5}\nanother line\n')
            self.assertEqual(list(read_target_runs([log])), [_run("r", at=1.5, is_deadly=True)])


class RunTest(unittest.TestCase):
    def test_a_short_run_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            plan = draw_plan(SEED, SECONDS)
            verdict = Soak(plan, Path(folder)).run()
        self.assertEqual(verdict.breaches, (), plan)
        self.assertGreater(verdict.statuses.get(200, 0), 0)


def _run(request: str, *, at: float = 0.0, is_deadly: bool = False) -> TargetRun:
    return TargetRun(request=request, is_deadly=is_deadly, at=at)


if __name__ == "__main__":
    unittest.main()
