"""Asking the owner of a service's engines where to send a prompt."""

import asyncio
import itertools
import logging
from collections.abc import Sequence
from dataclasses import replace
from typing import Final, Protocol

from damsonlane.placing import Placement, PromptOrder, PromptRead
from damsonlane_rpc import PoolOrders
from damsonlaned.gateway._placer import PromptPlacers

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which an answer is waited for: boxes are a few milliseconds apart.  Without
#: one in time the entry chooses by itself, so a dead owner costs a prompt no more.
ANSWER_SECONDS: Final = 0.04
#: Seconds for which an owner that did not answer is not asked again.
REST_SECONDS: Final = 1.0
#: Seconds for which what became of prompts is gathered into one message.
GATHER_SECONDS: Final = 0.1
#: Name under which this entry asks itself.
_SELF: Final = "self"


class OwnerLinks(Protocol):
    """Reaches the owner of a service's targets."""

    def find_owner(self, service: str) -> str:
        """Return the address of the owner."""

    def send(self, owner: str, message: PoolOrders) -> None:
        """Send it a message."""


class PlacementClient:
    """Has prompts placed by the owner of a service, wherever it is.

    Args:
        placers: the services that this entry places prompts of.
        links: reaches other owners.
        address: internal address of this entry.
    """

    def __init__(self, placers: PromptPlacers, links: OwnerLinks, address: str) -> None:
        self._placers: Final = placers
        self._links: Final = links
        self._address: Final = address
        self._numbers: Final = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Placement]] = {}
        self._reads: dict[tuple[str, str], list[PromptRead]] = {}
        self._silent_until: dict[str, float] = {}

    async def place(self, service: str, order: PromptOrder) -> "PlacedPrompt | None":
        """Return where a prompt should go, or None if the entry must choose by itself.

        Args:
            service: the service.
            order: the prompt; its number is given here.
        """
        owner = self._links.find_owner(service)
        number = next(self._numbers)
        placement = await self._ask(owner, service, replace(order, number=number))
        if placement is None or not placement.target:
            return None
        return PlacedPrompt(self, owner, service, placement)

    def take(self, placements: Sequence[Placement]) -> None:
        """Take answers of an owner."""
        for placement in placements:
            pending = self._pending.pop(placement.number, None)
            if pending is not None and not pending.done():
                pending.set_result(placement)

    def note_read(self, owner: str, service: str, read: PromptRead) -> None:
        """Tell an owner, a little later, what became of a prompt."""
        if owner == self._address:
            placer = self._placers.find(service)
            if placer is not None:
                placer.note_reads(_SELF, (read,))
            return
        gathered = self._reads.setdefault((owner, service), [])
        if not gathered:
            loop = asyncio.get_running_loop()
            loop.call_later(GATHER_SECONDS, self._send_reads, owner, service)
        gathered.append(read)

    def _send_reads(self, owner: str, service: str) -> None:
        reads = tuple(self._reads.pop((owner, service), ()))
        self._links.send(owner, PoolOrders(service=service, reads=reads))

    async def _ask(self, owner: str, service: str, order: PromptOrder) -> Placement | None:
        """Return what an owner chose, or None without an answer."""
        if owner == self._address:
            placer = self._placers.find(service)
            return placer.place(_SELF, (order,))[0] if placer is not None else None
        loop = asyncio.get_running_loop()
        if self._silent_until.get(owner, 0.0) > loop.time():
            return None
        answer: asyncio.Future[Placement] = loop.create_future()
        self._pending[order.number] = answer
        self._links.send(owner, PoolOrders(service=service, prompts=(order,)))
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await answer
        except TimeoutError:
            self._silent_until[owner] = loop.time() + REST_SECONDS
            _LOG.warning("prompt not placed in time", extra={"owner": owner, "service": service})
            return None
        finally:
            self._pending.pop(order.number, None)


class PlacedPrompt:
    """A prompt that an owner placed, and what it is told of it.

    Args:
        client: reaches the owner.
        owner: its address.
        service: the service.
        placement: what it chose.
    """

    def __init__(
        self, client: PlacementClient, owner: str, service: str, placement: Placement
    ) -> None:
        self._client: Final = client
        self._owner: Final = owner
        self._service: Final = service
        self._number: Final = placement.number
        self.target: Final = placement.target
        #: Name of the engine from which parts of the prompt are taken, or an empty string.
        self.source: Final = placement.source
        self._is_told = False

    def note_read(self, seconds: float | None) -> None:
        """Tell the owner after which time the first event came; None if it never will.

        Only the first word counts.
        """
        if self._is_told:
            return
        self._is_told = True
        read = PromptRead(number=self._number, seconds=seconds)
        self._client.note_read(self._owner, self._service, read)
