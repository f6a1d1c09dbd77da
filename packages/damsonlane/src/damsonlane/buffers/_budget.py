"""Decides which connections may buffer more, and which callers are disconnected."""

from collections import Counter
from collections.abc import Collection, Iterable
from typing import Final, Literal

from damsonlane.buffers._account import BufferAccount, RoomRequest
from damsonlane.records import dataclass

#: Bytes that any connection may buffer, also while the budget is short: about one event.
LEAST_WINDOW: Final = 16 * 1024
#: Most bytes that one connection may buffer.  It is the limit without a budget: 64 KiB of unsent
#: and 256 KiB of unread bytes.
LARGEST_WINDOW: Final = 320 * 1024
#: Share of the budget up to which unused shares are lent to other organisations.  The rest is free
#: for those within their share, so that they need not wait for a loan to be returned.
LENT_SHARE: Final = 0.5
#: Share of the budget to which evictions reduce the sum once it exceeds the budget, so that not
#: each further byte needs a search for another caller.
EVICTED_SHARE: Final = 0.95
#: Share of the budget up to which bodies and collected responses may grow.  The rest is for small
#: bodies, and for the one that is nearest to its end while others wait.
GRANTED_SHARE: Final = 0.75
#: Share of the budget up to which that one may grow.
FINISHED_SHARE: Final = 0.9
#: Size up to which a body or response need not wait while the budget holds, in bytes.
SMALL_BYTES: Final = 64 * 1024
#: Share of the budget to which callers that hold bytes up are disconnected while others wait.
ROOM_SHARE: Final = 0.5
#: Seconds without progress from which a caller holds up those that wait for room.
HELD_UP_SECONDS: Final = 0.02
#: Seconds after which one caller that makes progress is disconnected for those that wait.
WAIT_SECONDS: Final = 1.0
#: Share of a process's memory that may hold bytes for callers and targets where it isn't set.
MEMORY_SHARE: Final = 0.1875
#: Seconds after which a caller is disconnected if its target has to wait for it.  Targets cut off
#: an answer that isn't read after some seconds.
BLOCKED_SECONDS: Final = 3.0
#: Seconds after which a caller that takes nothing is disconnected in any case.
STALLED_SECONDS: Final = 15.0

#: Why a caller is disconnected: its target waits, it takes nothing, or the budget is exhausted.
EvictionReason = Literal["blocked", "stalled", "budget"]


@dataclass(frozen=True, kw_only=True)
class Eviction:
    """The decision to disconnect a caller."""

    #: Its account.
    account: BufferAccount
    #: Why.
    reason: EvictionReason


class BufferBudget:
    """The buffered bytes of all connections of a box, and the limit of their sum.

    Args:
        limit: the limit, in bytes.
        limits_time: whether slow callers are disconnected also while the budget has room.
    """

    def __init__(self, limit: int, *, limits_time: bool = True) -> None:
        self._limit: Final = limit
        self._limits_time: Final = limits_time
        self._accounts: dict[BufferAccount, None] = {}
        self._backlogs: dict[BufferAccount, None] = {}
        self._by_organisation: Counter[str] = Counter()
        #: Bytes that are buffered for all connections.
        self.total = 0

    def open(self, now: float) -> BufferAccount:
        """Return a new account for a caller's connection."""
        account = BufferAccount(now)
        self._accounts[account] = None
        return account

    def close(self, account: BufferAccount) -> None:
        """Remove an account, and what it counts."""
        if account in self._accounts:
            self._add(account, -account.size)
            del self._accounts[account]
            self._backlogs.pop(account, None)

    def assign(self, account: BufferAccount, organisation: str) -> None:
        """Charge an account to an organisation."""
        if account in self._accounts:
            self._add(account, -account.size)
            account.organisation = organisation
            self._add(account, account.size)

    def set_unsent(self, account: BufferAccount, size: int, now: float, written: int = 0) -> None:
        """Record how many bytes the caller has not taken yet.

        Args:
            account: the account of its connection.
            size: the number of bytes.
            now: the monotonic clock, in seconds.
            written: bytes that were added since the last call.
        """
        if account not in self._accounts:
            return
        taken = account.unsent + written - size
        if account.unsent == 0:
            account.began_at = now
        if taken > 0 or account.unsent == 0:
            account.progress_at = now
        self._add(account, size - account.unsent)
        account.unsent = size
        if size:
            self._backlogs[account] = None
        else:
            self._backlogs.pop(account, None)

    def set_unread(self, account: BufferAccount, stream: object, size: int) -> None:
        """Record how many bytes of a stream wait to be processed.

        Args:
            account: the account to which the stream is charged.
            stream: identifies the stream.
            size: the number of bytes; 0 to forget the stream.
        """
        if account not in self._accounts:
            return
        self._add(account, size - account.unread.get(stream, 0))
        if size:
            account.unread[stream] = size
        else:
            account.unread.pop(stream, None)

    def begin_body(self, account: BufferAccount, now: float) -> None:
        """Record that a body of the caller is read from now on."""
        account.reading_since = account.arrived_at = now

    def end_body(self, account: BufferAccount) -> None:
        """Record that no body of the caller is read any more."""
        account.reading_since = None

    def has_room(self, account: BufferAccount, size: int) -> bool:
        """Return whether a body or response of an account may grow by some bytes now."""
        total = self.total + size
        if account.size + size <= SMALL_BYTES:
            return total <= self._limit
        return total <= GRANTED_SHARE * self._limit or account.size == self.total

    def choose_request(self, requests: Collection[RoomRequest]) -> RoomRequest | None:
        """Return which of the requests that wait may be granted now, if any may.

        Args:
            requests: the requests, in the order of their arrival.
        """
        for request in requests:
            if self.has_room(request.account, request.size):
                return request
        if not requests:
            return None
        largest = max(requests, key=lambda request: request.account.size)
        is_granted = self.total + largest.size <= FINISHED_SHARE * self._limit
        return largest if is_granted else None

    def list_room_evictions(
        self, requests: Collection[RoomRequest], now: float, waited_seconds: float
    ) -> tuple[Eviction, ...]:
        """Return the callers to disconnect for those that wait for room.

        Args:
            requests: the requests that wait.
            now: the monotonic clock, in seconds.
            waited_seconds: for how long none of them got room.
        """
        held_up = [
            account for account in self._accounts if account.stalled_seconds(now) >= HELD_UP_SECONDS
        ]
        excess = self.total - int(ROOM_SHARE * self._limit)
        evictions = self._choose(held_up, excess, now)
        if not evictions and waited_seconds >= WAIT_SECONDS:
            largest = max(requests, key=lambda request: request.account.size).account
            others = [account for account in self._accounts if account is not largest]
            evictions = self._choose(others, 1, now)
        return tuple(evictions)

    def may_read(self, account: BufferAccount) -> bool:
        """Return whether more may be read for an account before what it holds is processed."""
        return not account.room_requests and account.size < self._find_window(account)

    def list_backlogs(self) -> tuple[BufferAccount, ...]:
        """Return the accounts whose callers have bytes to take."""
        return tuple(self._backlogs)

    def list_evictions(self, now: float) -> tuple[Eviction, ...]:
        """Return the callers to disconnect now, the slowest with the largest backlog first."""
        evictions: list[Eviction] = []
        for account in self._backlogs:
            if not self._limits_time or account.room_requests:
                continue
            paused_at = account.paused_at
            if paused_at is not None and now - paused_at >= BLOCKED_SECONDS:
                evictions.append(Eviction(account=account, reason="blocked"))
            elif now - account.progress_at >= STALLED_SECONDS:
                evictions.append(Eviction(account=account, reason="stalled"))
        left = self.total - sum(eviction.account.size for eviction in evictions)
        if left > self._limit:
            listed = {eviction.account for eviction in evictions}
            excess = left - int(EVICTED_SHARE * self._limit)
            evictions += self._list_for_budget(now, excess, listed)
        return tuple(evictions)

    def _list_for_budget(
        self, now: float, excess: int, listed: set[BufferAccount]
    ) -> list[Eviction]:
        """Return evictions that free some bytes.

        Callers without a backlog, whose responses are being read, are last.
        """
        candidates = [account for account in self._accounts if account not in listed]
        return self._choose(candidates, excess, now)

    def _choose(
        self, candidates: Iterable[BufferAccount], excess: int, now: float
    ) -> list[Eviction]:
        """Return evictions of candidates that free some bytes.

        Of those that have something to take or to send, callers of organisations above their share
        are first.
        """
        share = self._find_share()
        order = sorted(
            (account for account in candidates if account.size),
            key=lambda account: (
                account.unsent > 0 or account.reading_since is not None,
                self._by_organisation[account.organisation] > share,
                account.cost(now),
                account.size,
            ),
            reverse=True,
        )
        evictions: list[Eviction] = []
        for account in order:
            if excess <= 0:
                break
            evictions.append(Eviction(account=account, reason="budget"))
            excess -= account.size
        return evictions

    def _find_window(self, account: BufferAccount) -> int:
        """Return the bytes that an account may hold before reading for it pauses."""
        if self.total <= LENT_SHARE * self._limit:
            return LARGEST_WINDOW
        if self._by_organisation[account.organisation] > self._find_share():
            return LEAST_WINDOW
        free = max(0, self._limit - self.total)
        return min(LARGEST_WINDOW, max(LEAST_WINDOW, free // max(1, len(self._accounts))))

    def _find_share(self) -> float:
        """Return the share of an organisation, of those for which anything is buffered."""
        return self._limit / max(1, len(self._by_organisation))

    def _add(self, account: BufferAccount, size: int) -> None:
        self.total += size
        self._by_organisation[account.organisation] += size
        if not self._by_organisation[account.organisation]:
            del self._by_organisation[account.organisation]
