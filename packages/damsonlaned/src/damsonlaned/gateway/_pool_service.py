"""Serves other entries as an owner of pools, over one stream from each."""

import asyncio
import contextlib
from collections.abc import Mapping, Sequence
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.placement import Placement
from damsonlane.pools import PieceOrder, PieceResult
from damsonlane.ratelimit import Permit
from damsonlane_rpc import CALL_ERRORS, POOL, PoolOrders, PoolResults
from damsonlaned.gateway._pool_owners import PoolOwners
from damsonlaned.gateway._prompt_placer import PromptPlacers
from damsonlaned.gateway._rate_limits import RateLimits

#: Seconds between messages to an entry that awaits results, so that it can tell a
#: slow pool from an owner that has failed.
KEEPALIVE_SECONDS: Final = 0.25


class PoolService:
    """Serves the streams of other entries.

    Args:
        owners: the pools that this entry owns.
        placers: place the prompts of the services that this entry owns.
        limits: the announced rate limits, and the permits that this entry issues.
    """

    def __init__(self, owners: PoolOwners, placers: PromptPlacers, limits: RateLimits) -> None:
        self._limits: Final = limits
        self._owners: Final = owners
        self._placers: Final = placers

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of the calls from other entries."""
        return {POOL.path: POOL.handler(self._exchange)}

    async def _exchange(self, stream: Stream[PoolOrders, PoolResults]) -> None:
        sender = f"stream-{id(stream)}"
        outgoing = _SendBuffer()
        push_task = asyncio.create_task(outgoing.push(stream))
        try:
            async for message in stream:
                self._process(sender, message, outgoing)
        finally:
            self._owners.detach(sender)
            push_task.cancel()
            with contextlib.suppress(asyncio.CancelledError, *CALL_ERRORS):
                await push_task

    def _process(self, sender: str, message: PoolOrders, outgoing: "_SendBuffer") -> None:
        limits = self._limits
        limits.merge_reports(message.words)
        outgoing.add_permits(limits.issue(message.service, message.permits))
        placer = self._placers.find(message.service)
        if placer is None:
            if message.orders or message.freed or message.withdrawn:
                self._process_pieces(sender, message, outgoing)
            return
        placer.record_reads(sender, message.reads)
        outgoing.add_placements(placer.place(sender, message.prompts))

    def _process_pieces(self, sender: str, message: PoolOrders, outgoing: "_SendBuffer") -> None:
        owner = self._owners.get(message.service, message.shard)
        owner.attach(sender, outgoing)
        outgoing.await_orders(message.orders)
        if message.freed:
            owner.free(message.freed)
        if message.withdrawn:
            owner.withdraw(sender, message.withdrawn)
            outgoing.awaited.difference_update(message.withdrawn)
        if message.orders:
            owner.order(sender, message.orders)


class _SendBuffer:
    """Buffers what is sent to one entry, and sends all that is queued in one message."""

    def __init__(self) -> None:
        self._results: list[PieceResult] = []
        self._read: list[int] = []
        self._placements: list[Placement] = []
        self._permits: list[Permit] = []
        self._has_more = asyncio.Event()
        #: Numbers of the orders whose results the entry awaits.
        self.awaited: set[int] = set()

    def await_orders(self, orders: Sequence[PieceOrder]) -> None:
        """Send keepalives until the results of these orders are queued."""
        if orders and not self.awaited:
            # Starts the timer of keepalives, without a message.
            self._has_more.set()
        self.awaited.update(order.number for order in orders)

    def receive_reads(self, numbers: Sequence[int]) -> None:
        """Queue the numbers of orders whose inputs were read."""
        self._read.extend(numbers)
        self._has_more.set()

    def receive(self, results: Sequence[PieceResult]) -> None:
        """Queue results."""
        self._results.extend(results)
        self.awaited.difference_update(result.number for result in results)
        self._has_more.set()

    def add_placements(self, placements: Sequence[Placement]) -> None:
        """Queue placements of prompts."""
        self._placements.extend(placements)
        self._has_more.set()

    def add_permits(self, permits: Sequence[Permit]) -> None:
        """Queue permits."""
        if permits:
            self._permits.extend(permits)
            self._has_more.set()

    async def push(self, stream: Stream[PoolOrders, PoolResults]) -> None:
        """Send queued items and keepalives until cancelled."""
        while True:
            is_due = False
            try:
                # Without a time-out while nothing is awaited, so that idle streams cost nothing.
                timeout = KEEPALIVE_SECONDS if self.awaited else None
                await asyncio.wait_for(self._has_more.wait(), timeout)
            except TimeoutError:
                is_due = bool(self.awaited)
            self._has_more.clear()
            results, self._results = tuple(self._results), []
            read, self._read = tuple(self._read), []
            placements, self._placements = tuple(self._placements), []
            permits, self._permits = tuple(self._permits), []
            if results or read or placements or permits or is_due:
                await stream.send_message(
                    PoolResults(results=results, read=read, placements=placements, permits=permits)
                )
