"""The process of a control replica when its disk fails for a while."""

import asyncio
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from unittest import mock

from damsonlane.errors import StorageError
from damsonlane.settings import BoxSettings, Founding
from damsonlaned._process import Keys, SettingsWatch
from damsonlaned.control import ControlNode, _process
from damsonlaned.control._process import run_control
from damsonlaned.storage import DataFolder, Journal, draw_identity, write_identity
from damsonlaned.tests.addresses import find_address

#: Seconds after which a test gives up.
PATIENCE = 20.0


class FailingDiskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        own = find_address()
        self.settings = BoxSettings(
            name="box",
            data_centre="dha",
            role="control",
            data_folder=folder.name,
            internal_address=own,
            admin_address=find_address(),
            control=(own,),
            election_seconds=0.2,
            founding=Founding(seeds=(own,), is_first_start=True, lost_boxes=0),
        )
        self.stop = asyncio.Event()
        self.patch(_process, "wait_for_stop", lambda _: self.stop.wait())
        self.patch(_process, "DISK_LOOK_SECONDS", 0.02)
        self.logs = self.enterContext(self.assertLogs("damsonlaned", "INFO"))

    def said(self, text: str) -> int:
        """Return how often something was logged."""
        return sum(record.getMessage() == text for record in self.logs.records)

    def patch(self, owner: object, name: str, value: object) -> None:
        patch = mock.patch.object(owner, name, value)
        self.addCleanup(patch.stop)
        patch.start()

    async def wait(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not holds():
                await asyncio.sleep(0.01)

    async def run_box(self) -> None:
        with DataFolder(self.settings.data_folder) as folder:
            await run_control(self.settings, folder, Keys(self.settings), None)

    async def stop_box(self, box: "asyncio.Task[None]") -> None:
        self.stop.set()
        async with asyncio.timeout(PATIENCE):
            await box

    async def fail_disk(self, probe: mock.Mock) -> "asyncio.Task[None]":
        """Run a box until its disk fails, then answer looks at it; return the box's task."""
        box = asyncio.create_task(self.run_box())
        await self.wait(lambda: self.said("group founded") == 1)
        append = mock.Mock(side_effect=StorageError("full"))
        self.patch(DataFolder, "probe", probe)
        with mock.patch.object(Journal, "append", append):
            await self.wait(lambda: self.said("disk failed") == 1)
        return box

    async def test_a_replica_comes_back_with_the_settings_read_last(self) -> None:
        probe = mock.Mock(side_effect=StorageError("full"))
        newer = replace(self.settings, admin_address=find_address())
        watches: list[SettingsWatch] = []

        def note(watch: SettingsWatch) -> Awaitable[bool]:
            watches.append(watch)
            return self.stop.wait()

        self.patch(_process, "wait_for_stop", note)
        made = mock.Mock(wraps=ControlNode)
        self.patch(_process, "ControlNode", made)
        box = await self.fail_disk(probe)
        watches[0].settings = newer
        probe.side_effect = None
        await self.wait(lambda: self.said("started") == 2)
        self.assertEqual(made.call_args.args[0], newer)
        await self.stop_box(box)

    async def test_a_replica_comes_back_in_its_process_once_the_disk_takes_writes(self) -> None:
        probe = mock.Mock(side_effect=StorageError("full"))
        box = await self.fail_disk(probe)
        await self.wait(lambda: self.said("disk takes no writes") > 2)
        self.assertEqual(self.said("started"), 1)
        probe.side_effect = None
        await self.wait(lambda: self.said("started") == 2)
        self.assertEqual(self.said("group founded"), 1)
        await self.stop_box(box)

    async def test_a_box_starts_once_its_disk_takes_writes(self) -> None:
        probe = mock.Mock(side_effect=StorageError("full"))
        self.patch(DataFolder, "probe", probe)
        box = asyncio.create_task(self.run_box())
        await self.wait(lambda: self.said("disk takes no writes") > 2)
        self.assertEqual(self.said("started"), 0)
        probe.side_effect = None
        await self.wait(lambda: self.said("group founded") == 1)
        await self.stop_box(box)

    async def test_a_box_whose_disk_failed_stops_when_told(self) -> None:
        box = await self.fail_disk(mock.Mock(side_effect=StorageError("full")))
        await self.stop_box(box)
        self.assertEqual(self.said("started"), 1)

    async def test_a_box_heeds_signals_through_its_whole_life(self) -> None:
        probe = mock.Mock(side_effect=StorageError("full"))
        self.patch(DataFolder, "probe", probe)
        waiting = mock.Mock(side_effect=lambda _: self.stop.wait())
        self.patch(_process, "wait_for_stop", waiting)
        box = asyncio.create_task(self.run_box())
        await self.wait(lambda: self.said("disk takes no writes") > 0)
        probe.side_effect = None
        await self.wait(lambda: self.said("started") == 1)
        # Between two waits a signal would reach a handler that nobody heeds.
        self.assertEqual(waiting.call_count, 1)
        await self.stop_box(box)


class ProbeTest(unittest.TestCase):
    def test_a_probe_leaves_nothing_behind(self) -> None:
        with tempfile.TemporaryDirectory() as path, DataFolder(path) as folder:
            before = sorted(folder.path.iterdir())
            folder.probe()
            self.assertEqual(sorted(folder.path.iterdir()), before)

    def test_an_identity_that_cannot_be_written_is_told(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            refusal = OSError(28, "No space left on device")
            with (
                mock.patch("os.fsync", side_effect=refusal),
                self.assertRaisesRegex(StorageError, "identity: cannot be written: No space"),
            ):
                write_identity(Path(path), draw_identity("box"))

    def test_a_disk_that_refuses_is_told(self) -> None:
        with tempfile.TemporaryDirectory() as path, DataFolder(path) as folder:
            refusal = OSError(28, "No space left on device")
            with (
                mock.patch("os.fsync", side_effect=refusal),
                self.assertRaisesRegex(StorageError, "No space left"),
            ):
                folder.probe()


if __name__ == "__main__":
    unittest.main()
