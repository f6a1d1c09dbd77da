"""The entry node: everything between callers and targets on one box."""

import asyncio
import ssl
from typing import Final

from damsonlane.settings import BoxSettings
from damsonlaned.admin import Admin
from damsonlaned.entry._caller_application import CallerApplication
from damsonlaned.entry._control_link import Uplink
from damsonlaned.entry._dispatcher import Dispatch
from damsonlaned.entry._draining_targets import LeavingTargets
from damsonlaned.entry._peer_service import PeerService
from damsonlaned.entry._platform_list import PlatformWatch
from damsonlaned.entry._rate_limited_targets import LimitedTargets
from damsonlaned.entry._request_runner import RequestRunner
from damsonlaned.entry._settings_view import SettingsView
from damsonlaned.metrics import Metrics
from damsonlaned.servers import HttpServer

#: Seconds between looks at what is still in flight while stopping.
DRAIN_POLL: Final = 0.05
#: Looks in a row that must find nothing before the socket is closed.
QUIET_POLLS: Final = 3


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
        leaving = LeavingTargets()
        self._uplink: Final = Uplink(settings, self._view, leaving, context)
        limits = LimitedTargets(self._uplink.permits)
        self._uplink.settings.take_rate_limits = limits.put
        self._dispatch: Final = Dispatch(
            settings.data_centre,
            leaving,
            self._uplink.quarantine,
            lambda: self._uplink.settings.live_entries,
            limits,
        )
        self._platform: Final = PlatformWatch(settings, self._view, leaving)
        runner = RequestRunner(self._uplink, self._dispatch)
        self._callers: Final = CallerApplication(settings, self._view, runner, self._metrics)
        self._server: Final = HttpServer(
            settings.caller_address, self._callers, settings.caller_threads
        )
        self._admin: Final = Admin(
            settings.admin_address, self._metrics, self._callers.is_ready, self._refresh
        )
        self.peers: Final = PeerService(self._view, leaving)

    async def start(self) -> None:
        """Start serving; callers are refused until settings are confirmed.

        Raises:
            StorageError: an address can't be had.
        """
        await self._admin.start()
        self._server.start()
        self._uplink.start()
        self._platform.start()

    async def stop(self) -> None:
        """Let everything in flight end, then stop."""
        self._callers.is_draining = True
        self._uplink.settings.announce_leaving()
        await asyncio.sleep(self._settings.grace_seconds)
        quiet = 0
        while quiet < QUIET_POLLS:
            is_busy = self._callers.in_flight() > 0 or self._server.waiting() > 0
            quiet = 0 if is_busy else quiet + 1
            await asyncio.sleep(DRAIN_POLL)
        await asyncio.to_thread(self._server.stop)
        await self._platform.stop()
        await self._uplink.stop()
        self._dispatch.close()
        await self._admin.stop()

    def _refresh(self) -> None:
        self._metrics.in_flight.set({}, self._callers.in_flight())
        self._metrics.version.set({}, self._view.current.version)
