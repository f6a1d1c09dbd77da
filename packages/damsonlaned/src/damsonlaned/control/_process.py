"""The process of a control replica."""

import asyncio
import logging
from typing import Final

from grpclib.const import Handler
from grpclib.server import Server

from damsonlane.errors import StorageError
from damsonlane.settings import BoxSettings, Capacity, Founding, Gateway
from damsonlane_rpc import ControlClient
from damsonlaned._process import (
    Reload,
    SettingsReloader,
    TlsContexts,
    start_rpc_server,
    stop_rpc_server,
    wait_for_stop,
)
from damsonlaned.admin import AdminServer
from damsonlaned.control._follow_service import FollowService
from damsonlaned.control._group_manager import GroupManager
from damsonlaned.control._membership import MembershipUpdater
from damsonlaned.control._node import ControlNode
from damsonlaned.control._rate_limits import RateLimitService
from damsonlaned.control._registry import Registry
from damsonlaned.control._service import ControlService
from damsonlaned.dialects import DIALECTS
from damsonlaned.http import BufferGuard
from damsonlaned.metrics import Metrics
from damsonlaned.storage import DataFolder
from damsonlaned.versions import OriginService, ReplicaOrigins

_LOG: Final = logging.getLogger(__name__)

#: Seconds reserved at the end of the grace period.
STOP_MARGIN_SECONDS: Final = 0.4
#: Seconds between probes of a failed disk: half of an election timeout, since a
#: restarted replica has to wait for a leader anyway.
DISK_PROBE_SECONDS: Final = 0.5
#: Share of the memory that may hold bytes of the registry's callers.
BUFFER_SHARE: Final = 0.125
#: What may hold them where the memory is not known, in bytes.
DEFAULT_BUFFER_BYTES: Final = 64 * 2**20


async def run_control(
    settings: BoxSettings, folder: DataFolder, tls_contexts: TlsContexts, reload: Reload | None
) -> None:
    """Run the replica until the process is told to stop.

    If the disk fails, the replica stops as after a crash.  Once the disk accepts writes
    again, it restarts in the same process and recovers its state from the disk.

    Args:
        settings: settings of the box.
        folder: its data folder, open.
        tls_contexts: its TLS contexts.
        reload: reads the settings again; None where they can't change.

    Raises:
        StorageError: the data folder can't be used.
    """
    running: list[_RunningReplica] = []

    def apply_settings(newer: BoxSettings) -> None:
        for replica in running:
            replica.apply_settings(newer)

    reloader = SettingsReloader(settings, reload, apply_settings)
    # Signals are handled from here on, in whatever state the replica and its disk are.
    stop = asyncio.create_task(wait_for_stop(reloader))
    try:
        while await _wait_for_disk(folder, stop):
            replica = _RunningReplica(reloader.settings, folder, tls_contexts)
            running[:] = [replica]
            error = await replica.run(stop)
            if error is None:
                return
            _LOG.error("disk failed", extra={"fault": str(error)})
    finally:
        stop.cancel()


async def _wait_for_disk(folder: DataFolder, stop: "asyncio.Task[None]") -> bool:
    """Wait until the disk accepts writes; return False if told to stop before."""
    while not stop.done():
        try:
            folder.probe()
        except StorageError as error:
            _LOG.warning("disk does not accept writes", extra={"fault": str(error)})
        else:
            return True
        await asyncio.wait({stop}, timeout=DISK_PROBE_SECONDS)
    return False


class _RunningReplica:
    """A replica with all services of its process, until it stops or its disk fails.

    Args:
        settings: settings of the box.
        folder: its data folder, open.
        tls_contexts: its TLS contexts.

    Raises:
        StorageError: the folder can't be used.
    """

    def __init__(
        self, settings: BoxSettings, folder: DataFolder, tls_contexts: TlsContexts
    ) -> None:
        self._settings: Final = settings
        self._tls_contexts: Final = tls_contexts
        self._metrics: Final = Metrics()
        self._node: Final = ControlNode(settings, folder, tls_contexts.client)
        self._admin: Final = AdminServer(
            settings.admin_address, self._metrics, self._node.is_current, self._update_metrics
        )
        self._client: Final = ControlClient(
            _list_control_addresses(settings), context=tls_contexts.client
        )
        self._membership: Final = MembershipUpdater(self._node, self._client, self._metrics)
        self._limits: Final = RateLimitService(self._node)
        self._origins: Final = ReplicaOrigins(self._metrics)
        self._group: Final = _make_group(settings, self._node, self._client, tls_contexts)
        guard = BufferGuard(
            _find_buffer_bytes(settings.capacity),
            lambda reason: self._metrics.slow_callers.inc({"reason": reason}),
        )
        self._registry: Final = _make_registry(
            settings.gateway, self._node, self._group, self._client, guard
        )

    def apply_settings(self, newer: BoxSettings) -> None:
        """Update the addresses from reloaded settings."""
        self._client.update_addresses(newer.control)
        if self._group is not None and newer.founding is not None:
            self._group.replace_seeds(newer.founding.seeds)

    async def run(self, stop: "asyncio.Task[None]") -> StorageError | None:
        """Serve until told to stop or the disk fails.

        Returns:
            The error with which the disk failed, or None if told to stop.

        Raises:
            StorageError: the folder or an address can't be used.
        """
        server = await start_rpc_server(
            self._settings, ControlService(self._node).service(self._handlers()), self._tls_contexts
        )
        await self._start()
        _LOG.info("started", extra={"replica": self._node.identity.replica})
        await asyncio.wait({stop, self._node.failure}, return_when=asyncio.FIRST_COMPLETED)
        ends_at = self._node.now()
        if self._settings.gateway is not None and not self._node.failure.done():
            ends_at += self._settings.gateway.stop_seconds - STOP_MARGIN_SECONDS
        if self._group is not None and not self._node.failure.done():
            await self._group.leave()
        await self._stop(server, ends_at)
        _LOG.info("stopped")
        return self._node.disk_error()

    def _handlers(self) -> dict[str, Handler]:
        """Return the handlers besides those of `ControlService`, by path."""
        return {
            **FollowService(self._node).handlers(),
            **self._limits.handlers(),
            **OriginService(self._origins).handlers(),
            **(self._group.handlers() if self._group else {}),
            **(self._registry.handlers() if self._registry else {}),
        }

    async def _start(self) -> None:
        self._node.start()
        self._membership.start()
        self._limits.start()
        await self._admin.start()
        if self._group is not None:
            self._group.start()
        if self._registry is not None:
            await self._registry.start()

    async def _stop(self, server: Server, ends_at: float) -> None:
        if self._registry is not None:
            await self._registry.stop(ends_at)
        if self._group is not None:
            await self._group.stop()
        await self._limits.stop()
        await self._membership.stop()
        await self._node.stop()
        await stop_rpc_server(server)
        await self._admin.stop()

    def _update_metrics(self) -> None:
        replica = self._node.replica
        self._metrics.settings_version.set({}, self._node.state.settings.version)
        evacuated = self._node.state.evacuations.list_for_entries().data_centres
        self._metrics.evacuated_data_centres.set({}, len(evacuated))
        self._metrics.commit_index.set({}, replica.commit if replica else 0)
        self._metrics.is_leader.set({}, 1 if replica and replica.is_leader else 0)


def _list_control_addresses(settings: BoxSettings) -> tuple[str, ...]:
    own = settings.internal_address
    return (own, *(address for address in settings.control if address != own))


def _make_group(
    settings: BoxSettings, node: ControlNode, client: ControlClient, tls_contexts: TlsContexts
) -> GroupManager | None:
    founding: Founding | None = settings.founding
    return (
        GroupManager(node, founding, client, tls_contexts.client) if founding is not None else None
    )


def _make_registry(
    gateway: Gateway | None,
    node: ControlNode,
    group: GroupManager | None,
    client: ControlClient,
    guard: BufferGuard,
) -> Registry | None:
    """Return the registry, or None if the settings have no address for it."""
    if group is None or gateway is None or not gateway.registry_address:
        return None
    return Registry(
        node,
        group,
        client,
        DIALECTS[gateway.dialect],
        gateway.registry_address,
        gateway.heartbeat_seconds,
        gateway.data_centres,
        guard,
    )


def _find_buffer_bytes(capacity: Capacity | None) -> int:
    """Return the limit of what is buffered for callers of the registry, in bytes."""
    if capacity is None:
        return DEFAULT_BUFFER_BYTES
    return int(BUFFER_SHARE * capacity.memory_bytes)
