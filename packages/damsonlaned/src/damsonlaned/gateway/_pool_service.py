"""Serving as an owner of pools to other entries, by one stream from each."""

import asyncio
import contextlib
from collections.abc import Mapping, Sequence
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.placing import Placement
from damsonlane.pools import PieceResult
from damsonlane.ratelimit import Permit
from damsonlane_rpc import CALL_FAULTS, POOL, PoolOrders, PoolResults
from damsonlaned.gateway._placer import PromptPlacers
from damsonlaned.gateway._pool_owners import PoolOwners
from damsonlaned.gateway._rate_limits import RateLimits

#: Seconds between messages to an entry that waits for results, so that it can
#: tell a slow pool from an owner that is gone.
ALIVE_SECONDS: Final = 0.25


class PoolService:
    """Serves the streams of other entries.

    Args:
        owners: the pools that this entry owns.
        placers: the services that it places prompts of.
        limits: rate limits that targets named, and the permits that this entry issues.
    """

    def __init__(self, owners: PoolOwners, placers: PromptPlacers, limits: RateLimits) -> None:
        self._limits: Final = limits
        self._owners: Final = owners
        self._placers: Final = placers

    def handlers(self) -> Mapping[str, Handler]:
        """Return the calls that other entries make."""
        return {POOL.path: POOL.handler(self._exchange)}

    async def _exchange(self, stream: Stream[PoolOrders, PoolResults]) -> None:
        sender = f"stream-{id(stream)}"
        outgoing = _Outgoing()
        pushing = asyncio.create_task(outgoing.push(stream))
        try:
            async for message in stream:
                self._take(sender, message, outgoing)
        finally:
            self._owners.detach(sender)
            pushing.cancel()
            with contextlib.suppress(asyncio.CancelledError, *CALL_FAULTS):
                await pushing

    def _take(self, sender: str, message: PoolOrders, outgoing: "_Outgoing") -> None:
        limits = self._limits
        limits.learn(message.words)
        outgoing.take_permits(limits.issue(message.service, message.permits))
        placer = self._placers.find(message.service)
        if placer is None:
            if message.orders or message.freed or message.withdrawn:
                self._take_pieces(sender, message, outgoing)
            return
        placer.note_reads(sender, message.reads)
        outgoing.take_placements(placer.place(sender, message.prompts))

    def _take_pieces(self, sender: str, message: PoolOrders, outgoing: "_Outgoing") -> None:
        owner = self._owners.get(message.service)
        owner.attach(sender, outgoing)
        outgoing.due.update(order.number for order in message.orders)
        if message.freed:
            owner.free(message.freed)
        if message.withdrawn:
            owner.withdraw(sender, message.withdrawn)
            outgoing.due.difference_update(message.withdrawn)
        if message.orders:
            owner.order(sender, message.orders)


class _Outgoing:
    """Results on their way to one entry, sent together when several are there."""

    def __init__(self) -> None:
        self._results: list[PieceResult] = []
        self._read: list[int] = []
        self._placements: list[Placement] = []
        self._permits: list[Permit] = []
        self._has_more = asyncio.Event()
        #: Numbers of the orders whose results the entry waits for.
        self.due: set[int] = set()

    def take_read(self, numbers: Sequence[int]) -> None:
        """Queue the numbers of orders whose inputs were read."""
        self._read.extend(numbers)
        self._has_more.set()

    def take(self, results: Sequence[PieceResult]) -> None:
        """Queue results."""
        self._results.extend(results)
        self.due.difference_update(result.number for result in results)
        self._has_more.set()

    def take_placements(self, placements: Sequence[Placement]) -> None:
        """Queue engines for prompts."""
        self._placements.extend(placements)
        self._has_more.set()

    def take_permits(self, permits: Sequence[Permit]) -> None:
        """Queue permits."""
        if permits:
            self._permits.extend(permits)
            self._has_more.set()

    async def push(self, stream: Stream[PoolOrders, PoolResults]) -> None:
        """Send until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._has_more.wait(), ALIVE_SECONDS)
            self._has_more.clear()
            results, self._results = tuple(self._results), []
            read, self._read = tuple(self._read), []
            placements, self._placements = tuple(self._placements), []
            permits, self._permits = tuple(self._permits), []
            if results or read or placements or permits or self.due:
                await stream.send_message(
                    PoolResults(results=results, read=read, placements=placements, permits=permits)
                )
