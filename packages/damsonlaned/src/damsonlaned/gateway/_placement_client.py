"""Asks the owner of a service's engines where to send a prompt."""

import asyncio
import itertools
import logging
from collections.abc import Sequence
from dataclasses import replace
from typing import Final, Protocol

from damsonlane.placement import Placement, PlacementRequest, PromptOutcome
from damsonlane_rpc import PoolOrders
from damsonlaned.gateway._prompt_placer import PromptPlacers

_LOG: Final = logging.getLogger(__name__)

#: Timeout for an owner's answer, in seconds: boxes are a few milliseconds apart.  After it the
#: entry chooses an engine by itself, so an owner that crashed delays a prompt by no more.
ANSWER_SECONDS: Final = 0.04
#: Seconds for which an owner that timed out is not asked again.
OWNER_BACKOFF_SECONDS: Final = 1.0
#: Seconds for which the outcomes of prompts are collected into one message.
BATCH_SECONDS: Final = 0.1
#: The same for outcomes with a slowness: it changes within 0.6 s, and a report that arrives 0.2 s
#: late does more harm than good.
SLOWNESS_BATCH_SECONDS: Final = 0.02
#: Sender name for requests of this entry to its own placer.
_SELF: Final = "self"


class OwnerLinks(Protocol):
    """Finds the owner of a service's targets and sends it messages."""

    def find_owner(self, service: str) -> str:
        """Return the address of the owner."""

    def send(self, owner: str, message: PoolOrders) -> None:
        """Send a message to an owner."""


class PlacementClient:
    """Has prompts placed by the owner of a service, at this entry or another one.

    Args:
        placers: place the prompts of the services that this entry owns.
        links: sends messages to other owners.
        address: internal address of this entry.
    """

    def __init__(self, placers: PromptPlacers, links: OwnerLinks, address: str) -> None:
        self._placers: Final = placers
        self._links: Final = links
        self._address: Final = address
        self._numbers: Final = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Placement]] = {}
        #: Outcomes to send, by owner and service, each with the time at which it was reported.
        self._reads: dict[tuple[str, str], list[tuple[PromptOutcome, float]]] = {}
        self._timers: dict[tuple[str, str], asyncio.TimerHandle] = {}
        self._skipped_until: dict[str, float] = {}

    async def place(self, service: str, order: PlacementRequest) -> "PlacedPrompt | None":
        """Return the placement of a prompt, or None if the entry must choose by itself.

        Args:
            service: the service.
            order: the prompt; its number is assigned here.
        """
        owner = self._links.find_owner(service)
        number = next(self._numbers)
        placement = await self._ask(owner, service, replace(order, number=number))
        if placement is None or not placement.target:
            return None
        return PlacedPrompt(self, owner, service, placement)

    def receive(self, placements: Sequence[Placement]) -> None:
        """Receive the placements of an owner."""
        for placement in placements:
            pending = self._pending.pop(placement.number, None)
            if pending is not None and not pending.done():
                pending.set_result(placement)

    def report_read(self, owner: str, service: str, read: PromptOutcome) -> None:
        """Report the outcome of a prompt to an owner, batched with others."""
        if owner == self._address:
            placer = self._placers.find(service)
            if placer is not None:
                placer.record_reads(_SELF, (read,))
            return
        loop = asyncio.get_running_loop()
        key = (owner, service)
        self._reads.setdefault(key, []).append((read, loop.time()))
        seconds = BATCH_SECONDS if read.slowness is None else SLOWNESS_BATCH_SECONDS
        timer = self._timers.get(key)
        if timer is None or timer.when() > loop.time() + seconds:
            if timer is not None:
                timer.cancel()
            self._timers[key] = loop.call_later(seconds, self._send_reads, owner, service)

    def _send_reads(self, owner: str, service: str) -> None:
        now = asyncio.get_running_loop().time()
        self._timers.pop((owner, service), None)
        reads = tuple(
            _add_age(read, now - reported_at)
            for read, reported_at in self._reads.pop((owner, service), ())
        )
        self._links.send(owner, PoolOrders(service=service, reads=reads))

    async def _ask(self, owner: str, service: str, order: PlacementRequest) -> Placement | None:
        """Return the placement that an owner chose, or None on a timeout."""
        if owner == self._address:
            placer = self._placers.find(service)
            return placer.place(_SELF, (order,))[0] if placer is not None else None
        loop = asyncio.get_running_loop()
        if self._skipped_until.get(owner, 0.0) > loop.time():
            return None
        answer: asyncio.Future[Placement] = loop.create_future()
        self._pending[order.number] = answer
        self._links.send(owner, PoolOrders(service=service, prompts=(order,)))
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await answer
        except TimeoutError:
            self._skipped_until[owner] = loop.time() + OWNER_BACKOFF_SECONDS
            _LOG.warning("prompt not placed in time", extra={"owner": owner, "service": service})
            return None
        finally:
            self._pending.pop(order.number, None)


def _add_age(read: PromptOutcome, seconds: float) -> PromptOutcome:
    """Return an outcome whose slowness, if any, is older by the time in its batch."""
    if read.slowness is None:
        return read
    return replace(read, slowness_age_seconds=read.slowness_age_seconds + seconds)


class PlacedPrompt:
    """A prompt that an owner placed, whose outcome is reported back to that owner.

    Args:
        client: reports to the owner.
        owner: address of the owner.
        service: the service.
        placement: the engine that the owner chose.
    """

    def __init__(
        self, client: PlacementClient, owner: str, service: str, placement: Placement
    ) -> None:
        self._client: Final = client
        self._owner: Final = owner
        self._service: Final = service
        self._number: Final = placement.number
        self.target: Final = placement.target
        #: Name of the engine from which cached prompt segments are copied, or an empty string.
        self.source: Final = placement.source
        #: Whether the prompt is beyond the share of its organisation.
        self.is_beyond_share: Final = placement.is_beyond_share
        self._is_reported = False

    def report_read(
        self, seconds: float | None, slowness: float | None = None, reported_at: float = 0.0
    ) -> None:
        """Report the time until the first event to the owner; only the first call has an effect.

        Args:
            seconds: time from sending the prompt to its first event; None if none will come.
            slowness: the slowness that the engine reported with the head of its response.
            reported_at: when it reported that, by the loop's clock.
        """
        if self._is_reported:
            return
        self._is_reported = True
        read = PromptOutcome(number=self._number, seconds=seconds, slowness=slowness)
        if slowness is not None:
            age = asyncio.get_running_loop().time() - reported_at
            read = replace(read, slowness_age_seconds=max(0.0, age))
        self._client.report_read(self._owner, self._service, read)
