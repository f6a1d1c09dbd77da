"""Following one control replica, and moving to another when it is not fresh."""

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
    CALL_FAULTS,
    FOLLOW,
    FollowReport,
    FollowUpdate,
    WatchReport,
    open_channel,
)
from damsonlaned.gateway._view import FleetView
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between reports of what this entry holds.
REPORT_SECONDS: Final = 2.0
#: Share of the time in which a document must be in force after which a replica
#: that says nothing, or nothing fresh, is left for another: the rest is for
#: reaching that one.
PATIENCE_SHARE: Final = 0.4
#: Seconds after which a replica that was not fresh at all on a stream is left:
#: with two of five cut off, the second or third choice must still come in time.
FIRST_PATIENCE_SECONDS: Final = 0.2
#: Seconds between attempts.
PAUSE_SECONDS: Final = 0.05
#: State older than this many seconds is not taken by an entry that holds none.
FIRST_STATE_AGE: Final = 1.0
#: Addresses of control replicas that are remembered.
MOST_ADDRESSES: Final = 12


class FleetLink:
    """Keeps a view current.

    Args:
        settings: settings of the box.
        holder: this process.
        view: what is kept current.
        context: TLS context towards other boxes, or None.
        on_control: told the addresses of the control replicas whenever a replica names them.
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
        self._view: Final = view
        self._context: Final = context
        self._patience: Final = PATIENCE_SHARE * (gateway.apply_seconds if gateway else 2.0)
        self._addresses: list[str] = list(settings.control)
        self._started_at: Final = time.time()
        self._is_leaving = False
        self._is_stopped = False
        self._held: list[FollowUpdate] = []
        self._report_due: Final = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start following."""
        self._task = start_task(self._run(), "following control")

    async def stop(self) -> None:
        """Stop following."""
        # The library may turn a cancellation into the fault of a stream that breaks
        # at the same moment, so the task is told in another way too.
        self._is_stopped = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def announce_leaving(self) -> None:
        """Tell control that this box takes no new requests."""
        self._is_leaving = True
        self._report_due.set()

    def replace_seeds(self, addresses: tuple[str, ...]) -> None:
        """Learn addresses that the settings now name."""
        self._learn(addresses)

    async def _run(self) -> None:
        last = ""
        while not self._is_stopped:
            address = self._choose(last)
            last = address
            try:
                await self._follow(address)
                fault = "not fresh"
            except (TimeoutError, *CALL_FAULTS) as error:
                fault = str(error) or type(error).__name__
            _LOG.warning("lost control", extra={"address": address, "fault": fault})
            await asyncio.sleep(PAUSE_SECONDS * random.uniform(0.5, 1.5))

    def _choose(self, last: str) -> str:
        others = [address for address in self._addresses if address != last]
        return random.choice(others or self._addresses)

    def _learn(self, addresses: tuple[str, ...]) -> None:
        self._on_control(addresses)
        later = [address for address in self._addresses if address not in addresses]
        self._addresses = [*addresses, *later][:MOST_ADDRESSES]

    async def _follow(self, address: str) -> None:
        """Follow a replica until it is not fresh any more."""
        channel = open_channel(address, self._context)
        try:
            async with FOLLOW.stream(channel).open() as stream:
                await stream.send_message(self._report())
                reporter = asyncio.create_task(self._send_reports(stream))
                try:
                    await self._take_updates(stream, address)
                finally:
                    reporter.cancel()
                    await asyncio.gather(reporter, return_exceptions=True)
        finally:
            channel.close()

    async def _take_updates(self, stream: Stream[FollowReport, FollowUpdate], address: str) -> None:
        loop = asyncio.get_running_loop()
        self._held = []
        fresh_at = loop.time()
        was_fresh = False
        while True:
            update = await asyncio.wait_for(stream.recv_message(), self._patience)
            if update is None:
                return
            now = loop.time()
            age = update.state_age
            if update.control:
                self._learn(update.control)
            if age is not None and age <= self._patience:
                if not was_fresh:
                    _LOG.info("following control", extra={"address": address, "age": age})
                was_fresh = True
                fresh_at = now
            self._take(update, is_fresh=age is not None and age <= FIRST_STATE_AGE)
            if now - fresh_at > (self._patience if was_fresh else FIRST_PATIENCE_SECONDS):
                return

    def _take(self, update: FollowUpdate, *, is_fresh: bool) -> None:
        """Take what is newer; an entry that holds nothing takes only what is fresh.

        What came before is kept until then: a replica tells each thing once.
        """
        self._held.append(update)
        if self._view.table is None and not is_fresh:
            return
        held, self._held = self._held, []
        for earlier in held:
            self._put(earlier)

    def _put(self, update: FollowUpdate) -> None:
        if update.targets is not None:
            self._view.put_targets(update.targets)
        if update.evacuations is not None:
            self._view.put_evacuations(update.evacuations)
        if update.quarantine is not None:
            self._view.quarantine.put(update.quarantine)
        if update.rate_limits is not None:
            self._view.limits.put(update.rate_limits)
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
            is_leaving=self._is_leaving,
        )
        return FollowReport(
            box=box,
            targets_revision=self._view.targets_revision,
            evacuations_revision=self._view.evacuations_revision,
            quarantine_revision=self._view.quarantine.newest.revision,
            rate_limits_revision=self._view.limits.revision,
        )
