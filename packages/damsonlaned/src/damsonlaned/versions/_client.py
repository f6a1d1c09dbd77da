"""Tells other boxes and control replicas of the origins of streams, and asks them."""

import asyncio
import logging
import math
import ssl
from collections.abc import Callable, Sequence
from typing import Final

from grpclib.client import Channel

from damsonlane.records import dataclass
from damsonlane.versions import REPLICA_COPIES, HolderRanking, ReplicaRanking, StreamOrigin
from damsonlane_rpc import (
    CALL_ERRORS,
    FIND_ORIGIN,
    RECORD_ORIGINS,
    OriginBatch,
    OriginQuery,
    open_channel,
)
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Other boxes that are told of each stream: at least half of the origins survive when all boxes of
#: eight but one are killed at once.
COPIES: Final = 4
#: Positions of boxes that are told instead, in the order of a stream, if some can't be reached.
MAX_POSITION: Final = 12
#: Boxes that are asked first: the copies, and others in case the lists of boxes differ.
FIRST_ASKED: Final = 6
#: Rounds of questions; the later ones go to all holders, and to the control replicas.
ROUNDS: Final = 2
#: Seconds between them: the message about a stream that has just begun may still be under way.
ROUND_PAUSE_SECONDS: Final = 0.03
#: Time-outs of both calls and of a connection, in seconds; boxes are a few milliseconds apart.
TELL_SECONDS: Final = 0.5
ASK_SECONDS: Final = 0.12
CONNECT_SECONDS: Final = 0.2


@dataclass(frozen=True, kw_only=True)
class FoundOrigin:
    """An origin that another box or a control replica knew."""

    #: The origin.
    origin: StreamOrigin
    #: Whether a control replica knew it.
    is_from_control: bool


@dataclass(frozen=True, kw_only=True)
class _Tell:
    """An origin to send."""

    origin: StreamOrigin
    #: Addresses to which it is sent instead, one after the other, while it can't be delivered.
    others: tuple[str, ...]


class OriginClient:
    """Tells and asks the boxes and control replicas that hold origins.

    Args:
        ranking: ranks the boxes for each stream.
        replicas: ranks the control replicas.
        context: TLS context towards other boxes, or None.
        find_retention: returns for how long origins are remembered, in seconds.
        count_boxes: returns how many boxes tell the control replicas.
    """

    def __init__(
        self,
        ranking: HolderRanking,
        replicas: ReplicaRanking,
        context: ssl.SSLContext | None,
        find_retention: Callable[[], float],
        count_boxes: Callable[[], int],
    ) -> None:
        self._ranking: Final = ranking
        self._replicas: Final = replicas
        self._context: Final = context
        self._find_retention: Final = find_retention
        self._count_boxes: Final = count_boxes
        self._channels: dict[str, Channel] = {}
        self._outgoing: dict[str, list[_Tell]] = {}
        #: When the last message to a control replica was sent, by the loop's clock.
        self._sent_at: dict[str, float] = {}
        self._senders: dict[str, asyncio.Task[None]] = {}

    def tell(self, origin: StreamOrigin) -> None:
        """Send an origin to its holders without waiting for them."""
        self._send_copies(origin, self._ranking.rank(origin.attempt)[:MAX_POSITION], COPIES)
        self._send_copies(origin, self._replicas.rank(), REPLICA_COPIES)

    async def find(self, attempt: str, *, is_needed: bool = True) -> FoundOrigin | None:
        """Return the origin of a stream; None if nobody who answers knows it.

        Args:
            attempt: id of the caller's attempt that brought its first event.
            is_needed: whether all holders are asked if the first ones don't know it.
        """
        holders = self._ranking.rank(attempt)
        found = await self._ask(holders[:FIRST_ASKED], attempt)
        if found is not None or not is_needed:
            return found
        for _ in range(ROUNDS - 1):
            await asyncio.sleep(ROUND_PAUSE_SECONDS)
            found = await self._ask([*holders, *self._replicas.rank()], attempt)
            if found is not None:
                return found
        return None

    async def stop(self) -> None:
        """Stop sending and close the connections."""
        senders = list(self._senders.values())
        for task in senders:
            task.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        for channel in self._channels.values():
            channel.close()

    async def _ask(self, addresses: Sequence[str], attempt: str) -> FoundOrigin | None:
        """Ask boxes at the same time; return the first origin that one of them knows."""
        tasks = [asyncio.create_task(self._ask_one(address, attempt)) for address in addresses]
        try:
            for earliest in asyncio.as_completed(tasks):
                if (found := await earliest) is not None:
                    return found
            return None
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask_one(self, address: str, attempt: str) -> FoundOrigin | None:
        channel = self._find_channel(address)
        try:
            async with asyncio.timeout(ASK_SECONDS):
                reply = await FIND_ORIGIN.unary(channel)(OriginQuery(attempt=attempt))
        except CALL_ERRORS as error:
            fields = {"to": address, "attempt": attempt, "fault": _describe(error)}
            _LOG.info("question for an origin failed", extra=fields)
            self._drop_channel(address, channel)
            return None
        if reply.origin is None:
            return None
        is_from_control = address in self._replicas.rank()
        return FoundOrigin(origin=reply.origin, is_from_control=is_from_control)

    def _send_copies(self, origin: StreamOrigin, addresses: Sequence[str], copies: int) -> None:
        """Send an origin to the first of some addresses; each has others that may replace it."""
        for position in range(min(copies, len(addresses))):
            address, *others = addresses[position::copies]
            self._send_to(address, _Tell(origin=origin, others=tuple(others)))

    def _send_to(self, address: str, tell: _Tell) -> None:
        self._outgoing.setdefault(address, []).append(tell)
        if address not in self._senders:
            self._senders[address] = start_task(self._send_all(address), "telling origins")

    async def _send_all(self, address: str) -> None:
        try:
            await self._send(address)
        finally:
            del self._senders[address]

    async def _send(self, address: str) -> None:
        """Send what is queued for a box; what is queued meanwhile goes into the next message."""
        while address in self._outgoing:
            if address in self._replicas.rank():
                await self._collect(address)
            tells = self._outgoing.pop(address)
            channel = self._find_channel(address)
            batch = OriginBatch(
                origins=tuple(tell.origin for tell in tells),
                retention_seconds=self._find_retention(),
            )
            try:
                async with asyncio.timeout(TELL_SECONDS):
                    await RECORD_ORIGINS.unary(channel)(batch)
            except CALL_ERRORS as error:
                fields = {"to": address, "count": len(tells), "fault": _describe(error)}
                _LOG.info("origins not told", extra=fields)
                self._drop_channel(address, channel)
                for tell in tells:
                    self._tell_next(tell)

    async def _collect(self, address: str) -> None:
        """Wait until the next message may be sent to a control replica."""
        loop = asyncio.get_running_loop()
        since_last = loop.time() - self._sent_at.get(address, -math.inf)
        seconds = self._replicas.find_collect_seconds(self._count_boxes(), since_last)
        await asyncio.sleep(seconds)
        self._sent_at[address] = loop.time()

    def _tell_next(self, tell: _Tell) -> None:
        """Send an origin to the next address, in place of one that did not take it."""
        if tell.others:
            address, *others = tell.others
            self._send_to(address, _Tell(origin=tell.origin, others=tuple(others)))

    def _find_channel(self, address: str) -> Channel:
        if address not in self._channels:
            self._channels[address] = open_channel(address, self._context, CONNECT_SECONDS)
        return self._channels[address]

    def _drop_channel(self, address: str, channel: Channel) -> None:
        """Close a connection that failed, unless another one has replaced it."""
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.close()


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
