"""The journal: the durable state of a control replica, in one file.

The first frame holds the consensus state at the time when the file was written; each
further frame holds one `Persist`, synced before it is acknowledged.  So an invalid frame at
the end is an interrupted write that was never acknowledged, while an invalid frame that a
valid one follows is damage.
"""

import os
from pathlib import Path
from typing import Final, TypeVar

from pydantic import ValidationError

from damsonlane.codec import decode_bytes, encode_bytes
from damsonlane.consensus import EMPTY_SNAPSHOT, HardState, Persist, PersistentState
from damsonlane.errors import CorruptionError, StorageError
from damsonlaned.storage._files import replace_file
from damsonlaned.storage._frames import Frame, encode_frame, find_frame, read_frames

_NAME: Final = "journal"

Shape = TypeVar("Shape")


class Journal:
    """The journal in a data folder.

    Args:
        folder: the data folder.
    """

    def __init__(self, folder: Path) -> None:
        self._path: Final = folder / _NAME
        self._descriptor = -1
        #: Bytes appended since the file was created or last replaced.
        self.grown_bytes = 0

    def exists(self) -> bool:
        """Return whether the folder holds a journal."""
        return self._path.exists()

    def create(self) -> None:
        """Create an empty journal, replacing any other.

        Raises:
            StorageError: the write failed.
        """
        self.rewrite(PersistentState(hard_state=HardState(), snapshot=EMPTY_SNAPSHOT))

    def recover(self) -> PersistentState:
        """Read the journal, truncate an incomplete last frame, and open the file for writing.

        Raises:
            CorruptionError: acknowledged data is damaged.
            StorageError: the file can't be read.
        """
        try:
            data = self._path.read_bytes()
        except OSError as error:
            raise StorageError(f"{self._path}: cannot be read: {error.strerror}") from None
        frames = list(read_frames(data))
        end = frames[-1].end if frames else 0
        if end < len(data):
            self._truncate(data, end)
        if not frames:
            raise CorruptionError(str(self._path), 0, "the first frame is incomplete or damaged")
        stored = self._decode(frames[0], PersistentState)
        for frame in frames[1:]:
            stored = stored.with_persist(self._decode(frame, Persist))
        self._open()
        return stored

    def append(self, persist: Persist) -> None:
        """Append a frame and sync it.

        Raises:
            StorageError: the write failed; the content of the disk is unknown, so the
                replica must stop.
        """
        data = encode_frame(encode_bytes(persist, Persist))
        self.grown_bytes += len(data)
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
            os.fdatasync(self._descriptor)
        except OSError as error:
            raise StorageError(f"{self._path}: cannot be written: {error.strerror}") from None

    def rewrite(self, stored: PersistentState) -> None:
        """Replace the journal by one that starts with ``stored``.

        Raises:
            StorageError: the write failed.
        """
        try:
            replace_file(self._path, encode_frame(encode_bytes(stored, PersistentState)))
            self._open()
            self.grown_bytes = 0
        except OSError as error:
            raise StorageError(f"{self._path}: cannot be written: {error.strerror}") from None

    def close(self) -> None:
        """Close the file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _open(self) -> None:
        self.close()
        self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND)

    def _truncate(self, data: bytes, end: int) -> None:
        next_valid = find_frame(data, end)
        if next_valid is not None:
            reason = f"invalid frame, but a valid frame follows at byte {next_valid}"
            raise CorruptionError(str(self._path), end, reason)
        if end == 0:
            return
        descriptor = os.open(self._path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, end)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _decode(self, frame: Frame, shape: type[Shape]) -> Shape:
        try:
            return decode_bytes(frame.payload, shape)
        except ValidationError as error:
            reason = f"the frame is not a valid {shape.__name__}: {error.errors()[0]['msg']}"
            raise CorruptionError(str(self._path), frame.offset, reason) from None
