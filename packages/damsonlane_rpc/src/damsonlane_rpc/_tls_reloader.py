"""Taking renewed keys into use while the process runs."""

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

#: Seconds between looks at the files.
LOOK_SECONDS: Final = 2.0


class KeyWatch:
    """Loads the files of a box again when they change; new connections use them.

    Args:
        files: the files.
        contexts: the contexts in use.
    """

    def __init__(self, files: TlsFiles, contexts: Sequence[ssl.SSLContext]) -> None:
        self._files: Final = files
        self._contexts: Final = tuple(contexts)
        self._seen = self._read_times()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start watching."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def look(self) -> bool:
        """Load the files if they changed; tell whether they were loaded.

        Files that don't fit together yet, because only one of them has been
        replaced, are tried again at the next look.
        """
        times = self._read_times()
        if times == self._seen:
            return False
        try:
            for context in self._contexts:
                load_files(context, self._files)
        except StorageError as error:
            _LOG.warning("renewed keys can't be used yet", extra={"fault": str(error)})
            return False
        self._seen = times
        _LOG.info("renewed keys are in use")
        return True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            self.look()

    def _read_times(self) -> tuple[float, ...]:
        paths = (self._files.certificate, self._files.key, self._files.authority)
        return tuple(_read_time(path) for path in paths)


def _read_time(path: str) -> float:
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0.0
