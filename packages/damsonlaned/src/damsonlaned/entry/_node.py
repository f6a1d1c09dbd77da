"""The entry node: serves callers and sends their requests to targets, on one box."""

import asyncio
import ssl
from typing import Final

from damsonlane.settings import BoxSettings
from damsonlaned.admin import AdminServer
from damsonlaned.entry._caller_application import CallerApplication
from damsonlaned.entry._control_link import ControlLink
from damsonlaned.entry._dispatcher import Dispatcher
from damsonlaned.entry._draining_targets import DrainingTargets
from damsonlaned.entry._peer_service import PeerService
from damsonlaned.entry._platform_list import PlatformListWatcher
from damsonlaned.entry._rate_limited_targets import RateLimitedTargets
from damsonlaned.entry._request_runner import RequestRunner
from damsonlaned.entry._settings_view import SettingsView
from damsonlaned.http import CollectionBudget
from damsonlaned.metrics import Metrics
from damsonlaned.wsgi_limits import find_budget_bytes
from damsonlaned.wsgi_server import WsgiServer

#: Seconds between two checks for requests in progress while stopping.
DRAIN_POLL_SECONDS: Final = 0.05
#: Consecutive checks that must find no request before the socket is closed.
IDLE_POLLS: Final = 3


class EntryNode:
    """One entry box.

    Args:
        settings: settings of the box.
        context: TLS context towards other boxes, or None.
    """

    def __init__(self, settings: BoxSettings, context: ssl.SSLContext | None) -> None:
        self._settings: Final = settings
        self._view: Final = SettingsView()
        self._metrics: Final = Metrics()
        draining = DrainingTargets()
        self._control: Final = ControlLink(settings, self._view, draining, context)
        limits = RateLimitedTargets(self._control.permits)
        self._control.settings.on_rate_limits = limits.apply_list
        self._dispatcher: Final = Dispatcher(
            settings.data_centre,
            draining,
            self._control.quarantine,
            lambda: self._control.settings.live_entries,
            limits,
            CollectionBudget.for_memory(settings.capacity.memory_bytes)
            if settings.capacity is not None
            else None,
        )
        self._platform: Final = PlatformListWatcher(settings, self._view, draining)
        runner = RequestRunner(self._control, self._dispatcher)
        self._callers: Final = CallerApplication(settings, self._view, runner, self._metrics)
        self._server: Final = WsgiServer(
            settings.caller_address,
            self._callers,
            settings.caller_threads,
            settings.body_limit,
            find_budget_bytes(settings.capacity),
        )
        self._admin: Final = AdminServer(
            settings.admin_address, self._metrics, self._callers.is_ready, self._update_metrics
        )
        self.peers: Final = PeerService(self._view, draining)

    async def start(self) -> None:
        """Start serving; callers are refused until settings are confirmed.

        Raises:
            StorageError: an address is not available.
        """
        await self._admin.start()
        self._server.start()
        self._control.start()
        self._platform.start()

    async def stop(self) -> None:
        """Wait until no request is in progress, then stop."""
        self._callers.is_draining = True
        self._control.settings.announce_draining()
        await asyncio.sleep(self._settings.grace_seconds)
        idle_polls = 0
        while idle_polls < IDLE_POLLS:
            is_busy = self._callers.in_flight() > 0 or self._server.count_waiting() > 0
            idle_polls = 0 if is_busy else idle_polls + 1
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await asyncio.to_thread(self._server.stop)
        await self._platform.stop()
        await self._control.stop()
        self._dispatcher.close()
        await self._admin.stop()

    def _update_metrics(self) -> None:
        self._metrics.in_flight.set({}, self._callers.in_flight())
        self._metrics.settings_version.set({}, self._view.current.version)
