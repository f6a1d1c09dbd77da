"""Which entry owns a pool, as this entry chooses it."""

import asyncio
from dataclasses import dataclass
from typing import Final

from damsonlane.membership import choose_owner
from damsonlaned.gateway._view import FleetView

#: Seconds for which an owner that failed is passed over: longer than control lists a
#: box that fell silent (6 s), so that one without power is not asked again meanwhile.
SUSPECT_SECONDS: Final = 7.0


@dataclass(frozen=True, kw_only=True)
class _Suspicion:
    """An owner whose stream was lost."""

    #: Until when it is passed over, by the loop's clock.
    until: float
    #: Its incarnation at that time; another one is not suspected.
    incarnation: str


class OwnerChoice:
    """Chooses among the entries that control lists, but for owners that failed lately.

    Args:
        view: lists the entries.
        own_address: internal address of this entry, which owns pools where no
            entry is listed.
    """

    def __init__(self, view: FleetView, own_address: str) -> None:
        self._view: Final = view
        self._own_address: Final = own_address
        self._suspects: dict[str, _Suspicion] = {}
        #: Owners by control's list.  They are asked for with each look at a limited target, and
        #: choosing among hundreds of entries takes a part of a millisecond.
        self._listed: dict[str, str] = {}
        view.on_entries(self._listed.clear)

    def find_owner(self, service: str, avoid: str = "") -> str:
        """Return the address of the entry that owns a pool, or that would without another one.

        Args:
            service: the service.
            avoid: address of an entry that is passed over, or an empty string.
        """
        now = asyncio.get_running_loop().time()
        # An entry that control does not list, because it stops or has just started, owns
        # nothing: two owners of a pool would send their calls to the same targets.
        suspects = {address for address in self._suspects if self._is_suspect(address, now)}
        owner = choose_owner(service, self._view.entries, suspects | {avoid})
        return owner.address if owner is not None else self._own_address

    def is_listed_owner(self, service: str) -> bool:
        """Tell whether this entry owns a pool for all that follow control's list.

        One that takes another's place since it can't reach it is not told from the owner by
        this entry alone: both may serve then.
        """
        if service not in self._listed:
            owner = choose_owner(service, self._view.entries)
            self._listed[service] = owner.address if owner is not None else self._own_address
        return self._listed[service] == self._own_address

    def suspect(self, address: str) -> None:
        """Pass over for a while an owner whose stream was lost."""
        now = asyncio.get_running_loop().time()
        self._suspects[address] = _Suspicion(
            until=now + SUSPECT_SECONDS, incarnation=self._find_incarnation(address)
        )

    def _is_suspect(self, address: str, now: float) -> bool:
        """Tell whether an owner is passed over.

        One that has started again is not: entries that had no stream to it would
        choose it already, and two owners of a pool hold each other's calls up.
        """
        suspicion = self._suspects.get(address)
        if suspicion is None or suspicion.until <= now:
            return False
        return suspicion.incarnation == self._find_incarnation(address)

    def _find_incarnation(self, address: str) -> str:
        """Return the incarnation of an entry that is listed, or an empty string."""
        listed = [entry for entry in self._view.entries if entry.address == address]
        return listed[0].incarnation if listed else ""
