"""The journal: everything a control replica must not forget, in one file.

The first frame holds the state of the agreement when the file was made; each
further frame holds one `Persist`, written and synced at once.  So a frame that
is not whole was never acknowledged if it is the last, and is damage if a whole
frame follows it.
"""

import os
from pathlib import Path
from typing import Final, TypeVar

from pydantic import ValidationError

from damsonlane.agreement import EMPTY_SNAPSHOT, HardState, Persist, Stored
from damsonlane.codec import decode_bytes, encode_bytes
from damsonlane.errors import CorruptionError, StorageError
from damsonlaned.storage._files import replace_file
from damsonlaned.storage._frames import Frame, encode_frame, find_frame, read_frames

_NAME: Final = "journal"

Shape = TypeVar("Shape")


class Journal:
    """An open journal.

    Args:
        folder: the data folder.
    """

    def __init__(self, folder: Path) -> None:
        self._path: Final = folder / _NAME
        self._descriptor = -1
        #: Bytes written since the file was made or last replaced.
        self.grown_bytes = 0

    def exists(self) -> bool:
        """Tell whether the folder holds a journal."""
        return self._path.exists()

    def create(self) -> None:
        """Make an empty journal."""
        self.rewrite(Stored(hard_state=HardState(), snapshot=EMPTY_SNAPSHOT))

    def recover(self) -> Stored:
        """Read the journal, cutting off a torn last frame, and open it for writing.

        Raises:
            CorruptionError: acknowledged bytes are damaged.
            StorageError: the file can't be read.
        """
        try:
            data = self._path.read_bytes()
        except OSError as error:
            raise StorageError(f"{self._path}: cannot be read: {error.strerror}") from None
        frames = list(read_frames(data))
        end = frames[-1].end if frames else 0
        if end < len(data):
            self._cut(data, end)
        if not frames:
            raise CorruptionError(str(self._path), 0, "the first frame is not whole")
        stored = self._decode(frames[0], Stored)
        for frame in frames[1:]:
            stored = stored.with_persist(self._decode(frame, Persist))
        self._open()
        return stored

    def append(self, persist: Persist) -> None:
        """Write and sync.

        Raises:
            StorageError: the disk refused; what is on it is unknown, so the
                process must stop.
        """
        data = encode_frame(encode_bytes(persist, Persist))
        self.grown_bytes += len(data)
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
            os.fdatasync(self._descriptor)
        except OSError as error:
            raise StorageError(f"{self._path}: cannot be written: {error.strerror}") from None

    def rewrite(self, stored: Stored) -> None:
        """Replace the journal by one that starts with ``stored``.

        Raises:
            StorageError: the disk refused.
        """
        try:
            replace_file(self._path, encode_frame(encode_bytes(stored, Stored)))
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

    def _cut(self, data: bytes, end: int) -> None:
        later = find_frame(data, end)
        if later is not None:
            reason = f"not a whole frame, yet one follows at byte {later}"
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
            reason = f"the frame holds no {shape.__name__}: {error.errors()[0]['msg']}"
            raise CorruptionError(str(self._path), frame.offset, reason) from None
