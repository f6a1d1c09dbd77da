"""The process of a control replica during a temporary failure of its disk."""

import asyncio
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from unittest import mock

from damsonlane.errors import StorageError
from damsonlane.settings import BoxSettings, Founding
from damsonlaned._process import SettingsReloader, TlsContexts
from damsonlaned.control import ControlNode, _process
from damsonlaned.control._process import run_control
from damsonlaned.storage import DataFolder, Journal, draw_identity, write_identity
from damsonlaned.tests.addresses import find_free_address

#: Seconds after which a condition that a test waits for counts as failed.
TEST_TIMEOUT_SECONDS = 20.0


class FailingDiskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        own = find_free_address()
        self.settings = BoxSettings(
            name="box",
            data_centre="dha",
            role="control",
            data_folder=folder.name,
            internal_address=own,
            admin_address=find_free_address(),
            control=(own,),
            election_seconds=0.2,
            founding=Founding(seeds=(own,), is_first_start=True, lost_boxes=0),
        )
        self.stop = asyncio.Event()
        self.patch(_process, "wait_for_stop", lambda _: self.stop.wait())
        self.patch(_process, "DISK_PROBE_SECONDS", 0.02)
        self.logs = self.enterContext(self.assertLogs("damsonlaned", "INFO"))

    def count_logged(self, text: str) -> int:
        """Return how often a message was logged."""
        return sum(record.getMessage() == text for record in self.logs.records)

    def patch(self, owner: object, name: str, value: object) -> None:
        patch = mock.patch.object(owner, name, value)
        self.addCleanup(patch.stop)
        patch.start()

    async def wait(self, is_true: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not is_true():
                await asyncio.sleep(0.01)

    async def run_box(self) -> None:
        with DataFolder(self.settings.data_folder) as folder:
            await run_control(self.settings, folder, TlsContexts(self.settings), None)

    async def stop_box(self, box: "asyncio.Task[None]") -> None:
        self.stop.set()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await box

    async def fail_disk(self, probe: mock.Mock) -> "asyncio.Task[None]":
        """Run a box until its disk fails, with a fake probe of the disk; return its task."""
        box = asyncio.create_task(self.run_box())
        await self.wait(lambda: self.count_logged("group founded") == 1)
        append = mock.Mock(side_effect=StorageError("full"))
        self.patch(DataFolder, "probe", probe)
        with mock.patch.object(Journal, "append", append):
            await self.wait(lambda: self.count_logged("disk failed") == 1)
        return box

    async def test_a_replica_restarts_with_the_settings_read_last(self) -> None:
        probe = mock.Mock(side_effect=StorageError("full"))
        newer = replace(self.settings, admin_address=find_free_address())
        reloaders: list[SettingsReloader] = []

        def record(reloader: SettingsReloader) -> Awaitable[bool]:
            reloaders.append(reloader)
            return self.stop.wait()

        self.patch(_process, "wait_for_stop", record)
        constructor = mock.Mock(wraps=ControlNode)
        self.patch(_process, "ControlNode", constructor)
        box = await self.fail_disk(probe)
        reloaders[0].settings = newer
        probe.side_effect = None
        await self.wait(lambda: self.count_logged("started") == 2)
        self.assertEqual(constructor.call_args.args[0], newer)
        await self.stop_box(box)

    async def test_a_replica_restarts_in_its_process_once_the_disk_accepts_writes(self) -> None:
        probe = mock.Mock(side_effect=StorageError("full"))
        box = await self.fail_disk(probe)
        await self.wait(lambda: self.count_logged("disk does not accept writes") > 2)
        self.assertEqual(self.count_logged("started"), 1)
        probe.side_effect = None
        await self.wait(lambda: self.count_logged("started") == 2)
        self.assertEqual(self.count_logged("group founded"), 1)
        await self.stop_box(box)

    async def test_a_box_starts_once_its_disk_accepts_writes(self) -> None:
        probe = mock.Mock(side_effect=StorageError("full"))
        self.patch(DataFolder, "probe", probe)
        box = asyncio.create_task(self.run_box())
        await self.wait(lambda: self.count_logged("disk does not accept writes") > 2)
        self.assertEqual(self.count_logged("started"), 0)
        probe.side_effect = None
        await self.wait(lambda: self.count_logged("group founded") == 1)
        await self.stop_box(box)

    async def test_a_box_stops_while_its_disk_fails(self) -> None:
        box = await self.fail_disk(mock.Mock(side_effect=StorageError("full")))
        await self.stop_box(box)
        self.assertEqual(self.count_logged("started"), 1)

    async def test_signals_are_handled_throughout(self) -> None:
        probe = mock.Mock(side_effect=StorageError("full"))
        self.patch(DataFolder, "probe", probe)
        wait_for_stop = mock.Mock(side_effect=lambda _: self.stop.wait())
        self.patch(_process, "wait_for_stop", wait_for_stop)
        box = asyncio.create_task(self.run_box())
        await self.wait(lambda: self.count_logged("disk does not accept writes") > 0)
        probe.side_effect = None
        await self.wait(lambda: self.count_logged("started") == 1)
        # Between two waits, a signal would be lost.
        self.assertEqual(wait_for_stop.call_count, 1)
        await self.stop_box(box)


class ProbeTest(unittest.TestCase):
    def test_a_probe_leaves_no_file(self) -> None:
        with tempfile.TemporaryDirectory() as path, DataFolder(path) as folder:
            before = sorted(folder.path.iterdir())
            folder.probe()
            self.assertEqual(sorted(folder.path.iterdir()), before)

    def test_a_failed_write_of_an_identity_is_reported(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            error = OSError(28, "No space left on device")
            with (
                mock.patch("os.fsync", side_effect=error),
                self.assertRaisesRegex(StorageError, "identity: cannot be written: No space"),
            ):
                write_identity(Path(path), draw_identity("box"))

    def test_a_failed_probe_is_reported(self) -> None:
        with tempfile.TemporaryDirectory() as path, DataFolder(path) as folder:
            error = OSError(28, "No space left on device")
            with (
                mock.patch("os.fsync", side_effect=error),
                self.assertRaisesRegex(StorageError, "No space left"),
            ):
                folder.probe()


if __name__ == "__main__":
    unittest.main()
