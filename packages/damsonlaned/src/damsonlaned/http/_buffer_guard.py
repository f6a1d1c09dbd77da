"""Enforces the budget of buffered bytes on connections."""

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from damsonlane.buffers import (
    BufferAccount,
    BufferBudget,
    Eviction,
    EvictionReason,
    RoomRequest,
)

if TYPE_CHECKING:
    from damsonlaned.http._tcp_stream import TcpStream

_LOG: Final = logging.getLogger(__name__)

#: Seconds between checks of callers that have bytes to take; there are none while nobody has.
CHECK_SECONDS: Final = 0.25
#: The same while any request waits for room.
ROOM_CHECK_SECONDS: Final = 0.03


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
        #: Refuses the request whose body is read; None while none is.
        self.refuse: Callable[[], None] | None = None

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

    @property
    def limits_time(self) -> bool:
        """Whether slow callers are disconnected also while the budget has room."""
        return self._guard.limits_time

    def begin_body(self, refuse: Callable[[], None]) -> None:
        """Record that a body of the caller is read.

        Args:
            refuse: refuses the request if the budget is exhausted.
        """
        self.refuse = refuse
        self._guard.budget.begin_body(self.account, _now())

    def record_body(self, reader: object, size: int) -> None:
        """Record how many bytes of the body a reader has collected."""
        self.account.arrived_at = _now()
        self.record_unread(reader, size)

    def end_body(self) -> None:
        """Record that no body of the caller is read any more."""
        self.refuse = None
        self._guard.budget.end_body(self.account)

    def has_room(self, size: int) -> bool:
        """Return whether a body or response may grow by some bytes without waiting."""
        return self._guard.budget.has_room(self.account, size)

    async def wait_for_room(self, size: int) -> None:
        """Wait until a body or response may grow by some bytes.

        Raises:
            ConnectionError: the caller was disconnected.
        """
        if not self.has_room(size):
            await self._guard.wait_for_room(self, size)

    def hold(self, holder: object, size: int) -> None:
        """Count bytes for a holder that takes them from another, or hands them over to one.

        The room that they take is neither exceeded nor free in between.
        """
        self._guard.budget.set_unread(self.account, holder, size)

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
        limits_time: whether slow callers are disconnected also while the budget has room.  The
            buffers of the kernel are limited then too.
    """

    def __init__(
        self,
        limit: int,
        on_eviction: Callable[[EvictionReason], None],
        *,
        limits_time: bool = True,
    ) -> None:
        self._limit: Final = limit
        #: Whether slow callers are disconnected also while the budget has room.
        self.limits_time: Final = limits_time
        self._on_eviction: Final = on_eviction
        #: The budget.
        self.budget: Final = BufferBudget(limit, limits_time=limits_time)
        self._meters: dict[BufferAccount, BufferMeter] = {}
        self._timer: asyncio.TimerHandle | None = None
        #: Requests that wait for room, in the order of their arrival.
        self._requests: dict[RoomRequest, asyncio.Future[None]] = {}
        #: When one of them last got room, or began to wait.
        self._granted_at = 0.0
        #: The request that was granted and whose bytes are not counted yet.
        self._granted: RoomRequest | None = None

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
        for request, granted in tuple(self._requests.items()):
            if request.account is meter.account:
                del self._requests[request]
                granted.set_exception(ConnectionResetError("the caller was disconnected"))
        self.grant()

    async def wait_for_room(self, meter: BufferMeter, size: int) -> None:
        """Wait until the budget has room for more bytes of a caller.

        Raises:
            ConnectionError: the caller was disconnected.
        """
        account = meter.account
        if account not in self._meters:
            raise ConnectionResetError("the caller was disconnected")
        if not self._requests:
            self._granted_at = _now()
        request = RoomRequest(account, size)
        granted = self._requests[request] = asyncio.get_running_loop().create_future()
        account.room_requests += 1
        self._start_timer()
        try:
            self.grant()
            await granted
        finally:
            account.room_requests -= 1
            self._requests.pop(request, None)
            if self._granted is request:
                self._granted = None

    def grant(self) -> None:
        """Let one request that waits go on if there is room.

        The next one follows when its bytes are counted, which is after its task has run.
        """
        if self._granted is not None or not self._requests:
            return
        request = self.budget.choose_request(self._requests)
        if request is None:
            return
        self._granted_at = _now()
        granted = self._requests.pop(request)
        if not granted.done():
            self._granted = request
            granted.set_result(None)

    def update_unsent(self, meter: BufferMeter, written: int = 0) -> None:
        """Record how many bytes a caller has not taken yet."""
        size = meter.caller.count_unsent()
        self.budget.set_unsent(meter.account, size, _now(), written)
        if size:
            self._start_timer()
        self.check_limit()

    def check_limit(self) -> None:
        """Disconnect callers if the limit is exceeded."""
        if self.budget.total > self._limit:
            self._evict()
        elif self._requests:
            self.grant()

    def _start_timer(self) -> None:
        seconds = ROOM_CHECK_SECONDS if self._requests else CHECK_SECONDS
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(seconds, self._check)

    def _check(self) -> None:
        """Update the backlogs, and check again while there are any."""
        self._timer = None
        for account in self.budget.list_backlogs():
            # An account may have been closed by the check of one before.
            if account in self._meters:
                self.update_unsent(self._meters[account])
        self._evict()
        if self._requests:
            self._make_room()
            self._start_timer()

    def _make_room(self) -> None:
        """Disconnect callers that hold up others."""
        now = _now()
        waited_seconds = now - self._granted_at
        for eviction in self.budget.list_room_evictions(self._requests, now, waited_seconds):
            self._disconnect(eviction, now)
        self.grant()

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
                "reads_body": account.reading_since is not None,
                "buffered": account.size,
                "idle_seconds": round(now - account.progress_at, 3),
                "total": self.budget.total,
            },
        )
        # The connection is reported as lost only later, and must not be chosen again until then.
        self.forget(meter)
        self._on_eviction(eviction.reason)
        if meter.refuse is not None:
            meter.refuse()
        else:
            meter.caller.abort()


def _now() -> float:
    return asyncio.get_running_loop().time()
