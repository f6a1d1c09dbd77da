"""Read the platform's list of boxes, one of the sources of draining targets; it may be late."""

import asyncio
import contextlib
import json
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Final

import urllib3
from pydantic import ValidationError

from damsonlane.codec import find_adapter
from damsonlane.settings import BoxSettings
from damsonlaned.entry._draining_targets import DrainingTargets
from damsonlaned.entry._settings_view import SettingsView

_LOG: Final = logging.getLogger(__name__)

#: Seconds between two reads of the list.
POLL_SECONDS: Final = 2.0
#: Time-out of reading it by HTTP, in seconds.
READ_TIMEOUT_SECONDS: Final = 2.0

#: Reads a list from the path or URL in the settings.
ListSource = Callable[[str], bytes]

#: Sources by the name that settings use.
SOURCES: Final[dict[str, ListSource]] = {}


def list_source(name: str) -> Callable[[ListSource], ListSource]:
    """Register a source under the name that settings use."""

    def register(source: ListSource) -> ListSource:
        SOURCES[name] = source
        return source

    return register


@list_source("file")
def read_file(path: str) -> bytes:
    """Read the list from a file."""
    return Path(path).read_bytes()


@list_source("http")
def read_http(url: str) -> bytes:
    """Read the list by HTTP."""
    return urllib3.request("GET", url, timeout=READ_TIMEOUT_SECONDS, retries=False).data


class PlatformListWatcher:
    """Follows the platform's list, an object with target names under ``live`` and ``leaving``."""

    def __init__(
        self, settings: BoxSettings, view: SettingsView, draining: DrainingTargets
    ) -> None:
        self._settings: Final = settings
        self._view: Final = view
        self._draining: Final = draining
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start following the list, if settings name one."""
        if self._settings.platform_list is not None:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        assert self._settings.platform_list is not None
        source = SOURCES[self._settings.platform_list.kind]
        place = self._settings.platform_list.place
        while True:
            try:
                self._apply(await asyncio.to_thread(source, place))
            except (OSError, urllib3.exceptions.HTTPError, ValueError, ValidationError) as error:
                _LOG.warning("cannot read the platform's list", extra={"fault": str(error)})
            await asyncio.sleep(POLL_SECONDS)

    def _apply(self, data: bytes) -> None:
        draining = set(
            find_adapter(dict[str, list[str]]).validate_python(json.loads(data)).get("leaving", [])
        )
        for service, definition in self._view.current.tree.services.items():
            for target in draining & set(definition.targets):
                self._draining.record(service, target)
