"""The control node after a failed write to its disk."""

import asyncio
import tempfile
import unittest
from unittest import mock

from damsonlane.consensus import AppendRequest, Envelope, LogEntry, Noop, Output
from damsonlane.errors import NotLeaderError, StorageError
from damsonlane.settings import BoxSettings
from damsonlaned.control import ControlNode
from damsonlaned.control._node import ENTRIES_PER_SNAPSHOT
from damsonlaned.storage import DataFolder, Journal


class FailingDiskTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_acknowledgement_after_a_failed_append(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            folder = DataFolder(path)
            folder.open()
            node = ControlNode(_make_settings(path), folder, None)
            node.start()
            sent: list[Envelope] = []
            request = AppendRequest(
                term=1,
                previous_index=0,
                previous_term=0,
                entries=(LogEntry(index=1, term=1, body=Noop()),),
                commit=0,
                round=1,
            )
            envelope = Envelope(
                cluster="c", sender="leader", receiver=node.identity.replica, message=request
            )
            with (
                mock.patch.object(Journal, "append", side_effect=StorageError("full")),
                mock.patch.object(node._peers, "send", side_effect=sent.append),
            ):
                with self.assertRaises(StorageError):
                    node.receive(envelope)
                # The leader sends again; the entry is in memory but not on the disk.
                with self.assertRaises(NotLeaderError):
                    node.receive(envelope)
                await asyncio.sleep(0)
            self.assertEqual(sent, [])
            self.assertIsInstance(node.failure.exception(), StorageError)
            await node.stop()
            folder.close()

    async def test_the_replica_stops_after_a_failed_snapshot(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            folder = DataFolder(path)
            folder.open()
            node = ControlNode(_make_settings(path), folder, None)
            node.found_group()
            node._applied.since_snapshot = ENTRIES_PER_SNAPSHOT
            with (
                mock.patch.object(Journal, "rewrite", side_effect=StorageError("full")),
                self.assertRaises(StorageError),
            ):
                node._process_output(Output())
            self.assertIsNone(node.replica)
            self.assertIsInstance(node.failure.exception(), StorageError)
            await node.stop()
            folder.close()


def _make_settings(path: str) -> BoxSettings:
    return BoxSettings(
        name="box",
        data_centre="fukuoka-a",
        role="control",
        data_folder=path,
        internal_address="127.0.0.1:1",
        admin_address="127.0.0.1:2",
        control=("127.0.0.1:1",),
    )


if __name__ == "__main__":
    unittest.main()
