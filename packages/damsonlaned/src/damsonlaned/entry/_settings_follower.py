"""Keep the settings in force current, from control and from other entries."""

import asyncio
import contextlib
import logging
import random
import ssl
import time
from collections.abc import Callable
from typing import Final

from grpclib.client import Stream

from damsonlane.errors import UnavailableError
from damsonlane.ledger import Holder
from damsonlane.ratelimit import RateLimitList
from damsonlane.settings import BoxSettings
from damsonlane_rpc import (
    CALL_ERRORS,
    COMPARE,
    WATCH,
    ControlClient,
    PeerRequest,
    QueryRequest,
    SettingsQuery,
    WatchReport,
    WatchUpdate,
    open_channel,
)
from damsonlane_rpc import SettingsView as SettingsReply
from damsonlaned.entry._draining_targets import DrainingTargets
from damsonlaned.entry._settings_view import SettingsView
from damsonlaned.quarantine import KnownQuarantine
from damsonlaned.tasks import stop_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between reports of the version in force to control.
REPORT_SECONDS: Final = 2.0
#: Seconds without an update after which another control replica is tried.
UPDATE_TIMEOUT_SECONDS: Final = 6.0
#: Mean time between requests to peers, and the time-out of one, in seconds.
PEER_SECONDS: Final = 5.0
#: Seconds before control is contacted again.
RECONNECT_SECONDS: Final = 0.2
#: Time-out of one query to control, in seconds.
QUERY_TIMEOUT_SECONDS: Final = 5.0


class SettingsFollower:
    """Follows one control replica by a stream, and compares settings with peers periodically.

    Args:
        settings: settings of the box.
        holder: this process.
        client: client of control, used on the running loop.
        view: where newer settings are put in force.
        draining: targets that are known to be draining.
        context: TLS context towards other boxes, or None.
    """

    def __init__(
        self,
        settings: BoxSettings,
        holder: Holder,
        client: ControlClient,
        view: SettingsView,
        draining: DrainingTargets,
        context: ssl.SSLContext | None,
    ) -> None:
        self._settings: Final = settings
        self._holder: Final = holder
        self._client: Final = client
        self._view: Final = view
        self._draining: Final = draining
        self._context: Final = context
        self._started_at: Final = time.time()
        self._report_due: Final = asyncio.Event()
        self._reported_peers: tuple[str, ...] = ()
        self._is_draining = False
        self._tasks: list[asyncio.Task[None]] = []
        #: How many entries share the fleet's limits, as control last reported.
        self.live_entries = 1
        #: The quarantined requests that control lists.
        self.quarantine: Final = KnownQuarantine()
        #: Called with the rate limits of targets that control lists.
        self.on_rate_limits: Callable[[RateLimitList], None] = lambda _: None

    def start(self) -> None:
        """Start following."""
        self._tasks = [
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._compare_with_peers()),
        ]

    async def stop(self) -> None:
        """Stop following."""
        await asyncio.gather(*(stop_task(task) for task in self._tasks))

    def announce_draining(self) -> None:
        """Report to control that this box accepts no new requests."""
        self._is_draining = True
        self._report_due.set()

    # Following control.

    async def _follow(self) -> None:
        while True:
            try:
                await self._read_confirmed()
                await self._watch(random.choice(self._settings.control))
            except (UnavailableError, TimeoutError, *CALL_ERRORS) as error:
                _LOG.warning(
                    "lost contact with control", extra={"fault": str(error) or type(error).__name__}
                )
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _read_confirmed(self) -> None:
        reply = await self._client.query(QueryRequest(query=SettingsQuery()), QUERY_TIMEOUT_SECONDS)
        if isinstance(reply.outcome, SettingsReply):
            self._view.replace(reply.outcome.version, reply.outcome.document)
            if not self._view.is_confirmed:
                _LOG.info("settings confirmed", extra={"version": reply.outcome.version})
            self._view.confirm()

    async def _watch(self, address: str) -> None:
        channel = open_channel(address, self._context)
        try:
            async with WATCH.stream(channel).open() as stream:
                await stream.send_message(self._report())
                reporter = asyncio.create_task(self._send_reports(stream))
                try:
                    await self._apply_updates(stream)
                finally:
                    await stop_task(reporter)
        finally:
            channel.close()

    async def _apply_updates(self, stream: Stream[WatchReport, WatchUpdate]) -> None:
        while True:
            update = await asyncio.wait_for(stream.recv_message(), UPDATE_TIMEOUT_SECONDS)
            if update is None or not update.is_current:
                return
            self.live_entries = max(1, update.live_entries)
            self._reported_peers = update.peers
            if update.quarantine is not None:
                self.quarantine.put(update.quarantine)
            if update.rate_limits is not None:
                self.on_rate_limits(update.rate_limits)
            self._apply_settings(update)
            if update.version > self._view.current.version:
                # The changes do not continue the version in force, so the whole tree must be read.
                return

    def _apply_settings(self, update: WatchUpdate) -> None:
        if update.document is not None:
            is_newer = self._view.replace(update.version, update.document)
        else:
            is_newer = self._view.merge(update.changes)
        if is_newer:
            self._report_due.set()
            _LOG.info("settings in force", extra={"version": update.version})

    async def _send_reports(self, stream: Stream[WatchReport, WatchUpdate]) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._report_due.wait(), REPORT_SECONDS)
            self._report_due.clear()
            await stream.send_message(self._report())

    def _report(self) -> WatchReport:
        return WatchReport(
            box=self._holder.box,
            incarnation=self._holder.incarnation,
            data_centre=self._settings.data_centre,
            version=self._view.current.version,
            started_at=self._started_at,
            address=self._settings.internal_address,
            is_leaving=self._is_draining,
            capacity=self._settings.capacity.cores if self._settings.capacity else 0.0,
        )

    # Comparing with peers.

    async def _compare_with_peers(self) -> None:
        while True:
            await asyncio.sleep(PEER_SECONDS * random.uniform(0.75, 1.25))
            peers = set(self._settings.peers or self._reported_peers)
            peers.discard(self._settings.internal_address)
            if peers and self._view.is_confirmed:
                await self._compare_with_peer(random.choice(sorted(peers)))

    async def _compare_with_peer(self, address: str) -> None:
        """Apply newer settings of a peer, and exchange lists of draining targets."""
        channel = open_channel(address, self._context)
        request = PeerRequest(version=self._view.current.version, leaving=self._draining.list_all())
        try:
            reply = await COMPARE.unary(channel)(request, timeout=PEER_SECONDS)
            if reply.update is not None:
                self._apply_settings(reply.update)
            self._draining.merge(reply.leaving)
        except CALL_ERRORS as error:
            _LOG.debug("peer does not answer", extra={"fault": str(error)})
        finally:
            channel.close()
