"""Borrows connections from other entries while this one needs more than it has."""

import asyncio
import itertools
import logging
import secrets
import ssl
from typing import Final

from grpclib.client import Channel

from damsonlane.connections import LoanOrder
from damsonlane.membership import rank_boxes
from damsonlane_rpc import BORROW, CALL_ERRORS, LoanRequest, open_channel
from damsonlaned.connections._fleet_connections import Fleet, FleetConnections
from damsonlaned.tasks import start_task, stop_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between two decisions on what to borrow, while anything is needed or borrowed.
DECISION_SECONDS: Final = 0.05
#: Time-outs of a call and of a connection, in seconds: the event loop of a crowded box is late.
ANSWER_SECONDS: Final = 0.6
CONNECT_SECONDS: Final = 0.5


class LoanClient:
    """Asks other entries for connections.

    Args:
        connections: the connections of this box.
        fleet: lists the entries.
        address: internal address of this box.
        context: TLS context towards other boxes, or None.
    """

    def __init__(
        self,
        connections: FleetConnections,
        fleet: Fleet,
        address: str,
        context: ssl.SSLContext | None,
    ) -> None:
        self._connections: Final = connections
        self._fleet: Final = fleet
        self._address: Final = address
        self._context: Final = context
        self._identity: Final = f"{address}/{secrets.token_hex(6)}"
        self._numbers: Final = itertools.count(1)
        self._channels: Final[dict[str, Channel]] = {}
        self._calls: Final[set[asyncio.Task[None]]] = set()
        self._is_needed: Final = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        connections.on_need = self._is_needed.set

    def start(self) -> None:
        """Start borrowing."""
        self._task = start_task(self._run(), "borrowing connections")

    async def stop(self) -> None:
        """Stop borrowing and close the connections to other entries."""
        tasks = [*([self._task] if self._task is not None else []), *self._calls]
        await asyncio.gather(*(stop_task(task) for task in tasks))
        for channel in self._channels.values():
            channel.close()

    async def _run(self) -> None:
        while True:
            await self._is_needed.wait()
            self._is_needed.clear()
            while self._decide():
                await asyncio.sleep(DECISION_SECONDS)

    def _decide(self) -> bool:
        """Send the orders that are due; return whether to decide again soon."""
        needs = self._connections.find_needs()
        borrower = self._connections.borrower
        lenders = [entry.address for entry in self._fleet.entries if entry.address != self._address]
        weights = dict.fromkeys(lenders, 1.0)
        borrowed = borrower.list_targets()
        orders = borrower.plan(
            needs,
            lenders,
            lambda target: rank_boxes(target, weights),
            self._connections.find_spare,
            self._now(),
        )
        # What is returned must not be in use any more when the lender learns that.
        self._connections.apply_limits(borrowed)
        for order in orders:
            call = start_task(self._send(order), "borrowing connections from an entry")
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
        return bool(needs) or not borrower.is_idle() or self._connections.has_shortage()

    async def _send(self, order: LoanOrder) -> None:
        request = LoanRequest(
            borrower=self._identity, number=next(self._numbers), items=order.items
        )
        borrower = self._connections.borrower
        channel = self._find_channel(order.lender)
        asked_at = self._now()
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                reply = await BORROW.unary(channel)(request)
        except CALL_ERRORS as error:
            fields = {"to": order.lender, "fault": str(error) or type(error).__name__}
            _LOG.info("connections not borrowed", extra=fields)
            borrower.record_lost(order, self._now())
            self._drop_channel(order.lender, channel)
            return
        except asyncio.CancelledError:
            borrower.record_lost(order, self._now())
            raise
        borrower.record_answer(order, reply.items, asked_at, self._now())
        self._connections.apply_limits(item.target for item in reply.items)

    def _find_channel(self, address: str) -> Channel:
        if address not in self._channels:
            self._channels[address] = open_channel(address, self._context, CONNECT_SECONDS)
        return self._channels[address]

    def _drop_channel(self, address: str, channel: Channel) -> None:
        """Close a connection that failed, unless another one has replaced it."""
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.close()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
