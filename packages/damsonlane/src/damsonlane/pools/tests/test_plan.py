"""Progress of one request through its stages."""

import unittest

from damsonlane.pools import StageProgress
from damsonlane.routes import Stage


class StagePlanTest(unittest.TestCase):
    #: One stage by itself, and a chain of three.
    stages = (
        Stage(service="a"),
        Stage(service="a"),
        Stage(service="b", after=(1,)),
        Stage(service="c", after=(2,)),
    )

    def test_stages_start_when_their_dependencies_are_computed(self) -> None:
        plan = StageProgress(self.stages, (1, 1, 2, 1))
        self.assertEqual([start.index for start in plan.take_ready()], [0, 1])
        self.assertEqual(plan.take_ready(), ())
        plan.record_result(1, 0, "h1")
        started = plan.take_ready()
        self.assertEqual([(start.index, start.inputs) for start in started], [(2, ("h1",))])
        plan.record_result(2, 1, "h3")
        self.assertEqual(plan.take_ready(), ())
        plan.record_result(2, 0, "h2")
        self.assertEqual(plan.take_ready()[0].inputs, ("h2", "h3"))

    def test_final_inputs_are_the_results_that_no_stage_needs(self) -> None:
        plan = StageProgress(self.stages, (2, 1, 1, 1))
        for stage, piece, handle in (
            (0, 1, "x1"),
            (0, 0, "x0"),
            (1, 0, "a"),
            (2, 0, "b"),
            (3, 0, "c"),
        ):
            self.assertFalse(plan.is_done())
            plan.record_result(stage, piece, handle)
        self.assertTrue(plan.is_done())
        self.assertEqual(plan.final_inputs(), ("x0", "x1", "c"))

    def test_a_stage_without_pieces_is_skipped(self) -> None:
        plan = StageProgress(self.stages, (0, 1, 1, 1))
        self.assertEqual([start.index for start in plan.take_ready()], [1])

    def test_results_are_spent_once_all_dependent_stages_are_computed(self) -> None:
        stages = (
            Stage(service="a"),
            Stage(service="b", after=(0,)),
            Stage(service="c", after=(0,)),
        )
        plan = StageProgress(stages, (1, 1, 1))
        plan.record_result(0, 0, "a")
        plan.record_result(1, 0, "b")
        self.assertEqual(plan.releasable_inputs(1), ())
        plan.record_result(2, 0, "c")
        self.assertEqual(plan.releasable_inputs(2), ("a",))

    def test_a_stage_with_slack_is_postponed_until_the_critical_path_is_as_short(self) -> None:
        plan = StageProgress(self.stages, (1, 1, 1, 1))
        seconds = {"a": 0.4, "b": 0.5, "c": 0.4}

        def take() -> list[int]:
            started = plan.take_ready(lambda stage: seconds[stage.service])
            return [start.index for start in started]

        self.assertEqual(take(), [1])
        plan.record_result(1, 0, "h1")
        self.assertEqual(take(), [2])
        plan.record_result(2, 0, "h2")
        self.assertEqual(take(), [0, 3])

    def test_a_longer_queue_makes_a_stage_start_earlier(self) -> None:
        plan = StageProgress(self.stages, (1, 1, 1, 1))
        seconds = {"a": 1.0, "b": 0.5, "c": 0.4}
        started = plan.take_ready(lambda stage: seconds[stage.service])
        self.assertEqual([start.index for start in started], [1])
        plan.record_result(1, 0, "h1")
        started = plan.take_ready(lambda stage: seconds[stage.service])
        self.assertEqual([start.index for start in started], [0, 2])

    def test_results_are_spent_once_all_dependent_pieces_have_read_them(self) -> None:
        stages = (Stage(service="a"), Stage(service="b", after=(0,)))
        plan = StageProgress(stages, (1, 2))
        plan.record_result(0, 0, "a")
        plan.record_inputs_read(1, 0)
        self.assertEqual(plan.releasable_inputs(1), ())
        plan.record_result(1, 1, "b")
        self.assertEqual(plan.releasable_inputs(1), ("a",))
        self.assertFalse(plan.is_done())

    def test_the_longest_chain_of_dependent_stages_is_found(self) -> None:
        plan = StageProgress(self.stages, (1, 1, 1, 1))
        self.assertEqual([stage.service for stage in plan.longest_chain_after(1)], ["b", "c"])
        self.assertEqual(plan.longest_chain_after(0), ())


if __name__ == "__main__":
    unittest.main()
