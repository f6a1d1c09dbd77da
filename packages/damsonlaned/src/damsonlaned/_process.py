"""One process: settings, role, calls between boxes, and a clean stop."""

import asyncio
import contextlib
import logging
import os
import signal
import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Final

from grpclib.server import Server

from damsonlane.errors import DamsonlaneError, SettingsError, StorageError
from damsonlane.findings import Finding, Place
from damsonlane.settings import BoxSettings, read_box_settings, read_document
from damsonlane_rpc import (
    DataclassCodec,
    Endpoint,
    KeyWatch,
    Service,
    make_client_context,
    make_server_context,
)
from damsonlaned.logs import configure_logs
from damsonlaned.storage import DataFolder

_LOG: Final = logging.getLogger(__name__)

#: Seconds between looks at the settings, which may change without a signal.
LOOK_SECONDS: Final = 3.0

#: Reads the settings of the box anew.
Reload = Callable[[], BoxSettings]


def read_settings_file(path: str) -> BoxSettings:
    """Read the settings of a box.

    Raises:
        SettingsError: the file can't be read or is wrong; carries all findings.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        place = Place(path="", file=path)
        raise SettingsError([Finding(place=place, message=f"cannot be read: {reason}")]) from None
    return read_box_settings(read_document(text, path))


async def run_box(settings: BoxSettings, reload: Reload | None = None) -> None:
    """Run a box until it is told to stop.

    Args:
        settings: settings of the box.
        reload: reads the settings anew after SIGHUP; None where that changes nothing.

    Raises:
        DamsonlaneError: it can't start, or its disk failed.
    """
    # Until a handler is set the signal ends the process, and it may come while a box starts;
    # the settings are looked at anyway once it has.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_logs(settings.name, settings.role)
    _LOG.info("starting", extra={"pid": os.getpid()})
    keys = Keys(settings)
    try:
        # Each role imports only what it uses: memory and starting time are scarce on small boxes.
        if settings.role == "control":
            from damsonlaned.control._process import run_control

            with DataFolder(settings.data_folder) as folder:
                await run_control(settings, folder, keys, reload)
        elif settings.gateway is not None:
            from damsonlaned.gateway._process import run_gateway

            await run_gateway(settings, settings.gateway, keys, reload)
        else:
            from damsonlaned.entry._process import run_entry

            with DataFolder(settings.data_folder):
                await run_entry(settings, keys)
    finally:
        await keys.stop()


class Keys:
    """The TLS contexts of a process, renewed when their files change; None without TLS."""

    def __init__(self, settings: BoxSettings) -> None:
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        self._watch: KeyWatch | None = None
        if settings.tls is not None:
            self.server = make_server_context(settings.tls)
            self.client = make_client_context(settings.tls)
            self._watch = KeyWatch(settings.tls, [self.server, self.client])
            self._watch.start()

    async def stop(self) -> None:
        """Stop watching the files."""
        if self._watch is not None:
            await self._watch.stop()


async def serve_boxes(settings: BoxSettings, service: Service, keys: Keys) -> Server:
    """Serve the calls of other boxes.

    Raises:
        StorageError: the internal address can't be had.
    """
    server = Server([service], codec=DataclassCodec())
    endpoint = Endpoint.parse(settings.internal_address)
    try:
        await server.start(endpoint.host, endpoint.port, ssl=keys.server)
    except OSError as error:
        reason = error.strerror or str(error)
        raise StorageError(f"cannot listen on {settings.internal_address}: {reason}") from None
    return server


async def close_server(server: Server) -> None:
    """Stop serving the calls of other boxes."""
    server.close()
    await server.wait_closed()


class SettingsWatch:
    """Notices that the settings of the box have changed, by SIGHUP or by looking.

    Args:
        settings: those that it started with.
        reload: reads them anew; None where that changes nothing.
        take_over: called with newer settings.
    """

    def __init__(
        self,
        settings: BoxSettings,
        reload: Reload | None,
        take_over: Callable[[BoxSettings], None],
    ) -> None:
        #: The newest that were read.
        self.settings = settings
        self._reload: Final = reload
        self._take_over: Final = take_over

    def look(self) -> None:
        """Read the settings and hand them on if they differ from those known."""
        if self._reload is None:
            return
        try:
            newer = self._reload()
        except SettingsError as error:
            _LOG.error("settings not reloaded", extra={"fault": str(error)})
            return
        if newer != self.settings:
            self.settings = newer
            _LOG.info("settings reloaded", extra={"control": newer.control})
            self._take_over(newer)


async def wait_for_stop(watch: SettingsWatch) -> None:
    """Wait for SIGTERM or SIGINT, looking at the settings now and then and at SIGHUP."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, watch.look)
    while not stopped.is_set():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), LOOK_SECONDS)
        watch.look()
    _LOG.info("stopping")


def describe_failure(error: DamsonlaneError) -> str:
    """Return a failure as the lines an operator reads."""
    return "\n".join(f"damsonlaned: {line}" for line in str(error).splitlines())
