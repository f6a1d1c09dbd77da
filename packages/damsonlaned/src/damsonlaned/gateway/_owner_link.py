"""The stream from one entry to the owner of pools at another."""

import asyncio
import ssl
from collections.abc import Callable, Sequence
from typing import Final

from grpclib.client import Stream

from damsonlane.placing import Placement
from damsonlane.pools import PieceResult
from damsonlane.ratelimit import Permit
from damsonlane_rpc import CALL_FAULTS, POOL, PoolOrders, PoolResults, open_channel
from damsonlaned.tasks import start_task

#: Seconds without word from an owner, while results are due, after which its
#: orders go to another one.
SILENCE_SECONDS: Final = 0.8

#: Why a stream is lost that nothing broke.
_ENDED: Final = "the stream ended"

#: Takes results that came.
Take = Callable[[Sequence[PieceResult]], None]
#: Takes the numbers of orders whose inputs were read.
TakeRead = Callable[[Sequence[int]], None]
#: Takes engines for prompts.
TakePlacements = Callable[[Sequence[Placement]], None]
#: Takes permits.
TakePermits = Callable[[Sequence[Permit]], None]
#: Takes the owner's address, the numbers of the orders that are due, and why it is lost.
Lose = Callable[[str, Sequence[int], str], None]


class OwnerLink:
    """A stream to one owner, open until it breaks or the owner falls silent.

    Args:
        owner: internal address of the owner.
        context: TLS context towards other boxes, or None.
        take: called with results.
        take_read: called with the numbers of orders whose inputs were read.
        take_placements: called with engines for prompts.
        take_permits: called with permits.
        lose: called once the stream has ended.
    """

    def __init__(
        self,
        owner: str,
        context: ssl.SSLContext | None,
        take: Take,
        take_read: TakeRead,
        take_placements: TakePlacements,
        take_permits: TakePermits,
        lose: Lose,
    ) -> None:
        self._owner: Final = owner
        self._context: Final = context
        self._take: Final = take
        self._take_read: Final = take_read
        self._take_placements: Final = take_placements
        self._take_permits: Final = take_permits
        self._lose: Final = lose
        self._outgoing: list[PoolOrders] = []
        self._has_more: Final = asyncio.Event()
        self._due: set[int] = set()
        self._heard_at = asyncio.get_running_loop().time()
        self._task: Final = start_task(self._run(), "stream to a pool owner")

    def send(self, message: PoolOrders) -> None:
        """Queue a message."""
        if not self._due:
            self._heard_at = asyncio.get_running_loop().time()
        self._due.update(order.number for order in message.orders)
        self._outgoing.append(message)
        self._has_more.set()

    def withdraw(self, service: str, number: int) -> None:
        """Withdraw an order if it was placed here."""
        if number in self._due:
            self._due.discard(number)
            self.send(PoolOrders(service=service, withdrawn=(number,)))

    async def stop(self) -> None:
        """Close the stream."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        channel = open_channel(self._owner, self._context)
        fault = _ENDED
        try:
            async with POOL.stream(channel).open() as stream:
                await stream.send_request()
                await self._exchange(stream)
        except CALL_FAULTS as error:
            fault = str(error) or type(error).__name__
        finally:
            channel.close()
            self._lose(self._owner, tuple(self._due), fault)

    async def _exchange(self, stream: Stream[PoolOrders, PoolResults]) -> None:
        """Send and receive until one of them ends.

        A fault leaves by raising: at a quiet end the library waits for an
        answer, which a frozen owner never gives.
        """
        tasks = [
            asyncio.create_task(self._receive(stream)),
            asyncio.create_task(self._transmit(stream)),
            asyncio.create_task(self._watch()),
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
            self._heard_at = asyncio.get_running_loop().time()
            self._due.difference_update(result.number for result in message.results)
            self._take_read(message.read)
            self._take_placements(message.placements)
            self._take_permits(message.permits)
            self._take(message.results)

    async def _transmit(self, stream: Stream[PoolOrders, PoolResults]) -> None:
        while True:
            await self._has_more.wait()
            self._has_more.clear()
            outgoing, self._outgoing = self._outgoing, []
            for message in outgoing:
                await stream.send_message(message)

    async def _watch(self) -> None:
        """End when the owner falls silent while results are due."""
        while True:
            await asyncio.sleep(SILENCE_SECONDS / 4)
            now = asyncio.get_running_loop().time()
            if self._due and now - self._heard_at > SILENCE_SECONDS:
                raise TimeoutError("the owner fell silent")
