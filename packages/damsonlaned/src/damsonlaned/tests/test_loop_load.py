"""The share of its time in which the event loop is busy."""

import asyncio
import unittest
from unittest import mock

from damsonlaned import clock, loop_load
from damsonlaned.loop_load import LoopLoad


class LoopLoadTest(unittest.TestCase):
    def _sample(self, *intervals: tuple[float, float]) -> float:
        """Return the load after some intervals, each with its length and its idle seconds."""

        async def sample() -> float:
            now = idle = 0.0
            loop = asyncio.get_running_loop()
            with (
                mock.patch.object(loop, "time", lambda: now),
                mock.patch.object(loop_load, "_read_idle_seconds", lambda: idle),
            ):
                load = LoopLoad()
                for length, idle_seconds in intervals:
                    now += length
                    idle += idle_seconds
                    share = load.sample()
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
