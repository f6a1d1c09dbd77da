"""Start and stop of a box's process, with its settings, TLS contexts and RPC server."""

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

import damsonlane_rpc
from damsonlane.errors import DamsonlaneError, SettingsError, StorageError
from damsonlane.findings import Finding, Place
from damsonlane.settings import BoxSettings
from damsonlane_rpc import Endpoint, RpcService
from damsonlaned.http import CollectionBudget
from damsonlaned.logs import configure_logs
from damsonlaned.rpc_server import RpcServer

_LOG: Final = logging.getLogger(__name__)

#: Seconds between checks for changed settings, which may come without a signal.
SETTINGS_POLL_SECONDS: Final = 3.0

#: Reads the settings of the box again.
Reload = Callable[[], BoxSettings]


def read_settings_file(path: str) -> BoxSettings:
    """Read the settings of a box.

    Raises:
        SettingsError: the file can't be read or is invalid; carries all findings.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        place = Place(path="", file=path)
        raise SettingsError([Finding(place=place, message=f"cannot be read: {reason}")]) from None
    # Imported here: a box with settings in another format has its own reader.
    from damsonlane.settings import read_box_settings, read_document

    return read_box_settings(read_document(text, path))


async def run_box(settings: BoxSettings, reload: Reload | None = None) -> None:
    """Run a box until SIGTERM or SIGINT.

    Args:
        settings: settings of the box.
        reload: reads the settings again, at intervals and on SIGHUP; None to keep them as they are.

    Raises:
        DamsonlaneError: the box can't start, or its disk failed.
    """
    # Without a handler, a SIGHUP that comes while the box starts would end the process.  It can be
    # ignored until then, since the settings are checked again once the box has started.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_logs(settings.name, settings.role)
    _LOG.info("starting", extra={"pid": os.getpid()})
    tls_contexts = TlsContexts(settings)
    try:
        # Each role imports only what it uses, which saves memory and start-up time on small boxes.
        if settings.role == "control":
            from damsonlaned.control._process import run_control
            from damsonlaned.storage import DataFolder

            with DataFolder(settings.data_folder) as folder:
                await run_control(settings, folder, tls_contexts, reload)
        elif settings.gateway is not None:
            from damsonlaned.gateway._process import run_gateway

            await run_gateway(settings, settings.gateway, tls_contexts, reload)
        else:
            from damsonlaned.entry._process import run_entry
            from damsonlaned.storage import DataFolder

            with DataFolder(settings.data_folder):
                await run_entry(settings, tls_contexts)
    finally:
        await tls_contexts.stop()


class TlsContexts:
    """The TLS contexts of a process, reloaded when their files change; None without TLS."""

    def __init__(self, settings: BoxSettings) -> None:
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        self._reloader: damsonlane_rpc.TlsReloader | None = None
        if settings.tls is not None:
            # The names are looked up here, since boxes without TLS don't import their modules.
            self.server = damsonlane_rpc.make_server_context(settings.tls)
            self.client = damsonlane_rpc.make_client_context(settings.tls)
            self._reloader = damsonlane_rpc.TlsReloader(settings.tls, [self.server, self.client])
            self._reloader.start()

    async def stop(self) -> None:
        """Stop watching the files."""
        if self._reloader is not None:
            await self._reloader.stop()


async def start_rpc_server(
    settings: BoxSettings, service: RpcService, tls_contexts: TlsContexts
) -> Server:
    """Start the server for calls of other boxes, and return it.

    Raises:
        StorageError: cannot listen on the internal address.
    """
    budget = CollectionBudget()
    if settings.capacity is not None:
        budget = CollectionBudget.for_memory(settings.capacity.memory_bytes)
    server = RpcServer(service, budget, tls_contexts.server)
    endpoint = Endpoint.parse(settings.internal_address)
    try:
        await server.start(endpoint.host, endpoint.port)
    except OSError as error:
        reason = error.strerror or str(error)
        raise StorageError(f"cannot listen on {settings.internal_address}: {reason}") from None
    return server


async def stop_rpc_server(server: Server) -> None:
    """Stop the server for calls of other boxes."""
    server.close()
    await server.wait_closed()


class SettingsReloader:
    """Reloads the settings of the box and reports changes.

    Args:
        settings: the settings with which the box started.
        reload: reads them again; None to keep them as they are.
        on_change: called with changed settings.
    """

    def __init__(
        self,
        settings: BoxSettings,
        reload: Reload | None,
        on_change: Callable[[BoxSettings], None],
    ) -> None:
        #: The settings that were read last.
        self.settings = settings
        self._reload: Final = reload
        self._on_change: Final = on_change

    def reload_if_changed(self) -> None:
        """Read the settings and report them if they changed; log settings that are invalid."""
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
            self._on_change(newer)


async def wait_for_stop(reloader: SettingsReloader) -> None:
    """Wait for SIGTERM or SIGINT, and reload the settings on SIGHUP and at intervals."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload_if_changed)
    while not stopped.is_set():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), SETTINGS_POLL_SECONDS)
        reloader.reload_if_changed()
    _LOG.info("stopping")


def describe_failure(error: DamsonlaneError) -> str:
    """Return the text of an error for the operator, with a prefix on each line."""
    return "\n".join(f"damsonlaned: {line}" for line in str(error).splitlines())
