"""Reloads renewed TLS files while the process runs."""

import asyncio
import contextlib
import logging
import ssl
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from damsonlane.errors import StorageError
from damsonlane.settings import TlsFiles
from damsonlane_rpc._tls import load_files

_LOG: Final = logging.getLogger(__name__)

#: Seconds between checks for changed files.
POLL_SECONDS: Final = 2.0


class TlsReloader:
    """Reloads the TLS files of a box when they change; only new connections use them.

    Args:
        files: the files to watch.
        contexts: the TLS contexts into which they are loaded.
    """

    def __init__(self, files: TlsFiles, contexts: Sequence[ssl.SSLContext]) -> None:
        self._files: Final = files
        self._contexts: Final = tuple(contexts)
        self._loaded_times = self._read_times()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start watching the files."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop watching the files."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def reload_if_changed(self) -> bool:
        """Reload the files if they changed, and return whether they were loaded.

        A certificate and a key that don't match, since only one of them has been replaced yet,
        are retried at the next check.
        """
        times = self._read_times()
        if times == self._loaded_times:
            return False
        try:
            for context in self._contexts:
                load_files(context, self._files)
        except StorageError as error:
            _LOG.warning("cannot load the renewed TLS files yet", extra={"fault": str(error)})
            return False
        self._loaded_times = times
        _LOG.info("renewed TLS files loaded")
        return True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self.reload_if_changed()

    def _read_times(self) -> tuple[float, ...]:
        """Return the modification times of the files; 0 for one that can't be read."""
        paths = (self._files.certificate, self._files.key, self._files.authority)
        return tuple(_read_modification_time(path) for path in paths)


def _read_modification_time(path: str) -> float:
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0.0
