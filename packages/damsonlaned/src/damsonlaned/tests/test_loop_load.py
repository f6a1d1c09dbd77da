"""The share of its time in which the event loop is busy."""

import asyncio
import unittest
from unittest import mock

from damsonlaned import clock, loop_load
from damsonlaned.loop_load import LoopLoad


class LoopLoadTest(unittest.TestCase):
    def _sample(
        self, *intervals: tuple[float, float], cores: float = 0.0, used_seconds: float = 0.0
    ) -> float:
        """Return the load after some intervals, each with its length and its idle seconds.

        Args:
            intervals: the intervals.
            cores: what the box may use, in cores; 0 if unknown.
            used_seconds: processor time used in each interval.
        """

        async def sample() -> float:
            now = idle = used = 0.0
            loop = asyncio.get_running_loop()
            with (
                mock.patch.object(loop, "time", lambda: now),
                mock.patch.object(loop_load, "_read_idle_seconds", lambda: idle),
                mock.patch("time.process_time", lambda: used),
            ):
                load = LoopLoad()
                for length, idle_seconds in intervals:
                    now += length
                    idle += idle_seconds
                    used += used_seconds
                    share = load.sample(cores)
            return share

        with asyncio.Runner(loop_factory=clock.BootTimeEventLoop) as runner:
            return runner.run(sample())

    def test_it_follows_the_busy_time(self) -> None:
        cases: tuple[tuple[str, tuple[tuple[float, float], ...], float], ...] = (
            ("idle", ((1.0, 1.0),) * 4, 0.0),
            ("always busy", ((1.0, 0.0),) * 8, 1.0),
            ("half", ((1.0, 0.5),) * 8, 0.5),
            ("more idle than elapsed, since clocks are read at different times", ((1.0, 2.0),), 0),
        )
        for name, intervals, expected in cases:
            with self.subTest(name):
                self.assertAlmostEqual(self._sample(*intervals), expected, places=2)

    def test_a_box_with_less_than_a_core_is_full_earlier(self) -> None:
        """Guards against a box that counts as idle while it uses all of its processor time."""
        idle = ((1.0, 0.7),) * 8
        for cores, expected in ((0.0, 0.3), (0.387, 0.775), (0.25, 1.0), (1.29, 0.3)):
            with self.subTest(cores=cores):
                load = self._sample(*idle, cores=cores, used_seconds=0.3)
                self.assertAlmostEqual(load, expected, places=2)

    def test_a_short_busy_time_counts_little(self) -> None:
        self.assertLess(self._sample((1.0, 1.0), (0.1, 0.0)), 0.2)

    def test_the_event_loop_measures_its_idle_time(self) -> None:
        async def wait() -> float:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, clock.BootTimeEventLoop)
            before = loop.idle_seconds()
            await asyncio.sleep(0.1)
            return loop.idle_seconds() - before

        self.assertGreater(clock.run(wait()), 0.05)


if __name__ == "__main__":
    unittest.main()
