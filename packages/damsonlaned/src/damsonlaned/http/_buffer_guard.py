"""Enforces the budget of buffered bytes on connections."""

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from damsonlane.buffers import BufferAccount, BufferBudget, Eviction, EvictionReason

if TYPE_CHECKING:
    from damsonlaned.http._tcp_stream import TcpStream

_LOG: Final = logging.getLogger(__name__)

#: Seconds between checks of callers that have bytes to take; there are none while nobody has.
CHECK_SECONDS: Final = 0.25


class BufferMeter:
    """Counts the bytes that are buffered for one caller, at its connection and its target's.

    Args:
        guard: enforces the budget.
        account: the account of the caller.
        caller: the connection of the caller.
    """

    def __init__(self, guard: "BufferGuard", account: BufferAccount, caller: "TcpStream") -> None:
        self._guard: Final = guard
        self.account: Final = account
        self.caller: Final = caller
        #: Id of the request that is served, for logs.
        self.request_id = ""

    def assign(self, organisation: str, request_id: str) -> None:
        """Charge what is buffered to the organisation of a request."""
        self.request_id = request_id
        self._guard.budget.assign(self.account, organisation)

    def record_written(self, written: int) -> None:
        """Record that bytes for the caller were queued."""
        self._guard.update_unsent(self, written)

    def record_unread(self, stream: object, size: int) -> None:
        """Record how many bytes of a stream wait to be processed."""
        self._guard.budget.set_unread(self.account, stream, size)
        self._guard.check_limit()

    def record_paused(self, *, is_paused: bool) -> None:
        """Record whether reading from the target is paused."""
        self.account.paused_at = _now() if is_paused else None

    def may_read(self) -> bool:
        """Return whether more may be read before what is buffered is processed."""
        return self._guard.budget.may_read(self.account)

    def close(self) -> None:
        """Forget the caller, whose connection is closed."""
        self._guard.forget(self)


class BufferGuard:
    """Disconnects callers that the budget doesn't allow, so that their work is cancelled.

    Args:
        limit: limit of the bytes that are buffered for all connections.
        on_eviction: called with the reason for each caller that is disconnected.
    """

    def __init__(self, limit: int, on_eviction: Callable[[EvictionReason], None]) -> None:
        self._limit: Final = limit
        self._on_eviction: Final = on_eviction
        #: The budget.
        self.budget: Final = BufferBudget(limit)
        self._meters: dict[BufferAccount, BufferMeter] = {}
        self._timer: asyncio.TimerHandle | None = None

    def watch(self, caller: "TcpStream") -> None:
        """Count the bytes that are buffered for a caller, from now on."""
        account = self.budget.open(_now())
        meter = BufferMeter(self, account, caller)
        self._meters[account] = meter
        caller.charge_to(meter)

    def forget(self, meter: BufferMeter) -> None:
        """Stop counting for a caller whose connection is closed."""
        self._meters.pop(meter.account, None)
        self.budget.close(meter.account)

    def update_unsent(self, meter: BufferMeter, written: int = 0) -> None:
        """Record how many bytes a caller has not taken yet."""
        size = meter.caller.count_unsent()
        self.budget.set_unsent(meter.account, size, _now(), written)
        if size and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(CHECK_SECONDS, self._check)
        self.check_limit()

    def check_limit(self) -> None:
        """Disconnect callers if the limit is exceeded."""
        if self.budget.total > self._limit:
            self._evict()

    def _check(self) -> None:
        """Update the backlogs, and check again while there are any."""
        self._timer = None
        for account in self.budget.list_backlogs():
            # An account may have been closed by the check of one before.
            if account in self._meters:
                self.update_unsent(self._meters[account])
        self._evict()

    def _evict(self) -> None:
        now = _now()
        for eviction in self.budget.list_evictions(now):
            self._disconnect(eviction, now)

    def _disconnect(self, eviction: Eviction, now: float) -> None:
        account = eviction.account
        meter = self._meters[account]
        _LOG.warning(
            "slow caller disconnected",
            extra={
                "request": meter.request_id,
                "organisation": account.organisation,
                "reason": eviction.reason,
                "unsent": account.unsent,
                "buffered": account.size,
                "idle_seconds": round(now - account.progress_at, 3),
                "total": self.budget.total,
            },
        )
        # The connection is reported as lost only later, and must not be chosen again until then.
        self.forget(meter)
        self._on_eviction(eviction.reason)
        meter.caller.abort()


def _now() -> float:
    return asyncio.get_running_loop().time()
