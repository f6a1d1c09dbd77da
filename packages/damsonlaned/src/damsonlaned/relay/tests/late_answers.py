"""Boxes that are late to say whether they reach targets."""

import asyncio
import contextlib
from collections.abc import Iterator
from unittest import mock

from damsonlane_rpc import ReachQuery, ReachReply
from damsonlaned.relay import ReachMonitor
from damsonlaned.relay._path_prober import ANSWER_SECONDS


@contextlib.contextmanager
def delay_first_answer(reach: ReachMonitor) -> Iterator[None]:
    """Have a box answer the first question about a path when nobody waits for it any more."""
    answer = reach.answer
    delays = [2 * ANSWER_SECONDS]

    async def answer_late_once(query: ReachQuery) -> ReachReply:
        if delays:
            await asyncio.sleep(delays.pop())
        return await answer(query)

    with mock.patch.object(reach, "answer", answer_late_once):
        yield
