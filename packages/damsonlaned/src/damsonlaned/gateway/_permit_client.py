"""Requests permits from the owner of a service to send requests to rate-limited targets."""

import asyncio
import itertools
import logging
from collections.abc import Sequence
from typing import Final, Protocol

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit import Permit, PermitRequest, RateLimitReport
from damsonlane_rpc import PoolOrders
from damsonlaned.gateway._view import FleetView

_LOG: Final = logging.getLogger(__name__)

#: Timeout for an owner's answer, in seconds: boxes are a few milliseconds apart.
ANSWER_SECONDS: Final = 0.04
#: Seconds for which an owner that timed out is not asked again.
OWNER_BACKOFF_SECONDS: Final = 1.0


class PermitOwners(Protocol):
    """Reaches the owners of a service's targets."""

    def find_owners(self, service: str, index: int = 0) -> tuple[str, ...]:
        """Return the address of the owner of a shard, followed by that of its fallback, if any."""

    def send(self, owner: str, message: PoolOrders) -> None:
        """Send a message to a box."""


class PermitClient:
    """Requests permits, and reports to owners the rate limits that targets announced here.

    Args:
        view: holds the rate limits, and issues the permits of this box.
        owners: finds the owners and sends them messages.
        address: internal address of this entry.
    """

    def __init__(self, view: FleetView, owners: PermitOwners, address: str) -> None:
        self._view: Final = view
        self._owners: Final = owners
        self._address: Final = address
        self._numbers: Final = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Permit]] = {}
        self._skipped_until: dict[str, float] = {}
        view.limits.on_received(self._report_to_owner)

    async def ask(
        self,
        service: str,
        targets: Sequence[TargetIncarnation],
        *,
        is_last: bool,
        is_beginning: bool = False,
    ) -> Permit | None:
        """Return the answer to a permit order for one request, or None if no owner answers.

        Args:
            service: the service.
            targets: candidates for the request, the best one first.
            is_last: whether the request is refused if it gets no permit.
            is_beginning: whether the request still has to run its stages before it is sent.
        """
        order = PermitRequest(
            number=next(self._numbers),
            targets=tuple(targets),
            is_last=is_last,
            is_beginning=is_beginning,
        )
        for owner in self._owners.find_owners(service):
            permit = await self._ask(owner, service, order)
            if permit is not None:
                self._view.limits.merge_reports(permit.words)
                return permit
        return None

    def receive(self, permits: Sequence[Permit]) -> None:
        """Receive the answers of an owner."""
        for permit in permits:
            pending = self._pending.pop(permit.number, None)
            if pending is not None and not pending.done():
                pending.set_result(permit)

    async def _ask(self, owner: str, service: str, order: PermitRequest) -> Permit | None:
        """Return the answer of one owner, or None on a timeout."""
        if owner == self._address:
            return self._view.limits.issue(service, (order,))[0]
        loop = asyncio.get_running_loop()
        if self._skipped_until.get(owner, 0.0) > loop.time():
            return None
        answer: asyncio.Future[Permit] = loop.create_future()
        self._pending[order.number] = answer
        self._owners.send(owner, PoolOrders(service=service, permits=(order,)))
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await answer
        except TimeoutError:
            self._skipped_until[owner] = loop.time() + OWNER_BACKOFF_SECONDS
            _LOG.warning("no permit received in time", extra={"owner": owner, "service": service})
            return None
        finally:
            self._pending.pop(order.number, None)

    def _report_to_owner(self, report: RateLimitReport) -> None:
        """Forward a rate limit that this box received to the owner, which issues the permits."""
        record = self._view.find_target(report.named.target)
        if record is None:
            return
        owner = self._owners.find_owners(record.service, record.shard)[0]
        if owner != self._address:
            self._owners.send(owner, PoolOrders(service=record.service, words=(report,)))
