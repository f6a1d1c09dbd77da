"""Chooses the entry that owns a pool."""

import asyncio
import logging
from collections.abc import Collection
from typing import Final

from damsonlane.membership import SILENCE_SECONDS, are_uneven, choose_owner
from damsonlane.records import dataclass
from damsonlane.targets import Shard
from damsonlaned.gateway._view import FleetView

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which an owner that failed is passed over: longer than control lists a
#: silent box (6 s), so that a box without power is not chosen again before it is unlisted.
SUSPECT_SECONDS: Final = 7.0
#: Most times that the timeout of an owner is doubled.
MAX_DOUBLINGS: Final = 3


@dataclass(frozen=True, kw_only=True)
class _Suspicion:
    """The suspicion that an owner whose stream was lost has failed."""

    #: End of the suspicion, by the loop's clock.
    until: float
    #: Incarnation of the owner that is suspected; a later one is not.
    incarnation: str
    #: Whether its stream was lost because it was silent.
    is_silent: bool


class OwnerChoice:
    """Chooses among the entries that control lists, except owners that failed recently.

    Args:
        view: lists the entries.
        own_address: internal address of this entry, which owns all pools if no
            entry is listed.
    """

    def __init__(self, view: FleetView, own_address: str) -> None:
        self._view: Final = view
        self._own_address: Final = own_address
        self._suspects: dict[str, _Suspicion] = {}
        #: Cache of the owners by control's lists, which are looked up for each order: hashing
        #: hundreds of entries takes a fraction of a millisecond.
        self._listed: dict[Shard, str] = {}
        #: The shards that this entry owns by control's lists, as last logged.
        self.owned: tuple[Shard, ...] = ()
        view.on_entries(self._listed.clear)
        view.on_change(self._listed.clear)

    def find_owner(self, shard: Shard, avoid: str = "") -> str:
        """Return the address of the entry that owns a shard of a pool.

        Args:
            shard: the shard.
            avoid: address of an entry that is not chosen, or an empty string.
        """
        listed = self._find_listed(shard)
        now = asyncio.get_running_loop().time()
        # An entry that control does not list, because it is stopping or has just started, owns
        # nothing: two owners of a pool would send their calls to the same targets.
        suspects = {address for address in self._suspects if self._is_suspect(address, now)}
        suspects |= self._list_unreaching(shard.service)
        if listed not in suspects and listed != avoid:
            return listed
        owner = choose_owner(shard.subject, self._view.entries, suspects | {avoid})
        return owner.address if owner is not None else self._own_address

    def has_reaching_owner(self, shard: Shard) -> bool:
        """Return whether the chosen owner of a shard reaches its targets, as far as is known."""
        return self.may_reach(self.find_owner(shard), shard.service)

    def may_reach(self, address: str, service: str) -> bool:
        """Return whether an entry reaches the targets of a service, unless no entry does."""
        return address not in self._list_unreaching(service)

    def is_listed_owner(self, shard: Shard) -> bool:
        """Return whether this entry owns a shard by control's list, ignoring suspicions.

        An entry that replaces an owner which it can't reach is not the listed owner. It can't
        know by itself whether the owner still serves others, so both may serve at once.
        """
        return self._find_listed(shard) == self._own_address

    def _find_listed(self, shard: Shard) -> str:
        """Return the address of the owner of a shard by control's lists."""
        if not self._listed:
            self._assign_owners()
        if shard not in self._listed:
            self._assign(shard, frozenset())
        return self._listed[shard]

    def _assign_owners(self) -> None:
        """Choose the owners of all shards.

        A service keeps the owner of its first shard however it is divided.  The other shards go to
        entries that own nothing yet, as long as there are any.  So do the first shards among
        entries of different capacities, where fewer entries can be owners.
        """
        services = self._view.list_service_names()
        is_spread = are_uneven(self._view.entries)
        for service in services:
            self._assign(Shard(service=service), self._list_owners() if is_spread else frozenset())
        taken = self._list_owners()
        shards = [size.shard for service in services for size in self._view.list_shards(service)]
        for shard in sorted(shards, key=lambda shard: (shard.index, shard.service)):
            if shard.index:
                self._assign(shard, taken)
                taken.add(self._listed[shard])
        self._log_owned()

    def _log_owned(self) -> None:
        """Log the shards that this entry owns if they changed."""
        owned = tuple(shard for shard, owner in self._listed.items() if owner == self._own_address)
        if owned != self.owned:
            self.owned = owned
            names = [f"{shard.service}/{shard.index}" for shard in owned]
            _LOG.info("owned shards changed", extra={"shards": names})

    def _assign(self, shard: Shard, taken: Collection[str]) -> None:
        avoid = self._list_unreaching(shard.service)
        owner = choose_owner(shard.subject, self._view.entries, avoid, taken)
        self._listed[shard] = owner.address if owner is not None else self._own_address

    def _list_unreaching(self, service: str) -> set[str]:
        """Return the entries that don't reach the targets of a service; none if no entry does."""
        entries = self._view.entries
        unreaching = {entry.address for entry in entries if service in entry.unreached}
        return unreaching if len(unreaching) < len(entries) else set()

    def _list_owners(self) -> set[str]:
        return set(self._listed.values())

    def suspect(self, address: str, *, is_silent: bool = False) -> None:
        """Pass over an owner whose stream was lost, for SUSPECT_SECONDS.

        Args:
            address: address of the owner.
            is_silent: whether it was lost because the owner was silent.
        """
        now = asyncio.get_running_loop().time()
        self._suspects[address] = _Suspicion(
            until=now + SUSPECT_SECONDS,
            incarnation=self._find_incarnation(address),
            is_silent=is_silent,
        )

    def find_silence_seconds(self) -> float:
        """Return the silence after which an owner has failed, in seconds.

        It is doubled for each owner that was recently lost by silence.  Owners that fall silent
        one after another are probably overloaded, by the orders that were moved to them.
        """
        now = asyncio.get_running_loop().time()
        silent = sum(
            suspicion.is_silent and suspicion.until > now for suspicion in self._suspects.values()
        )
        return float(SILENCE_SECONDS * 2 ** min(silent, MAX_DOUBLINGS))

    def _is_suspect(self, address: str, now: float) -> bool:
        """Return whether an owner is passed over.

        An owner that has restarted is not: entries that had no stream to it choose it
        already, and two owners of a pool delay each other's calls.
        """
        suspicion = self._suspects.get(address)
        if suspicion is None or suspicion.until <= now:
            return False
        return suspicion.incarnation == self._find_incarnation(address)

    def _find_incarnation(self, address: str) -> str:
        """Return the incarnation of an entry that is listed, or an empty string."""
        listed = [entry for entry in self._view.entries if entry.address == address]
        return listed[0].incarnation if listed else ""
