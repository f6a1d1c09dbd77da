"""The stream from one entry to the owner of pools at another entry."""

import asyncio
import ssl
from collections.abc import Callable, Sequence
from typing import Final

from grpclib.client import Stream

from damsonlane.membership import CHECK_SECONDS, SILENCE_SECONDS, SilenceDetector
from damsonlane.placement import Placement
from damsonlane.pools import PieceResult
from damsonlane.ratelimit import Permit
from damsonlane.targets import Shard
from damsonlane_rpc import CALL_ERRORS, POOL, PoolOrders, PoolResults, open_channel
from damsonlaned.tasks import start_task, stop_task

#: Fault of a stream that ended without an error.
_STREAM_ENDED: Final = "the stream ended"

#: Called with results.
OnResults = Callable[[Sequence[PieceResult]], None]
#: Called with the numbers of orders whose inputs were read.
OnReads = Callable[[Sequence[int]], None]
#: Called with placements of prompts.
OnPlacements = Callable[[Sequence[Placement]], None]
#: Called with permits.
OnPermits = Callable[[Sequence[Permit]], None]
#: Called when a stream has ended: the stream, the numbers of the orders whose results are awaited,
#: and the fault.
OnLost = Callable[["OwnerLink", Sequence[int], str], None]
#: Called when an owner is silent: its stream, and the numbers of the same orders.
OnSilent = Callable[["OwnerLink", Sequence[int]], None]


class OwnerLink:
    """A stream to one owner, open until it breaks or is closed.

    Args:
        owner: internal address of the owner.
        context: TLS context towards other boxes, or None.
        on_results: called with results.
        on_reads: called with the numbers of orders whose inputs were read.
        on_placements: called with placements of prompts.
        on_permits: called with permits.
        on_lost: called once the stream has ended.
        on_silent: called once if the owner sends nothing while results are awaited.
        silence_seconds: least silence after which that is so, in seconds.
    """

    def __init__(
        self,
        owner: str,
        context: ssl.SSLContext | None,
        on_results: OnResults,
        on_reads: OnReads,
        on_placements: OnPlacements,
        on_permits: OnPermits,
        on_lost: OnLost,
        on_silent: OnSilent,
        silence_seconds: float = SILENCE_SECONDS,
    ) -> None:
        #: Internal address of the owner.
        self.owner: Final = owner
        self._context: Final = context
        self._on_results: Final = on_results
        self._on_reads: Final = on_reads
        self._on_placements: Final = on_placements
        self._on_permits: Final = on_permits
        self._on_lost: Final = on_lost
        self._on_silent: Final = on_silent
        self._outgoing: list[PoolOrders] = []
        self._has_more: Final = asyncio.Event()
        self._awaited: set[int] = set()
        #: Set while orders are awaited, so that an idle stream is not checked.
        self._is_awaiting: Final = asyncio.Event()
        now = asyncio.get_running_loop().time()
        self._silence_detector: Final = SilenceDetector(now, silence_seconds)
        self._task: Final = start_task(self._run(), "stream to a pool owner")

    def send(self, message: PoolOrders) -> None:
        """Queue a message."""
        if not self._awaited:
            self._silence_detector.restart(asyncio.get_running_loop().time())
        self._awaited.update(order.number for order in message.orders)
        if self._awaited:
            self._is_awaiting.set()
        self._outgoing.append(message)
        self._has_more.set()

    def is_awaiting(self) -> bool:
        """Return whether results are awaited."""
        return bool(self._awaited)

    def list_awaited(self) -> frozenset[int]:
        """Return the numbers of the orders whose results are awaited."""
        return frozenset(self._awaited)

    def withdraw(self, shard: Shard, number: int) -> None:
        """Withdraw an order if it was placed with this owner."""
        if number in self._awaited:
            self._awaited.discard(number)
            message = PoolOrders(service=shard.service, shard=shard.index, withdrawn=(number,))
            self.send(message)

    async def stop(self) -> None:
        """Close the stream."""
        await stop_task(self._task)

    async def _run(self) -> None:
        channel = open_channel(self.owner, self._context)
        fault = _STREAM_ENDED
        try:
            async with POOL.stream(channel).open() as stream:
                await stream.send_request()
                await self._exchange(stream)
        except CALL_ERRORS as error:
            fault = str(error) or type(error).__name__
        finally:
            channel.close()
            self._on_lost(self, tuple(self._awaited), fault)

    async def _exchange(self, stream: Stream[PoolOrders, PoolResults]) -> None:
        """Send and receive until either ends.

        Faults are raised: on a normal exit grpclib waits for an answer of the peer, which
        a frozen owner never sends.
        """
        tasks = [
            asyncio.create_task(self._receive(stream)),
            asyncio.create_task(self._transmit(stream)),
            asyncio.create_task(self._watch_for_silence()),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _receive(self, stream: Stream[PoolOrders, PoolResults]) -> None:
        while (message := await stream.recv_message()) is not None:
            self._silence_detector.record_message(asyncio.get_running_loop().time())
            self._awaited.difference_update(result.number for result in message.results)
            self._on_reads(message.read)
            self._on_placements(message.placements)
            self._on_permits(message.permits)
            self._on_results(message.results)

    async def _transmit(self, stream: Stream[PoolOrders, PoolResults]) -> None:
        while True:
            await self._has_more.wait()
            self._has_more.clear()
            outgoing, self._outgoing = self._outgoing, []
            for message in outgoing:
                await stream.send_message(message)

    async def _watch_for_silence(self) -> None:
        """Report once that the owner sends nothing while results are awaited."""
        is_reported = False
        while not is_reported:
            await self._is_awaiting.wait()
            await asyncio.sleep(CHECK_SECONDS)
            now = asyncio.get_running_loop().time()
            if not self._awaited:
                self._is_awaiting.clear()
            elif self._silence_detector.is_silent(now):
                is_reported = True
                self._on_silent(self, tuple(self._awaited))
        await asyncio.Event().wait()
