"""The data folder, locked by one process at a time."""

import fcntl
import os
from pathlib import Path
from typing import Final

from damsonlane.errors import StorageError
from damsonlaned.storage._files import replace_file

_LOCK: Final = "lock"
_PROBE: Final = "probe"
#: Bytes of the file that tests whether the disk accepts writes: the block size of most file
#: systems, and more than most writes to the journal.
PROBE_BYTES: Final = 4_096


class DataFolder:
    """A data folder; opened once, at the start of a process.

    Args:
        path: the folder; created if it is missing.
    """

    def __init__(self, path: str) -> None:
        self.path: Final = Path(path)
        self._descriptor = -1

    def __enter__(self) -> "DataFolder":
        self.open()
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def open(self) -> None:
        """Create the folder if needed and lock it.

        Raises:
            StorageError: the folder can't be created, or another process has locked it.
        """
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            self._descriptor = os.open(self.path / _LOCK, os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            message = f"{self.path}: another process uses this data folder"
            raise StorageError(message) from None
        except OSError as error:
            raise StorageError(f"{self.path}: {error.strerror}") from None

    def probe(self) -> None:
        """Write, sync and remove a small file, to test whether the disk accepts writes.

        Raises:
            StorageError: the write failed.
        """
        path = self.path / _PROBE
        try:
            replace_file(path, bytes(PROBE_BYTES))
            path.unlink()
        except OSError as error:
            raise StorageError(f"{path}: cannot be written: {error.strerror}") from None

    def close(self) -> None:
        """Unlock the folder."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
