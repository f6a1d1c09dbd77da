"""One process: settings, role, calls between boxes, and a clean stop."""

import asyncio
import logging
import signal
import ssl
from pathlib import Path
from typing import Final

from grpclib.server import Server

from damsonlane.errors import DamsonlaneError, SettingsError, StorageError
from damsonlane.findings import Finding, Place
from damsonlane.settings import BoxSettings, read_box_settings, read_document
from damsonlane_rpc import (
    ControlClient,
    DataclassCodec,
    Endpoint,
    KeyWatch,
    Service,
    make_client_context,
    make_server_context,
)
from damsonlaned.admin import Admin
from damsonlaned.control import ControlNode, ControlService, Keeper
from damsonlaned.entry import EntryNode
from damsonlaned.logs import configure_logs
from damsonlaned.metrics import Metrics
from damsonlaned.storage import DataFolder

_LOG: Final = logging.getLogger(__name__)


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


async def run_box(settings: BoxSettings) -> None:
    """Run a box until it is told to stop.

    Raises:
        DamsonlaneError: it can't start, or its disk failed.
    """
    configure_logs(settings.name, settings.role)
    folder = DataFolder(settings.data_folder)
    folder.open()
    keys = _Keys(settings)
    try:
        if settings.role == "control":
            await _run_control(settings, folder, keys)
        else:
            await _run_entry(settings, keys)
    finally:
        await keys.stop()
        folder.close()


class _Keys:
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


async def _run_control(settings: BoxSettings, folder: DataFolder, keys: _Keys) -> None:
    node = ControlNode(settings, folder, keys.client)
    metrics = Metrics()

    def refresh() -> None:
        replica = node.replica
        metrics.version.set({}, node.state.settings.version)
        metrics.commit.set({}, replica.commit if replica else 0)
        metrics.is_leader.set({}, 1 if replica and replica.is_leader else 0)

    admin = Admin(settings.admin_address, metrics, node.is_current, refresh)
    server = await _serve(settings, ControlService(node).service(), keys)
    client = ControlClient(_list_control(settings), context=keys.client)
    keeper = Keeper(node, client)
    node.start()
    keeper.start()
    admin.start()
    stop = asyncio.create_task(_wait_for_stop())
    await asyncio.wait({stop, node.failure}, return_when=asyncio.FIRST_COMPLETED)
    await keeper.stop()
    await node.stop()
    await _close(server)
    await asyncio.to_thread(admin.stop)
    if node.failure.done():
        node.failure.result()


async def _run_entry(settings: BoxSettings, keys: _Keys) -> None:
    node = EntryNode(settings, keys.client)
    server = await _serve(settings, node.peers.service(), keys)
    node.start()
    _LOG.info("started")
    await _wait_for_stop()
    _LOG.info("stopping")
    await node.stop()
    await _close(server)
    _LOG.info("stopped")


def _list_control(settings: BoxSettings) -> tuple[str, ...]:
    own = settings.internal_address
    return (own, *(address for address in settings.control if address != own))


async def _serve(settings: BoxSettings, service: Service, keys: _Keys) -> Server:
    server = Server([service], codec=DataclassCodec())
    endpoint = Endpoint.parse(settings.internal_address)
    try:
        await server.start(endpoint.host, endpoint.port, ssl=keys.server)
    except OSError as error:
        reason = error.strerror or str(error)
        raise StorageError(f"cannot listen on {settings.internal_address}: {reason}") from None
    return server


async def _close(server: Server) -> None:
    server.close()
    await server.wait_closed()


async def _wait_for_stop() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def describe_failure(error: DamsonlaneError) -> str:
    """Return a failure as the lines an operator reads."""
    return "\n".join(f"damsonlaned: {line}" for line in str(error).splitlines())
