"""Background tasks end when their owner stops."""

import asyncio
import contextlib
import unittest

from damsonlaned.tasks import start_task, stop_task


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


if __name__ == "__main__":
    unittest.main()
