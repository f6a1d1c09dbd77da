"""Guards against overlooking the exit of a target that still listens for a moment."""

import asyncio
import unittest
from unittest import mock

from damsonlane.quarantine import InterruptedRequest
from damsonlaned.entry._thread_safe_quarantine import ThreadSafeQuarantine
from damsonlaned.quarantine import LostTarget, Quarantine

TEST_TIMEOUT_SECONDS = 20.0
RUN = InterruptedRequest(fingerprint="f", seconds=0.1)


class ThreadSafeQuarantineTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_exit_of_a_target_that_still_listens_is_detected(self) -> None:
        server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        lost = LostTarget(target="desk/one", address=f"{host}:{port}", start=0)
        found = asyncio.Event()
        quarantine = mock.AsyncMock(spec=Quarantine)
        quarantine.record_exit = mock.Mock(side_effect=lambda *_: found.set())
        await asyncio.to_thread(ThreadSafeQuarantine(quarantine).report_interrupted, lost, RUN)
        self.assertFalse(found.is_set())
        server.close()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await found.wait()
        quarantine.record_exit.assert_called_once_with(lost, (RUN,))


if __name__ == "__main__":
    unittest.main()
