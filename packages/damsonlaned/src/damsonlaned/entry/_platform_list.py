"""The platform's list of boxes, which lags: one source of leaving targets among others."""

import asyncio
import contextlib
import json
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Final

import urllib3
from pydantic import TypeAdapter, ValidationError

from damsonlane.settings import BoxSettings
from damsonlaned.entry._draining_targets import LeavingTargets
from damsonlaned.entry._settings_view import SettingsView

_LOG: Final = logging.getLogger(__name__)

#: Seconds between looks at the list.
LOOK_SECONDS: Final = 2.0
#: Seconds that reading it may take.
READ_SECONDS: Final = 2.0
_ADAPTER: Final = TypeAdapter(dict[str, list[str]])

#: Reads a list from where settings say it is.
ListSource = Callable[[str], bytes]

#: All kinds of source by the name that settings use.
SOURCES: Final[dict[str, ListSource]] = {}


def list_source(name: str) -> Callable[[ListSource], ListSource]:
    """Register a source under the name that settings use."""

    def register(source: ListSource) -> ListSource:
        SOURCES[name] = source
        return source

    return register


@list_source("file")
def read_file(place: str) -> bytes:
    """Read the list from a file."""
    return Path(place).read_bytes()


@list_source("http")
def read_http(place: str) -> bytes:
    """Read the list by HTTP."""
    return urllib3.request("GET", place, timeout=READ_SECONDS, retries=False).data


class PlatformWatch:
    """Follows the platform's list: an object with names under ``live`` and ``leaving``."""

    def __init__(self, settings: BoxSettings, view: SettingsView, leaving: LeavingTargets) -> None:
        self._settings: Final = settings
        self._view: Final = view
        self._leaving: Final = leaving
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
                self._take(await asyncio.to_thread(source, place))
            except (OSError, urllib3.exceptions.HTTPError, ValueError, ValidationError) as error:
                _LOG.warning("the platform's list can't be read", extra={"fault": str(error)})
            await asyncio.sleep(LOOK_SECONDS)

    def _take(self, data: bytes) -> None:
        leaving = set(_ADAPTER.validate_python(json.loads(data)).get("leaving", []))
        for service, written in self._view.current.tree.services.items():
            for target in leaving & set(written.targets):
                self._leaving.mark(service, target)
