"""Background tasks end when their owner stops."""

import asyncio
import contextlib
import unittest

from damsonlaned.tasks import RESULT_TURNS, limit_time, start_task, stop_task


class StopTaskTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_task_that_lost_its_cancellation_is_stopped(self) -> None:
        """Guards against a control replica whose shutdown waits forever for a background task."""
        lost = asyncio.Event()

        async def run() -> None:
            with contextlib.suppress(asyncio.CancelledError):
                # As a library does that replaces the cancellation by the error of a connection.
                await asyncio.Event().wait()
            lost.set()
            await asyncio.Event().wait()

        task = start_task(run(), "test")
        await asyncio.sleep(0)
        await stop_task(task)
        self.assertTrue(lost.is_set())
        self.assertTrue(task.cancelled())

    async def test_a_failed_task_counts_as_stopped(self) -> None:
        """Guards against a shutdown that ends with the error of a background task."""

        async def run() -> None:
            raise ConnectionError

        with self.assertLogs("damsonlaned.tasks", "ERROR"):
            task = start_task(run(), "test")
            await asyncio.wait({task})
            await stop_task(task)


class LimitTimeTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_time_out_without_a_result_expires(self) -> None:
        with self.assertRaises(TimeoutError):
            async with limit_time(0.01):
                await asyncio.Event().wait()

    async def test_a_result_in_the_last_turns_ends_the_time_out(self) -> None:
        """Guards against errors of callbacks that run after a time-out was left."""
        errors: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        for turns in range(RESULT_TURNS):
            async with limit_time(0.0):
                for _ in range(turns):
                    await asyncio.sleep(0)
            for _ in range(2 * RESULT_TURNS):
                await asyncio.sleep(0)
        self.assertEqual(errors, [])


if __name__ == "__main__":
    unittest.main()
