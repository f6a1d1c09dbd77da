"""Targets of pipelines that end while they still listen for a moment."""

import asyncio
import unittest
from unittest import mock

from damsonlane.quarantine import BrokenRun
from damsonlaned.entry._thread_safe_quarantine import ThreadQuarantine
from damsonlaned.quarantine import LostTarget, Quarantine

PATIENCE = 20.0
RUN = BrokenRun(fingerprint="f", seconds=0.1)


class ThreadQuarantineTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_target_that_still_listens_for_a_moment_has_ended(self) -> None:
        server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        lost = LostTarget(target="desk/one", address=f"{host}:{port}", start=0)
        found = asyncio.Event()
        quarantine = mock.AsyncMock(spec=Quarantine)
        quarantine.take_end = mock.Mock(side_effect=lambda *_: found.set())
        await asyncio.to_thread(ThreadQuarantine(quarantine).note_broken, lost, RUN)
        self.assertFalse(found.is_set())
        server.close()
        async with asyncio.timeout(PATIENCE):
            await found.wait()
        quarantine.take_end.assert_called_once_with(lost, (RUN,))


if __name__ == "__main__":
    unittest.main()
