"""Follow one control replica, and switch to another when its state is stale."""

import asyncio
import contextlib
import logging
import random
import ssl
import time
from collections.abc import Callable
from typing import Final

from grpclib.client import Stream

from damsonlane.ledger import Holder
from damsonlane.settings import BoxSettings
from damsonlane_rpc import (
    CALL_ERRORS,
    FOLLOW,
    FollowReport,
    FollowUpdate,
    WatchReport,
    open_channel,
)
from damsonlaned.gateway._view import FleetView
from damsonlaned.tasks import start_task, stop_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between reports of this entry's revisions.
REPORT_SECONDS: Final = 2.0
#: Time after which a replica without fresh state is left for another, as a share of the time in
#: which a document must be in force.  The remaining time is for reaching the other one.
FRESHNESS_TIMEOUT_SHARE: Final = 0.4
#: Seconds after which a replica is left that has sent no fresh state on a stream yet.  With two of
#: five replicas partitioned, the second or third choice must still be reached in time.
INITIAL_FRESHNESS_SECONDS: Final = 0.2
#: Mean delay before the next replica is tried, in seconds.
RECONNECT_SECONDS: Final = 0.05
#: Largest age of the state that an entry without routes accepts, in seconds.
MAX_INITIAL_STATE_AGE: Final = 1.0
#: Most addresses of control replicas that are kept.
MAX_ADDRESSES: Final = 12


class ControlFollower:
    """Keeps a view of the fleet current by following a control replica.

    Args:
        settings: settings of the box.
        holder: identity of this process.
        view: the view to update.
        context: TLS context for connections to other boxes, or None.
        on_control: called with the addresses of the control replicas when a replica lists them.
    """

    def __init__(
        self,
        settings: BoxSettings,
        holder: Holder,
        view: FleetView,
        context: ssl.SSLContext | None,
        on_control: Callable[[tuple[str, ...]], None] = lambda _: None,
    ) -> None:
        self._on_control: Final = on_control
        gateway = settings.gateway
        self._settings: Final = settings
        self._holder: Final = holder
        #: Capacity of the box, in cores; 0 if unknown.
        self.capacity = _find_cores(settings)
        self._is_overloaded = False
        self._unreached: tuple[str, ...] = ()
        self._view: Final = view
        self._context: Final = context
        self._freshness_timeout: Final = FRESHNESS_TIMEOUT_SHARE * (
            gateway.apply_seconds if gateway else 2.0
        )
        self._addresses: list[str] = list(settings.control)
        self._started_at: Final = time.time()
        self._is_draining = False
        self._is_stopped = False
        self._buffered: list[FollowUpdate] = []
        self._report_due: Final = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start following."""
        self._task = start_task(self._run(), "following control")

    async def stop(self) -> None:
        """Stop following."""
        # The library may replace a cancellation by the error of a stream that breaks at the same
        # moment, so a flag ends the loop as well.
        self._is_stopped = True
        if self._task is not None:
            await stop_task(self._task)

    def announce_draining(self) -> None:
        """Report to control that this box accepts no new requests."""
        self._is_draining = True
        self._report_due.set()

    def apply_settings(self, settings: BoxSettings) -> None:
        """Add the control addresses of reloaded settings, and report a changed capacity."""
        self._add_addresses(settings.control)
        capacity = _find_cores(settings)
        if capacity != self.capacity:
            _LOG.info("capacity changed", extra={"before": self.capacity, "cores": capacity})
            self.capacity = capacity
            self._report_due.set()

    def report_overload(self, *, is_overloaded: bool) -> None:
        """Report to control whether this box is overloaded."""
        self._is_overloaded = is_overloaded
        self._report_due.set()

    def report_unreached(self, services: tuple[str, ...]) -> None:
        """Report to control the services whose targets this box does not reach."""
        if services != self._unreached:
            self._unreached = services
            self._report_due.set()

    async def _run(self) -> None:
        last = ""
        while not self._is_stopped:
            address = self._choose(last)
            last = address
            try:
                await self._follow(address)
                fault = "no fresh state from the replica"
            except (TimeoutError, *CALL_ERRORS) as error:
                fault = str(error) or type(error).__name__
            _LOG.warning("lost contact with control", extra={"address": address, "fault": fault})
            await asyncio.sleep(RECONNECT_SECONDS * random.uniform(0.5, 1.5))

    def _choose(self, last: str) -> str:
        others = [address for address in self._addresses if address != last]
        return random.choice(others or self._addresses)

    def _add_addresses(self, addresses: tuple[str, ...]) -> None:
        self._on_control(addresses)
        later = [address for address in self._addresses if address not in addresses]
        self._addresses = [*addresses, *later][:MAX_ADDRESSES]

    async def _follow(self, address: str) -> None:
        """Follow a replica until its state is stale."""
        channel = open_channel(address, self._context)
        try:
            async with FOLLOW.stream(channel).open() as stream:
                await stream.send_message(self._report())
                reporter = asyncio.create_task(self._send_reports(stream))
                try:
                    await self._take_updates(stream, address)
                finally:
                    await stop_task(reporter)
        finally:
            channel.close()

    async def _take_updates(self, stream: Stream[FollowReport, FollowUpdate], address: str) -> None:
        loop = asyncio.get_running_loop()
        self._buffered = []
        fresh_at = loop.time()
        was_fresh = False
        while True:
            update = await asyncio.wait_for(stream.recv_message(), self._freshness_timeout)
            if update is None:
                return
            now = loop.time()
            age = update.state_age
            if update.control:
                self._add_addresses(update.control)
            if age is not None and age <= self._freshness_timeout:
                if not was_fresh:
                    _LOG.info("following control", extra={"address": address, "age": age})
                was_fresh = True
                fresh_at = now
                self._view.steady_versions.confirm(now - age)
            self._apply(update, is_fresh=age is not None and age <= MAX_INITIAL_STATE_AGE)
            if now - fresh_at > (
                self._freshness_timeout if was_fresh else INITIAL_FRESHNESS_SECONDS
            ):
                return

    def _apply(self, update: FollowUpdate, *, is_fresh: bool) -> None:
        """Apply an update; an entry without routes waits for a fresh one.

        Earlier updates are buffered until then, since a replica sends each change once.
        """
        self._buffered.append(update)
        if self._view.table is None and not is_fresh:
            return
        buffered, self._buffered = self._buffered, []
        for earlier in buffered:
            self._apply_to_view(earlier)

    def _apply_to_view(self, update: FollowUpdate) -> None:
        if update.steady_versions is not None:
            self._view.put_steady_versions(update.steady_versions)
        if update.targets is not None:
            self._view.put_targets(update.targets)
        if update.evacuations is not None:
            self._view.put_evacuations(update.evacuations)
        if update.quarantine is not None:
            self._view.quarantine.put(update.quarantine)
        if update.rate_limits is not None:
            self._view.limits.apply_list(update.rate_limits)
        if update.entries is not None:
            self._view.put_entries(update.entries)
        if update.document is not None:
            self._view.put_document(update.document)
            self._report_due.set()

    async def _send_reports(self, stream: Stream[FollowReport, FollowUpdate]) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._report_due.wait(), REPORT_SECONDS)
            self._report_due.clear()
            await stream.send_message(self._report())

    def _report(self) -> FollowReport:
        box = WatchReport(
            box=self._holder.box,
            incarnation=self._holder.incarnation,
            data_centre=self._settings.data_centre,
            version=self._view.version(),
            started_at=self._started_at,
            address=self._settings.internal_address,
            is_leaving=self._is_draining,
            capacity=self.capacity,
            is_overloaded=self._is_overloaded and self.capacity > 0,
            unreached=self._unreached,
        )
        return FollowReport(
            box=box,
            targets_revision=self._view.targets_revision,
            evacuations_revision=self._view.evacuations_revision,
            quarantine_revision=self._view.quarantine.newest.revision,
            rate_limits_revision=self._view.limits.revision,
        )


def _find_cores(settings: BoxSettings) -> float:
    """Return the capacity of the box, in cores; 0 if unknown."""
    return settings.capacity.cores if settings.capacity is not None else 0.0
