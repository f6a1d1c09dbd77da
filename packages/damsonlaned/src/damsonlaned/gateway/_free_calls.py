"""Giving results up at the targets of a pool that made them."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.errors import DamsonlaneError
from damsonlaned.gateway._freed_results import FreedResults
from damsonlaned.gateway._makers import Maker, Makers
from damsonlaned.gateway._pool_calls import PoolCalls
from damsonlaned.http import ConnectionPool
from damsonlaned.tasks import start_task

#: Lines of the log keep the name under which operators know them.
_LOG: Final = logging.getLogger("damsonlaned.gateway._pool_owner")

#: Longest back-off of a target, in seconds, after which results are still given up there:
#: targets forget them by themselves after 4 to 5 s.
LONGEST_PUT_OFF_SECONDS: Final = 5.0
#: Least seconds between two such calls to a target with a rate limit, and the calls that may
#: make pieces there for each of them: they take of what the target named.
LIMITED_PAUSE_SECONDS: Final = 1.0
CALLS_PER_FREE: Final = 3
#: Seconds from one call to the next from which on results are not given up at such a target: it
#: forgets them before the room is needed.
LONGEST_GAP_SECONDS: Final = 1.0


class FreeCalls:
    """Tells the targets of a pool which of their results were given up.

    Args:
        read_maker: returns the address of the target that has a result, by its handle.
        calls: calls to the targets.
        makers: the targets.
        reach: returns the connections to a target, or None where there are none.
        on_room: called when a target has room again.
    """

    def __init__(
        self,
        read_maker: Callable[[str], str],
        calls: PoolCalls,
        makers: Makers,
        reach: Callable[[Maker], ConnectionPool | None],
        on_room: Callable[[], None],
    ) -> None:
        self._calls: Final = calls
        self._makers: Final = makers
        self._reach: Final = reach
        self._on_room: Final = on_room
        self._freed: Final = FreedResults(read_maker, self._send)
        self._tasks: Final[set[asyncio.Task[None]]] = set()
        self._freed_at: Final[dict[TargetStart, float]] = {}

    def add(self, handles: Sequence[str]) -> None:
        """Give results up a moment later, together with others."""
        self._freed.add(handles)

    def _send(self, freed: Mapping[str, Sequence[str]]) -> None:
        """Start a call to each target that has some of the results, given by its address."""
        for maker in self._makers.everyone():
            handles = freed.get(maker.address)
            connections = self._reach(maker) if handles else None
            if not handles or connections is None:
                continue
            left = self._find_left(maker)
            if left > 0:
                self._put_off(handles, left)
            else:
                self._count(maker)
                self._start(maker, connections, handles)

    def _count(self, maker: Maker) -> None:
        """Count a call to a target that has a rate limit."""
        if maker.gap_seconds() > 0:
            maker.take_permit()
            self._freed_at[maker.named] = asyncio.get_running_loop().time()

    def _find_left(self, maker: Maker) -> float:
        """Return the seconds until a target may be told of results that were given up."""
        left = maker.backoff_seconds()
        gap = maker.gap_seconds()
        if left > 0 or gap <= 0:
            return left
        if gap > LONGEST_GAP_SECONDS:
            return LONGEST_PUT_OFF_SECONDS
        now = asyncio.get_running_loop().time()
        pause = max(LIMITED_PAUSE_SECONDS, CALLS_PER_FREE * gap)
        due_at = self._freed_at.get(maker.named, 0.0) + pause
        return max(maker.rate_wait_seconds(), due_at - now)

    def _put_off(self, handles: Sequence[str], seconds: float) -> None:
        """Give results up once their maker takes calls again, unless it forgets them before."""
        if seconds < LONGEST_PUT_OFF_SECONDS:
            asyncio.get_running_loop().call_later(seconds, self.add, handles)
        else:
            _LOG.info(
                "results not freed",
                extra={"fault": "the target takes no calls", "count": len(handles)},
            )

    def _start(self, maker: Maker, connections: ConnectionPool, handles: Sequence[str]) -> None:
        task = start_task(self._free_at(maker, connections, handles), "call to a pool target")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _free_at(
        self, maker: Maker, connections: ConnectionPool, handles: Sequence[str]
    ) -> None:
        try:
            await self._calls.free(maker, connections, handles)
        except (DamsonlaneError, TimeoutError) as error:
            # The target forgets results by itself a few seconds later.
            _LOG.info("results not freed", extra={"fault": str(error), "count": len(handles)})
            return
        # Only now is the room there: a call that came before would be refused it.
        for handle in handles:
            maker.room.free(handle)
        self._on_room()
