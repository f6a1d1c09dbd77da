"""Running a control replica."""

import asyncio
import logging
from typing import Final

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
from damsonlaned.control._group import GroupKeeper
from damsonlaned.control._keeper import Keeper
from damsonlaned.control._node import ControlNode
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
    while await _wait_for_disk(settings, folder):
        fault = await _run_replica(settings, folder, keys, reload)
        if fault is None:
            return
        _LOG.error("disk failed", extra={"fault": str(fault)})


async def _wait_for_disk(settings: BoxSettings, folder: DataFolder) -> bool:
    """Wait until the disk takes writes; return False if told to stop before that."""
    watch = SettingsWatch(settings, None, lambda _: None)
    stop = asyncio.create_task(wait_for_stop(watch))
    try:
        while not stop.done():
            try:
                folder.probe()
            except StorageError as error:
                _LOG.warning("disk takes no writes", extra={"fault": str(error)})
            else:
                return True
            await asyncio.wait({stop}, timeout=DISK_LOOK_SECONDS)
        return False
    finally:
        stop.cancel()


async def _run_replica(
    settings: BoxSettings, folder: DataFolder, keys: Keys, reload: Reload | None
) -> StorageError | None:
    """Run the replica until it is told to stop or its disk fails; return that fault.

    Raises:
        StorageError: its folder can't be used.
    """
    node = ControlNode(settings, folder, keys.client)
    metrics = Metrics()

    def refresh() -> None:
        replica = node.replica
        metrics.version.set({}, node.state.settings.version)
        metrics.commit.set({}, replica.commit if replica else 0)
        metrics.is_leader.set({}, 1 if replica and replica.is_leader else 0)

    def take_over(newer: BoxSettings) -> None:
        client.learn(newer.control)
        if group is not None and newer.founding is not None:
            group.replace_seeds(newer.founding.seeds)

    admin = Admin(settings.admin_address, metrics, node.is_current, refresh)
    client = ControlClient(_list_control(settings), context=keys.client)
    keeper = Keeper(node, client)
    group = _make_group(settings, node, client, keys)
    registry = _make_registry(settings.gateway, node, group, client)
    handlers = {
        **FollowingService(node).handlers(),
        **(group.handlers() if group else {}),
        **(registry.handlers() if registry else {}),
    }
    server = await serve_boxes(settings, ControlService(node).service(handlers), keys)
    node.start()
    keeper.start()
    await admin.start()
    if group is not None:
        group.start()
    if registry is not None:
        await registry.start()
    _LOG.info("started", extra={"replica": node.identity.replica})
    stop = asyncio.create_task(wait_for_stop(SettingsWatch(settings, reload, take_over)))
    await asyncio.wait({stop, node.failure}, return_when=asyncio.FIRST_COMPLETED)
    if registry is not None:
        await registry.stop()
    if group is not None:
        await group.stop()
    await keeper.stop()
    await node.stop()
    await close_server(server)
    await admin.stop()
    _LOG.info("stopped")
    stop.cancel()
    return node.fault()


def _list_control(settings: BoxSettings) -> tuple[str, ...]:
    own = settings.internal_address
    return (own, *(address for address in settings.control if address != own))


def _make_group(
    settings: BoxSettings, node: ControlNode, client: ControlClient, keys: Keys
) -> GroupKeeper | None:
    founding: Founding | None = settings.founding
    return GroupKeeper(node, founding, client, keys.client) if founding is not None else None


def _make_registry(
    gateway: Gateway | None, node: ControlNode, group: GroupKeeper | None, client: ControlClient
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
    )
