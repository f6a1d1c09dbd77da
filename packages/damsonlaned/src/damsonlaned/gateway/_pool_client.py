"""Ordering pieces from the owner of a pool, wherever it is."""

import asyncio
import itertools
import logging
import ssl
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from damsonlane.pools import PieceOrder, PieceResult
from damsonlane.ratelimit import SECOND_SHARE, RateWord
from damsonlane_rpc import PoolOrders
from damsonlaned.gateway._heard_waits import HeardWaits
from damsonlaned.gateway._owner_choice import OwnerChoice
from damsonlaned.gateway._owner_link import OwnerLink, TakePermits, TakePlacements
from damsonlaned.gateway._pool_owners import PoolOwners
from damsonlaned.gateway._view import FleetView

_LOG: Final = logging.getLogger(__name__)

#: Withdrawn orders that are remembered, so that a result that comes all the same is freed.
MOST_WITHDRAWN: Final = 4_096
#: Seconds after which all entries have heard of a change in their list: control tells
#: them at once, but for one that is just moving to another replica.
HEARD_LATER_SECONDS: Final = 0.3
#: Name under which this entry orders from itself.
_SELF: Final = "self"


@dataclass(frozen=True, kw_only=True)
class _Pending:
    """An order whose result is due."""

    #: Service whose targets make the piece.
    service: str
    #: The order as it was placed first, with its number.
    order: PieceOrder
    #: When that was, by the loop's clock.
    placed_at: float
    #: Takes the result.
    future: "asyncio.Future[PieceResult]"
    #: Called when a target has read the inputs.
    on_read: Callable[[], None]


class PoolClient:
    """Orders pieces for the requests of this entry.

    All entries choose the same owner for a pool, by rendezvous hashing over
    the entries that control lists.  An owner that dies or falls silent costs a
    second order of what it had, and nothing else.

    Args:
        view: lists the entries.
        owners: the pools that this entry owns.
        address: internal address of this entry.
        context: TLS context towards other boxes, or None.
    """

    def __init__(
        self,
        view: FleetView,
        owners: PoolOwners,
        address: str,
        context: ssl.SSLContext | None,
    ) -> None:
        self._view: Final = view
        self._choice: Final = OwnerChoice(view, address)
        self._owners: Final = owners
        self._address: Final = address
        self._context: Final = context
        self._numbers: Final = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._links: dict[str, OwnerLink] = {}
        self._withdrawn: dict[int, str] = {}
        self._waits: Final = HeardWaits()
        #: Takes engines for prompts, which come by the same streams.
        self.take_placements: TakePlacements = lambda _: None
        #: Takes permits, which come by the same streams.
        self.take_permits: TakePermits = lambda _: None
        view.limits.find_share = self._find_share
        view.on_entries(self._follow_entries)

    def order(
        self,
        service: str,
        orders: Sequence[PieceOrder],
        on_read: Callable[[int], None] = lambda _: None,
    ) -> "list[asyncio.Future[PieceResult]]":
        """Order pieces; the number of each order is given here.

        Args:
            service: the service whose targets make them.
            orders: what to make.
            on_read: called with the index of a piece once a target has read its inputs,
                which may be given up then.

        Returns:
            A future for each piece, in order.  Cancelling one withdraws its order.
        """
        placed = [
            self._note_order(service, order, partial(on_read, index))
            for index, order in enumerate(orders)
        ]
        self._place(service, placed)
        return [pending.future for pending in placed]

    def free(self, service: str, handles: Sequence[str]) -> None:
        """Give results up."""
        owner = self.find_owner(service)
        if owner == self._address:
            self._owners.get(service).free(handles)
        else:
            self._link(owner).send(PoolOrders(service=service, freed=tuple(handles)))

    def wait_seconds(self, service: str, rank: int) -> float:
        """Return how long a piece of a rank would wait for its turn in a pool, as last heard."""
        return self._waits.seconds(service, rank, asyncio.get_running_loop().time())

    def has_queue(self, service: str) -> bool:
        """Tell whether pieces of any rank wait for their turn in a pool, as last heard."""
        return self._waits.has_queue(service, asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """Close the streams to other entries."""
        links = [link.stop() for link in self._links.values()]
        await asyncio.gather(*links, return_exceptions=True)

    def _note_order(self, service: str, order: PieceOrder, on_read: Callable[[], None]) -> _Pending:
        """Give an order its number and keep it until its result comes."""
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        future: asyncio.Future[PieceResult] = loop.create_future()
        future.add_done_callback(partial(self._withdraw, number))
        pending = _Pending(
            service=service,
            order=replace(order, number=number),
            placed_at=loop.time(),
            future=future,
            on_read=on_read,
        )
        self._pending[number] = pending
        return pending

    # Owners.

    def find_owner(self, service: str) -> str:
        """Return the address of the entry that owns the targets of a service."""
        return self._choice.find_owner(service)

    def find_owners(self, service: str) -> tuple[str, ...]:
        """Return the address of the owner of a service, and of the next one without it."""
        first = self._choice.find_owner(service)
        second = self._choice.find_owner(service, avoid=first)
        return (first,) if second == first else (first, second)

    def _find_share(self, service: str) -> float:
        """Return the part of its targets' rates that this entry issues."""
        return 1.0 if self._choice.is_listed_owner(service) else SECOND_SHARE

    def send(self, owner: str, message: PoolOrders) -> None:
        """Send a message to an owner, with the rate limits that its targets named.

        An owner that has just begun may not know them, and would send too much there.
        """
        words = (*message.words, *self._list_words(message.service))
        self._link(owner).send(replace(message, words=words) if words else message)

    def _list_words(self, service: str) -> list[RateWord]:
        limited = self._view.list_limited(service).values()
        return [word for word in self._view.limits.list_words() if word.named in limited]

    def _follow_entries(self) -> None:
        """Hand over the pools that another entry owns now.

        It is looked at twice, since other entries hear of it a little later and
        may order here until then.
        """
        self._hand_over()
        asyncio.get_running_loop().call_later(HEARD_LATER_SECONDS, self._hand_over)

    def _hand_over(self) -> None:
        for service in self._owners.services():
            if self.find_owner(service) != self._address:
                self._owners.get(service).hand_over()

    def _place(self, service: str, placed: Sequence[_Pending]) -> None:
        """Send orders to the owner of their pool, with the time that they have left."""
        owner = self.find_owner(service)
        now = asyncio.get_running_loop().time()
        orders = tuple(_age(pending, now) for pending in placed)
        if owner == self._address:
            pool = self._owners.get(service)
            pool.attach(_SELF, self)
            pool.order(_SELF, orders)
        else:
            self.send(owner, PoolOrders(service=service, orders=orders))

    def _link(self, owner: str) -> OwnerLink:
        if owner not in self._links:
            self._links[owner] = OwnerLink(
                owner,
                self._context,
                self.take,
                self.take_read,
                lambda placements: self.take_placements(placements),
                lambda permits: self.take_permits(permits),
                self.lose_owner,
            )
        return self._links[owner]

    # What links tell.

    def take(self, results: Sequence[PieceResult]) -> None:
        """Take results; those that nobody waits for any more are freed."""
        for result in results:
            if result.is_returned:
                self._place_again(result.number)
                continue
            self._note_wait(result)
            pending = self._pending.pop(result.number, None)
            if pending is not None and not pending.future.done():
                pending.future.set_result(result)
                continue
            service = self._withdrawn.pop(result.number, "")
            if service and result.handle:
                self.free(service, (result.handle,))

    def _place_again(self, number: int) -> None:
        """Order elsewhere what an owner returned."""
        pending = self._pending.get(number)
        if pending is not None:
            self._place(pending.service, [pending])

    def take_read(self, numbers: Sequence[int]) -> None:
        """Take the numbers of orders whose inputs were read."""
        for number in numbers:
            pending = self._pending.get(number)
            if pending is not None:
                pending.on_read()

    def lose_owner(self, owner: str, numbers: Sequence[int], fault: str) -> None:
        """Order again elsewhere what an owner did not deliver."""
        link = self._links.pop(owner, None)
        if link is None:
            return
        self._choice.suspect(owner)
        lost = [self._pending[number] for number in numbers if number in self._pending]
        _LOG.warning("lost pool owner", extra={"owner": owner, "fault": fault, "orders": len(lost)})
        for service in {pending.service for pending in lost}:
            self._place(service, [item for item in lost if item.service == service])

    def _note_wait(self, result: PieceResult) -> None:
        """Note what an owner said of its queue, if the piece is still waited for."""
        pending = self._pending.get(result.number)
        if pending is not None:
            now = asyncio.get_running_loop().time()
            self._waits.note(pending.service, pending.order.rank, result.wait_seconds, now)

    def _withdraw(self, number: int, done: "asyncio.Future[PieceResult]") -> None:
        """Withdraw an order whose future was cancelled before its result came."""
        pending = self._pending.pop(number, None)
        if pending is None or not done.cancelled():
            return
        service = pending.service
        self._withdrawn[number] = service
        if len(self._withdrawn) > MOST_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]
        for link in self._links.values():
            link.withdraw(service, number)
        owner = self.find_owner(service)
        if owner == self._address:
            self._owners.get(service).withdraw(_SELF, (number,))


def _age(pending: _Pending, now: float) -> PieceOrder:
    """Return an order as it stands now, some time after it was placed first."""
    passed = now - pending.placed_at
    return replace(
        pending.order,
        left_seconds=pending.order.left_seconds - passed,
        aim_left_seconds=pending.order.aim_left_seconds - passed,
        give_up_left_seconds=pending.order.give_up_left_seconds - passed,
    )
