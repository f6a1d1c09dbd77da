"""Running a control replica."""

import asyncio
import logging
from typing import Final

from grpclib.const import Handler
from grpclib.server import Server

from damsonlane.errors import StorageError
from damsonlane.settings import BoxSettings, Founding, Gateway
from damsonlane_rpc import ControlClient
from damsonlaned._process import (
    Keys,
    Reload,
    SettingsWatch,
    close_server,
    serve_boxes,
    wait_for_stop,
)
from damsonlaned.admin import Admin
from damsonlaned.control._following import FollowingService
from damsonlaned.control._group import GroupRepairer
from damsonlaned.control._membership import MembershipUpdater
from damsonlaned.control._node import ControlNode
from damsonlaned.control._rate_limits import RateLimitService
from damsonlaned.control._registry import Registry
from damsonlaned.control._service import ControlService
from damsonlaned.dialects import DIALECTS
from damsonlaned.metrics import Metrics
from damsonlaned.storage import DataFolder

_LOG: Final = logging.getLogger(__name__)

#: Seconds between looks at a disk that failed: half of an election time, since a
#: replica that comes back has to hear of a leader anyway.
DISK_LOOK_SECONDS: Final = 0.5


async def run_control(
    settings: BoxSettings, folder: DataFolder, keys: Keys, reload: Reload | None
) -> None:
    """Run the replica until it is told to stop.

    A disk that fails costs the time until it takes writes again: the replica
    falls silent as if its process had ended, and starts again from what the
    disk holds.

    Raises:
        StorageError: its folder can't be used.
    """
    running: list[_RunningReplica] = []

    def take_over(newer: BoxSettings) -> None:
        for replica in running:
            replica.take_over(newer)

    watch = SettingsWatch(settings, reload, take_over)
    # Signals are taken from here on, whatever the replica and its disk do.
    stop = asyncio.create_task(wait_for_stop(watch))
    try:
        while await _wait_for_disk(folder, stop):
            replica = _RunningReplica(watch.settings, folder, keys)
            running[:] = [replica]
            fault = await replica.run(stop)
            if fault is None:
                return
            _LOG.error("disk failed", extra={"fault": str(fault)})
    finally:
        stop.cancel()


async def _wait_for_disk(folder: DataFolder, stop: "asyncio.Task[None]") -> bool:
    """Wait until the disk takes writes; return False if told to stop before that."""
    while not stop.done():
        try:
            folder.probe()
        except StorageError as error:
            _LOG.warning("disk takes no writes", extra={"fault": str(error)})
        else:
            return True
        await asyncio.wait({stop}, timeout=DISK_LOOK_SECONDS)
    return False


class _RunningReplica:
    """A replica with everything that serves beside it, until it stops or its disk fails.

    Args:
        settings: settings of the box.
        folder: its data folder, open.
        keys: its TLS contexts.

    Raises:
        StorageError: the folder can't be used.
    """

    def __init__(self, settings: BoxSettings, folder: DataFolder, keys: Keys) -> None:
        self._settings: Final = settings
        self._keys: Final = keys
        self._metrics: Final = Metrics()
        self._node: Final = ControlNode(settings, folder, keys.client)
        self._admin: Final = Admin(
            settings.admin_address, self._metrics, self._node.is_current, self._refresh
        )
        self._client: Final = ControlClient(_list_control(settings), context=keys.client)
        self._membership: Final = MembershipUpdater(self._node, self._client)
        self._limits: Final = RateLimitService(self._node)
        self._group: Final = _make_group(settings, self._node, self._client, keys)
        self._registry: Final = _make_registry(
            settings.gateway, self._node, self._group, self._client
        )

    def take_over(self, newer: BoxSettings) -> None:
        """Learn the addresses that reloaded settings name."""
        self._client.learn(newer.control)
        if self._group is not None and newer.founding is not None:
            self._group.replace_seeds(newer.founding.seeds)

    async def run(self, stop: "asyncio.Task[None]") -> StorageError | None:
        """Serve until told to stop or the disk fails; return the disk's fault.

        Raises:
            StorageError: the folder or an address can't be used.
        """
        server = await serve_boxes(
            self._settings, ControlService(self._node).service(self._handlers()), self._keys
        )
        await self._start()
        _LOG.info("started", extra={"replica": self._node.identity.replica})
        await asyncio.wait({stop, self._node.failure}, return_when=asyncio.FIRST_COMPLETED)
        await self._stop(server)
        _LOG.info("stopped")
        return self._node.fault()

    def _handlers(self) -> dict[str, Handler]:
        """Return the calls besides those of every replica, by their paths."""
        return {
            **FollowingService(self._node).handlers(),
            **self._limits.handlers(),
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

    async def _stop(self, server: Server) -> None:
        if self._registry is not None:
            await self._registry.stop()
        if self._group is not None:
            await self._group.stop()
        await self._limits.stop()
        await self._membership.stop()
        await self._node.stop()
        await close_server(server)
        await self._admin.stop()

    def _refresh(self) -> None:
        replica = self._node.replica
        self._metrics.version.set({}, self._node.state.settings.version)
        evacuated = self._node.state.evacuations.list_for_entries().data_centres
        self._metrics.evacuated.set({}, len(evacuated))
        self._metrics.commit.set({}, replica.commit if replica else 0)
        self._metrics.is_leader.set({}, 1 if replica and replica.is_leader else 0)


def _list_control(settings: BoxSettings) -> tuple[str, ...]:
    own = settings.internal_address
    return (own, *(address for address in settings.control if address != own))


def _make_group(
    settings: BoxSettings, node: ControlNode, client: ControlClient, keys: Keys
) -> GroupRepairer | None:
    founding: Founding | None = settings.founding
    return GroupRepairer(node, founding, client, keys.client) if founding is not None else None


def _make_registry(
    gateway: Gateway | None, node: ControlNode, group: GroupRepairer | None, client: ControlClient
) -> Registry | None:
    """Return the registry, or None at a box that has no address for it."""
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
    )
