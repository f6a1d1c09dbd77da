"""Frees results at the targets of a pool that computed them."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from damsonlane.backoff import TargetIncarnation
from damsonlane.errors import DamsonlaneError
from damsonlaned.gateway._freed_results import FreedResults
from damsonlaned.gateway._pool_calls import PoolCalls
from damsonlaned.gateway._pool_targets import PoolTarget, PoolTargets
from damsonlaned.http import ConnectionPool
from damsonlaned.tasks import start_task

#: Log records keep the logger name that operators filter by.
_LOG: Final = logging.getLogger("damsonlaned.gateway._pool_owner")

#: Delay in seconds from which results are not freed at a target: targets evict them by
#: themselves after 4 to 5 s.
MAX_DEFERRAL_SECONDS: Final = 5.0
#: Least seconds between two such calls to a rate-limited target, and the calls that compute
#: pieces for each of them: both count against its rate limit.
LIMITED_INTERVAL_SECONDS: Final = 1.0
CALLS_PER_FREE: Final = 3
#: Call interval of a rate-limited target, in seconds, above which results are not freed there:
#: it evicts them before the memory is needed.
MAX_CALL_GAP_SECONDS: Final = 1.0


class FreeCalls:
    """Sends the targets of a pool the handles of results to free.

    Args:
        read_address: returns the address of the target that holds a result, by its handle.
        calls: sends the calls.
        targets: the targets of the pool.
        find_connections: returns the connections to a target, or None if there are none.
        on_memory_freed: called when a target has result memory again.
    """

    def __init__(
        self,
        read_address: Callable[[str], str],
        calls: PoolCalls,
        targets: PoolTargets,
        find_connections: Callable[[PoolTarget], ConnectionPool | None],
        on_memory_freed: Callable[[], None],
    ) -> None:
        self._calls: Final = calls
        self._targets: Final = targets
        self._find_connections: Final = find_connections
        self._on_memory_freed: Final = on_memory_freed
        self._freed: Final = FreedResults(read_address, self._send)
        self._tasks: Final[set[asyncio.Task[None]]] = set()
        self._freed_at: Final[dict[TargetIncarnation, float]] = {}

    def add(self, handles: Sequence[str]) -> None:
        """Free results shortly, batched with others."""
        self._freed.add(handles)

    def _send(self, freed: Mapping[str, Sequence[str]]) -> None:
        """Start a call to each target that holds some of the results, keyed by address."""
        for target in self._targets.list_all():
            handles = freed.get(target.address)
            connections = self._find_connections(target) if handles else None
            if not handles or connections is None:
                continue
            delay = self._find_delay(target)
            if delay > 0:
                self._defer(handles, delay)
            else:
                self._record_call(target)
                self._start(target, connections, handles)

    def _record_call(self, target: PoolTarget) -> None:
        """Count a call against the rate limit of a target, if it has one."""
        if target.gap_seconds() > 0:
            target.take_permit()
            self._freed_at[target.incarnation] = asyncio.get_running_loop().time()

    def _find_delay(self, target: PoolTarget) -> float:
        """Return the seconds until a target may be sent a call that frees results."""
        delay = target.backoff_seconds()
        gap = target.gap_seconds()
        if delay > 0 or gap <= 0:
            return delay
        if gap > MAX_CALL_GAP_SECONDS:
            return MAX_DEFERRAL_SECONDS
        now = asyncio.get_running_loop().time()
        interval = max(LIMITED_INTERVAL_SECONDS, CALLS_PER_FREE * gap)
        next_at = self._freed_at.get(target.incarnation, 0.0) + interval
        return max(target.rate_wait_seconds(), next_at - now)

    def _defer(self, handles: Sequence[str], seconds: float) -> None:
        """Free results after a delay, unless the target evicts them before."""
        if seconds < MAX_DEFERRAL_SECONDS:
            asyncio.get_running_loop().call_later(seconds, self.add, handles)
        else:
            _LOG.info(
                "results not freed",
                extra={"fault": "the target takes no calls", "count": len(handles)},
            )

    def _start(
        self, target: PoolTarget, connections: ConnectionPool, handles: Sequence[str]
    ) -> None:
        task = start_task(self._release(target, connections, handles), "call to a pool target")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _release(
        self, target: PoolTarget, connections: ConnectionPool, handles: Sequence[str]
    ) -> None:
        try:
            await self._calls.free(target, connections, handles)
        except (DamsonlaneError, TimeoutError) as error:
            # The target evicts the results by itself a few seconds later.
            _LOG.info("results not freed", extra={"fault": str(error), "count": len(handles)})
            return
        # Only now: before the target has freed the memory, it would reject further results.
        for handle in handles:
            target.result_memory.release(handle)
        self._on_memory_freed()
