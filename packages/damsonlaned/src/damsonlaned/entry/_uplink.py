"""The entry's side of control: settings, ledger and costs, on one asyncio loop."""

import asyncio
import concurrent.futures
import contextlib
import itertools
import logging
import random
import secrets
import ssl
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.burn import FINE_SECONDS, EndingCount
from damsonlane.cluster import Command, Reply
from damsonlane.costs import CostLine, CostsRecorded, RecordCosts
from damsonlane.errors import UnavailableError
from damsonlane.ledger import Holder, JobReply
from damsonlane.settings import BoxSettings
from damsonlane_rpc import (
    CALL_FAULTS,
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
from damsonlane_rpc import (
    SettingsView as SettingsReply,
)
from grpclib.client import Stream

from damsonlaned.entry._leaving import LeavingTargets
from damsonlaned.entry._view import SettingsView

_LOG: Final = logging.getLogger(__name__)

#: Seconds between reports of the version in force.
REPORT_SECONDS: Final = 2.0
#: Seconds without word after which another control replica is tried.
SILENCE_SECONDS: Final = 6.0
#: Seconds between questions to a peer.
PEER_SECONDS: Final = 2.0
#: Seconds between batches of cost lines.
COST_SECONDS: Final = 0.5
#: Most cost lines in one batch.
COSTS_PER_BATCH: Final = 2_000
#: Seconds to wait before control is asked again.
PAUSE_SECONDS: Final = 0.2
#: Seconds for which one question to control may take.
CALL_SECONDS: Final = 5.0


@dataclass(frozen=True, kw_only=True)
class _Asked:
    command: Command
    future: "asyncio.Future[Reply]"


class Uplink:
    """Keeps the settings in force current and carries commands to control.

    Args:
        settings: settings of the box.
        view: where newer settings are put in force.
        leaving: targets that are known to be leaving.
        context: TLS context towards other boxes, or None.
    """

    def __init__(
        self,
        settings: BoxSettings,
        view: SettingsView,
        leaving: LeavingTargets,
        context: ssl.SSLContext | None,
    ) -> None:
        self.incarnation: Final = secrets.token_hex(6)
        self.holder: Final = Holder(box=settings.name, incarnation=self.incarnation)
        self._settings: Final = settings
        self._view: Final = view
        self._leaving: Final = leaving
        self._context: Final = context
        self._client: Final = ControlClient(settings.control, context=context)
        self._loop: Final = asyncio.get_running_loop()
        self._asked: list[_Asked] = []
        self._flushes: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._costs: list[CostLine] = []
        self._endings: dict[str, EndingCount] = {}
        self._costs_lock = threading.Lock()
        self._batches = itertools.count(1)
        self._report_due = asyncio.Event()
        self._started_at: Final = time.time()
        self._told_peers: tuple[str, ...] = ()
        #: How many entries share the fleet's limits, as control last said.
        self.live_entries = 1
        self._is_stopping = False
        #: Whether this box is leaving; control hears it with the next report.
        self.is_leaving = False

    def start(self) -> None:
        """Start following control."""
        for work in (self._follow, self._send_costs, self._ask_peers):
            self._tasks.append(asyncio.create_task(work()))

    def announce_leaving(self) -> None:
        """Tell control that this box takes no new requests."""
        self.is_leaving = True
        self._report_due.set()

    async def stop(self) -> None:
        """Hand over what is left and stop."""
        self._is_stopping = True
        self._report_due.set()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._tasks[1], CALL_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    # Called from the threads that serve callers.

    def ask_ledger(self, command: Command, seconds: float) -> JobReply | None:
        """Have a job command committed; None when that is not known in time."""
        work = self._ask(command, seconds)
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            reply = future.result(timeout=max(0.0, seconds))
        except (concurrent.futures.TimeoutError, UnavailableError):
            future.cancel()
            return None
        return reply if isinstance(reply, JobReply) else None

    def add_costs(self, lines: Sequence[CostLine]) -> None:
        """Queue cost lines for control."""
        with self._costs_lock:
            self._costs.extend(lines)

    def count_ending(self, organisation: str, pipeline: str, *, is_attained: bool) -> None:
        """Count how a request ended, for control."""
        now = int(time.time())
        count = EndingCount(
            organisation=organisation,
            pipeline=pipeline,
            start=now - now % FINE_SECONDS,
            length=FINE_SECONDS,
            attained=int(is_attained),
            total=1,
        )
        name = f"{organisation}/{pipeline}/{count.start}"
        with self._costs_lock:
            known = self._endings.get(name)
            self._endings[name] = known.with_more(count) if known else count

    # Ledger.

    async def _ask(self, command: Command, seconds: float) -> Reply:
        """Send a command together with whatever else is asked in this turn of the loop."""
        future: asyncio.Future[Reply] = self._loop.create_future()
        if not self._asked:
            self._loop.call_soon(self._start_flush, seconds)
        self._asked.append(_Asked(command=command, future=future))
        return await asyncio.wait_for(future, seconds)

    def _start_flush(self, seconds: float) -> None:
        asked = self._asked
        self._asked = []
        task = self._loop.create_task(self._flush(asked, seconds))
        self._flushes.add(task)
        task.add_done_callback(self._flushes.discard)

    async def _flush(self, asked: Sequence[_Asked], seconds: float) -> None:
        try:
            replies = await self._client.submit([item.command for item in asked], seconds)
        except UnavailableError as error:
            for item in asked:
                if not item.future.done():
                    item.future.set_exception(error)
            return
        for item, reply in zip(asked, replies, strict=True):
            if not item.future.done():
                item.future.set_result(reply)

    # Settings.

    async def _follow(self) -> None:
        while True:
            try:
                await self._read_confirmed()
                await self._watch(random.choice(self._settings.control))
            except (UnavailableError, TimeoutError, *CALL_FAULTS) as error:
                _LOG.warning("lost control", extra={"fault": str(error) or type(error).__name__})
            await asyncio.sleep(PAUSE_SECONDS)

    async def _read_confirmed(self) -> None:
        reply = await self._client.query(QueryRequest(query=SettingsQuery()), CALL_SECONDS)
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
                    await self._take_updates(stream)
                finally:
                    reporter.cancel()
                    await asyncio.gather(reporter, return_exceptions=True)
        finally:
            channel.close()

    async def _take_updates(self, stream: Stream[WatchReport, WatchUpdate]) -> None:
        while True:
            update = await asyncio.wait_for(stream.recv_message(), SILENCE_SECONDS)
            if update is None or not update.is_current:
                return
            self._take_update(update)
            if update.version > self._view.current.version:
                # The changes did not fit, so the whole tree must be read again.
                return

    def _take_update(self, update: WatchUpdate) -> None:
        self.live_entries = max(1, update.live_entries)
        self._told_peers = update.peers
        self._take_settings(update)

    def _take_settings(self, update: WatchUpdate) -> None:
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
            box=self._settings.name,
            incarnation=self.incarnation,
            data_centre=self._settings.data_centre,
            version=self._view.current.version,
            started_at=self._started_at,
            address=self._settings.internal_address,
            is_leaving=self.is_leaving,
        )

    # Peers.

    async def _ask_peers(self) -> None:
        while True:
            await asyncio.sleep(PEER_SECONDS * random.uniform(0.75, 1.25))
            peers = set(self._settings.peers or self._told_peers)
            peers.discard(self._settings.internal_address)
            if peers and self._view.is_confirmed:
                await self._ask_peer(random.choice(sorted(peers)))

    async def _ask_peer(self, address: str) -> None:
        """Take newer settings from a peer and tell each other which targets are leaving."""
        channel = open_channel(address, self._context)
        request = PeerRequest(version=self._view.current.version, leaving=self._leaving.list())
        try:
            reply = await COMPARE.unary(channel)(request, timeout=PEER_SECONDS)
            if reply.update is not None:
                self._take_settings(reply.update)
            self._leaving.learn(reply.leaving)
        except CALL_FAULTS as error:
            _LOG.debug("peer does not answer", extra={"fault": str(error)})
        finally:
            channel.close()

    # Costs.

    async def _send_costs(self) -> None:
        while True:
            is_last = self._is_stopping
            with self._costs_lock:
                lines = tuple(self._costs[:COSTS_PER_BATCH])
                del self._costs[:COSTS_PER_BATCH]
                endings = tuple(self._endings.values())
                self._endings.clear()
            if lines or endings:
                await self._send_batch(next(self._batches), lines, endings)
            elif is_last:
                return
            else:
                await asyncio.sleep(COST_SECONDS)

    async def _send_batch(
        self, batch: int, lines: tuple[CostLine, ...], endings: tuple[EndingCount, ...]
    ) -> None:
        """Send a batch until control has recorded it; control counts each batch once."""
        sender = f"{self._settings.name}.{self.incarnation}"
        command = RecordCosts(sender=sender, batch=batch, lines=lines, endings=endings)
        while True:
            try:
                replies = await self._client.submit([command], CALL_SECONDS)
            except UnavailableError:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            if isinstance(replies[0], CostsRecorded) and replies[0].batch >= batch:
                return
