"""The journal after interrupted writes, damage and crashes."""

import tempfile
import unittest
from pathlib import Path

from damsonlane.consensus import (
    HardState,
    LogEntry,
    Member,
    Members,
    Noop,
    Opaque,
    Persist,
    PersistentState,
    Snapshot,
)
from damsonlane.errors import CorruptionError, StorageError
from damsonlaned.storage import DataFolder, Identity, Journal, read_identity, write_identity

_MEMBERS = Members(voters=(Member(replica="a", address="127.0.0.1:1"),))
_START = PersistentState(
    hard_state=HardState(term=1),
    snapshot=Snapshot(index=1, term=1, members=_MEMBERS, state="s"),
)
_ENTRIES = tuple(
    LogEntry(index=index, term=1, body=Opaque(text=f"DLF1 text {index}")) for index in range(2, 6)
)
_WRITES = (
    Persist(hard_state=HardState(term=2, voted_for="a")),
    Persist(entries=_ENTRIES[:2]),
    Persist(entries=_ENTRIES[2:]),
    Persist(entries=(LogEntry(index=4, term=2, body=Noop()),)),
)


def _write(folder: Path) -> list[int]:
    """Write all of `_WRITES` and return the length of the file after each write."""
    journal = Journal(folder)
    journal.rewrite(_START)
    lengths = [(folder / "journal").stat().st_size]
    for persist in _WRITES:
        journal.append(persist)
        lengths.append((folder / "journal").stat().st_size)
    journal.close()
    return lengths


def _recover(folder: Path) -> PersistentState:
    journal = Journal(folder)
    try:
        return journal.recover()
    finally:
        journal.close()


class JournalTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.lengths = _write(self.folder)
        self.content = (self.folder / "journal").read_bytes()

    def test_all_synced_writes_are_recovered(self) -> None:
        expected = PersistentState(
            hard_state=HardState(term=2, voted_for="a"),
            snapshot=_START.snapshot,
            entries=(*_ENTRIES[:2], LogEntry(index=4, term=2, body=Noop())),
        )
        self.assertEqual(_recover(self.folder), expected)

    def test_truncation_at_any_byte_keeps_all_writes_before_it(self) -> None:
        states = self._states()
        for length in range(self.lengths[0], len(self.content) + 1):
            (self.folder / "journal").write_bytes(self.content[:length])
            synced = sum(1 for end in self.lengths[1:] if end <= length)
            self.assertEqual(_recover(self.folder), states[synced], f"truncated at byte {length}")

    def test_writes_continue_after_a_truncation(self) -> None:
        (self.folder / "journal").write_bytes(self.content[:-3])
        journal = Journal(self.folder)
        journal.recover()
        journal.append(_WRITES[-1])
        journal.close()
        self.assertEqual((self.folder / "journal").read_bytes(), self.content)

    def test_damage_before_the_last_write_is_reported_with_its_offset(self) -> None:
        for position in range(self.lengths[0], self.lengths[-2]):
            data = bytearray(self.content)
            data[position] ^= 0x40
            (self.folder / "journal").write_bytes(bytes(data))
            with self.subTest(byte=position), self.assertRaises(CorruptionError) as raised:
                _recover(self.folder)
            start = max(end for end in self.lengths if end <= position)
            self.assertEqual(raised.exception.offset, start)

    def test_damage_of_the_first_frame_is_reported(self) -> None:
        data = bytearray(self.content)
        data[5] ^= 1
        (self.folder / "journal").write_bytes(bytes(data))
        with self.assertRaises(CorruptionError):
            _recover(self.folder)

    def test_a_damaged_file_is_not_changed(self) -> None:
        data = bytearray(self.content)
        data[self.lengths[0] + 20] ^= 1
        (self.folder / "journal").write_bytes(bytes(data))
        with self.assertRaises(CorruptionError):
            _recover(self.folder)
        self.assertEqual((self.folder / "journal").read_bytes(), bytes(data))

    def test_a_crash_during_a_rewrite_keeps_the_old_journal(self) -> None:
        (self.folder / "journal.new").write_bytes(b"half of a new one")
        self.assertEqual(_recover(self.folder), self._states()[-1])

    def _states(self) -> list[PersistentState]:
        """Return the state recovered after each of the writes."""
        states = []
        for end in self.lengths:
            (self.folder / "journal").write_bytes(self.content[:end])
            states.append(_recover(self.folder))
        return states


class IdentityTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_an_empty_folder_has_no_identity(self) -> None:
        self.assertIsNone(read_identity(self.folder))

    def test_a_written_identity_is_read_back(self) -> None:
        identity = Identity(replica="box.1", cluster="c")
        write_identity(self.folder, identity)
        self.assertEqual(read_identity(self.folder), identity)

    def test_a_damaged_identity_is_reported(self) -> None:
        (self.folder / "identity").write_bytes(b"{")
        with self.assertRaises(CorruptionError):
            read_identity(self.folder)


class DataFolderTest(unittest.TestCase):
    def test_a_folder_is_locked_while_it_is_open(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            first = DataFolder(path)
            first.open()
            with self.assertRaises(StorageError):
                DataFolder(path).open()
            first.close()
            second = DataFolder(path)
            second.open()
            second.close()


if __name__ == "__main__":
    unittest.main()
