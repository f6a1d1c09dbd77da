"""Orders pieces from the owner of a pool, at this entry or another one."""

import asyncio
import itertools
import logging
import ssl
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from functools import partial
from typing import Final

from damsonlane.pools import OrderCopies, PieceOrder, PieceResult
from damsonlane.ratelimit import NON_OWNER_SHARE, RateLimitReport
from damsonlane.records import dataclass
from damsonlane.targets import Shard
from damsonlane_rpc import PoolOrders
from damsonlaned.gateway._owner_choice import OwnerChoice
from damsonlaned.gateway._owner_link import OnPermits, OnPlacements, OwnerLink
from damsonlaned.gateway._pool_owners import PoolOwners
from damsonlaned.gateway._reported_waits import ReportedWaits
from damsonlaned.gateway._shard_choice import ShardChoice
from damsonlaned.gateway._view import FleetView
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds within which every entry receives a change of the list of entries: control sends
#: it immediately, except to an entry that is just switching to another replica.
PROPAGATION_SECONDS: Final = 0.3
#: Sender name for orders of this entry to its own pools.
_SELF: Final = "self"


@dataclass(frozen=True, kw_only=True)
class _PendingOrder:
    """An order whose result is awaited."""

    #: Shard of the service whose targets compute the piece.
    shard: Shard
    #: The order as first placed, with its number.
    order: PieceOrder
    #: When it was first placed, by the loop's clock.
    placed_at: float
    #: Resolved with the result.
    future: "asyncio.Future[PieceResult]"
    #: Called once a target has read the inputs.
    on_read: Callable[[], None]


class PoolClient:
    """Orders pieces for the requests of this entry.

    All entries choose the same owner for a shard of a pool, by rendezvous hashing
    over the entries that control lists. If an owner crashes, its outstanding orders
    are placed again with another owner; if it falls silent, or does not reach the
    targets any more, they are placed with another one as well, and the first result
    counts.

    Args:
        view: lists the entries.
        owners: the pools that this entry owns.
        address: internal address of this entry.
        context: TLS context towards other boxes, or None.
        find_address: returns the address of the target that holds a result, by its handle.
    """

    def __init__(
        self,
        view: FleetView,
        owners: PoolOwners,
        address: str,
        context: ssl.SSLContext | None,
        find_address: Callable[[str], str] = lambda _: "",
    ) -> None:
        self._view: Final = view
        self._find_address: Final = find_address
        self._choice: Final = OwnerChoice(view, address)
        self._owners: Final = owners
        self._address: Final = address
        self._context: Final = context
        self._numbers: Final = itertools.count(1)
        self._pending: dict[int, _PendingOrder] = {}
        self._links: dict[str, OwnerLink] = {}
        #: Streams to owners that fell silent, until nothing is awaited from them.
        self._silent_links: list[OwnerLink] = []
        self._copies: Final = OrderCopies()
        self._waits: Final = ReportedWaits()
        self._shards: Final = ShardChoice(view, self._waits)
        #: Called with the placements that arrive on the same streams.
        self.on_placements: OnPlacements = lambda _: None
        #: Called with the permits that arrive on the same streams.
        self.on_permits: OnPermits = lambda _: None
        view.limits.find_share = self._find_share
        view.on_entries(self._update_owners)
        view.on_change(self._hand_over_pools)

    def order(
        self,
        service: str,
        orders: Sequence[PieceOrder],
        on_read: Callable[[int], None] = lambda _: None,
    ) -> "list[asyncio.Future[PieceResult]]":
        """Order pieces; the number of each order is assigned here.

        Args:
            service: the service whose targets compute them.
            orders: the pieces to compute, all of one stage of a request.
            on_read: called with the index of a piece once a target has read its inputs,
                which may be freed from then on.

        Returns:
            A future for each piece, in order.  Cancelling one withdraws its order.
        """
        shard = self._choose_shard(service, orders[0]) if orders else Shard(service=service)
        placed = [
            self._register_order(shard, order, partial(on_read, index))
            for index, order in enumerate(orders)
        ]
        self._send_orders(shard, placed)
        return [pending.future for pending in placed]

    def free(self, service: str, handles: Sequence[str]) -> None:
        """Free results, by the owners of the targets that hold them."""
        by_shard: dict[Shard, list[str]] = {}
        for handle in handles:
            shard = self._view.find_shard_at(service, self._find_address(handle))
            by_shard.setdefault(shard, []).append(handle)
        for shard, held in by_shard.items():
            owner = self.find_owner(service, shard.index)
            if owner == self._address:
                self._owners.get(service, shard.index).free(held)
            else:
                message = PoolOrders(service=service, shard=shard.index, freed=tuple(held))
                self._find_link(owner).send(message)

    def wait_seconds(self, service: str, priority: int) -> float:
        """Return the remaining seconds of a pool's last reported queueing time for a priority."""
        return self._shards.estimate_wait_seconds(service, priority)

    def has_queue(self, service: str) -> bool:
        """Return whether pieces of any priority wait in a pool, by the last reports."""
        return self._waits.has_queue(service, asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """Close the streams to other entries."""
        links = [link.stop() for link in self._list_links()]
        await asyncio.gather(*links, return_exceptions=True)

    def _register_order(
        self, shard: Shard, order: PieceOrder, on_read: Callable[[], None]
    ) -> _PendingOrder:
        """Assign a number to an order and keep it until its result arrives."""
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        future: asyncio.Future[PieceResult] = loop.create_future()
        future.add_done_callback(partial(self._withdraw, number))
        pending = _PendingOrder(
            shard=shard,
            order=replace(order, number=number),
            placed_at=loop.time(),
            future=future,
            on_read=on_read,
        )
        self._pending[number] = pending
        return pending

    def _choose_shard(self, service: str, order: PieceOrder) -> Shard:
        """Return the shard for the stage of an order."""
        return self._shards.choose(service, order.rank, order.home)

    # Owners.

    def find_owner(self, service: str, index: int = 0) -> str:
        """Return the address of the entry that owns the targets of a shard of a service."""
        return self._choice.find_owner(Shard(service=service, index=index))

    def count_owned(self) -> int:
        """Return the number of shards that this entry owns by control's lists."""
        return len(self._choice.owned)

    def find_owners(self, service: str, index: int = 0) -> tuple[str, ...]:
        """Return the address of the owner of a shard, followed by that of its fallback."""
        shard = Shard(service=service, index=index)
        first = self._choice.find_owner(shard)
        second = self._choice.find_owner(shard, avoid=first)
        return (first,) if second == first else (first, second)

    def _find_share(self, service: str, target: str) -> float:
        """Return the share of a target's rate for which this entry issues permits."""
        shard = self._view.find_shard_of(service, target)
        return 1.0 if self._choice.is_listed_owner(shard) else NON_OWNER_SHARE

    def send(self, owner: str, message: PoolOrders) -> None:
        """Send a message to an owner, with the rate limits that its targets announced.

        An owner that has just started may not know them and would exceed them.
        """
        reports = (*message.words, *self._list_rate_reports(message.service))
        self._find_link(owner).send(replace(message, words=reports) if reports else message)

    def _list_rate_reports(self, service: str) -> list[RateLimitReport]:
        limited = self._view.list_rate_limited(service).values()
        return [report for report in self._view.limits.list_reports() if report.named in limited]

    def _update_owners(self) -> None:
        """Hand over the pools that another entry now owns.

        Checks twice, since other entries receive the new list a little later and may
        still order here until then.
        """
        self._replace_unreaching_owners()
        self._hand_over_pools()
        asyncio.get_running_loop().call_later(PROPAGATION_SECONDS, self._hand_over_pools)

    def _hand_over_pools(self) -> None:
        for shard in self._owners.shards():
            if self.find_owner(shard.service, shard.index) != self._address:
                self._owners.get(shard.service, shard.index).return_waiting()

    def _send_orders(self, shard: Shard, placed: Sequence[_PendingOrder]) -> None:
        """Send orders to the owner of their shard, with their remaining times."""
        owner = self.find_owner(shard.service, shard.index)
        now = asyncio.get_running_loop().time()
        orders = tuple(item.order.deduct_elapsed(now - item.placed_at) for item in placed)
        if owner == self._address:
            pool = self._owners.get(shard.service, shard.index)
            pool.attach(_SELF, self)
            pool.order(_SELF, orders)
        else:
            message = PoolOrders(service=shard.service, shard=shard.index, orders=orders)
            self.send(owner, message)

    def _find_link(self, owner: str) -> OwnerLink:
        if owner not in self._links:
            self._links[owner] = OwnerLink(
                owner,
                self._context,
                self.receive,
                self.receive_reads,
                lambda placements: self.on_placements(placements),
                lambda permits: self.on_permits(permits),
                self.handle_lost_link,
                self.handle_silent_link,
                self._choice.find_silence_seconds(),
            )
        return self._links[owner]

    # Callbacks of the links.

    def receive(self, results: Sequence[PieceResult]) -> None:
        """Receive results; those of withdrawn orders are freed.

        A fault counts only if no other owner has the order.
        """
        self._send_again([result.number for result in results if result.is_returned])
        for result in results:
            if result.is_returned:
                continue
            self._record_wait(result)
            if not result.handle and self._copies.remove(result.number):
                continue
            pending = self._pending.pop(result.number, None)
            if pending is not None and not pending.future.done():
                pending.future.set_result(result)
                self._withdraw_duplicates(pending)
                continue
            service = self._copies.take_withdrawn(result.number)
            if service and result.handle:
                self.free(service, (result.handle,))
        self._close_unused_links()

    def _withdraw_duplicates(self, pending: _PendingOrder) -> None:
        """Withdraw an answered order from the other owners that have it."""
        if self._copies.end(pending.order.number):
            self._withdraw_everywhere(pending)

    def _send_again(self, numbers: Sequence[int]) -> None:
        """Order again pieces that an owner returned, each stage from one shard."""
        returned = [
            self._pending[number]
            for number in numbers
            if number in self._pending and not self._copies.remove(number)
        ]
        stages: dict[tuple[str, int], list[_PendingOrder]] = {}
        for pending in returned:
            stages.setdefault((pending.order.request, pending.order.stage), []).append(pending)
        for stage in stages.values():
            shard = self._choose_shard(stage[0].shard.service, stage[0].order)
            moved = [replace(pending, shard=shard) for pending in stage]
            self._pending.update({pending.order.number: pending for pending in moved})
            self._send_orders(shard, moved)

    def receive_reads(self, numbers: Sequence[int]) -> None:
        """Receive the numbers of orders whose inputs were read."""
        for number in numbers:
            pending = self._pending.get(number)
            if pending is not None:
                pending.on_read()

    def handle_lost_link(self, link: OwnerLink, numbers: Sequence[int], fault: str) -> None:
        """Place the outstanding orders of a lost owner with another one."""
        if link in self._silent_links:
            self._silent_links.remove(link)
        elif self._links.get(link.owner) is link:
            del self._links[link.owner]
            self._choice.suspect(link.owner)
        else:
            return
        lost = [
            self._pending[number]
            for number in numbers
            if number in self._pending and not self._copies.remove(number)
        ]
        fields = {"owner": link.owner, "fault": fault, "orders": len(lost)}
        _LOG.warning("lost pool owner", extra=fields)
        for shard in {pending.shard for pending in lost}:
            self._send_orders(shard, [item for item in lost if item.shard == shard])

    def handle_silent_link(self, link: OwnerLink, numbers: Sequence[int]) -> None:
        """Place the outstanding orders of a silent owner with another one as well."""
        if self._links.get(link.owner) is not link:
            return
        del self._links[link.owner]
        self._silent_links.append(link)
        self._choice.suspect(link.owner, is_silent=True)
        awaited = [self._pending[number] for number in numbers if number in self._pending]
        moved = [item for item in awaited if self._choice.has_reaching_owner(item.shard)]
        fields = {"owner": link.owner, "orders": len(awaited), "moved": len(moved)}
        _LOG.warning("pool owner silent", extra=fields)
        self._place_as_well(moved)

    def _replace_unreaching_owners(self) -> None:
        """Place orders with another owner as well where theirs does not reach the targets.

        The same for orders of a silent owner that no other one could take before.
        """
        linked: set[int] = set()
        for link in self._list_links():
            numbers = link.list_awaited()
            linked |= numbers
            self._replace_unreaching(link.owner, numbers, is_silent=link in self._silent_links)
        self._replace_unreaching(self._address, self._pending.keys() - linked)

    def _replace_unreaching(
        self, owner: str, numbers: Collection[int], *, is_silent: bool = False
    ) -> None:
        moved = [
            item
            for number in sorted(numbers)
            if not self._copies.has_several(number)
            and (item := self._pending.get(number)) is not None
            and (is_silent or not self._choice.may_reach(owner, item.shard.service))
            and self._choice.has_reaching_owner(item.shard)
        ]
        if moved:
            fields = {"owner": owner, "orders": len(numbers), "moved": len(moved)}
            _LOG.warning("orders placed with another pool owner as well", extra=fields)
            self._place_as_well(moved)

    def _place_as_well(self, moved: Sequence[_PendingOrder]) -> None:
        """Place orders with the present owners of their shards beside those that have them."""
        for item in moved:
            self._copies.add(item.order.number)
        for shard in {item.shard for item in moved}:
            self._send_orders(shard, [item for item in moved if item.shard == shard])

    def _list_links(self) -> list[OwnerLink]:
        return [*self._links.values(), *self._silent_links]

    def _close_unused_links(self) -> None:
        """Close the streams to owners that were silent and have no order any more."""
        for link in [link for link in self._silent_links if not link.is_awaiting()]:
            self._silent_links.remove(link)
            start_task(link.stop(), "closing a stream to a pool owner")

    def _record_wait(self, result: PieceResult) -> None:
        """Record the reported queueing time, if the piece is still awaited."""
        pending = self._pending.get(result.number)
        if pending is not None:
            now = asyncio.get_running_loop().time()
            self._waits.record(pending.shard, pending.order.rank, result.wait_seconds, now)

    def _withdraw(self, number: int, done: "asyncio.Future[PieceResult]") -> None:
        """Withdraw an order whose future was cancelled before its result arrived."""
        pending = self._pending.pop(number, None)
        if pending is None or not done.cancelled():
            return
        self._copies.end(number)
        self._withdraw_everywhere(pending)
        self._close_unused_links()

    def _withdraw_everywhere(self, pending: _PendingOrder) -> None:
        """Withdraw an order from all owners that have it."""
        shard, number = pending.shard, pending.order.number
        self._copies.record_withdrawn(number, shard.service)
        for link in self._list_links():
            link.withdraw(shard, number)
        if self.find_owner(shard.service, shard.index) == self._address:
            self._owners.get(shard.service, shard.index).withdraw(_SELF, (number,))
