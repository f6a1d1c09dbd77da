"""Rate limits of targets at control: replication to all boxes, and permits for pipelines.

Entries of routes choose an owner of each service among themselves, which issues its permits.
Entries of pipelines do not know each other, so the leader of the control group issues theirs.
"""

import asyncio
import logging
from collections.abc import Mapping
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.errors import NotLeaderError, UnavailableError
from damsonlane.ratelimit import (
    PermitIssuer,
    RateLimitReport,
    RateLimitTable,
    RecordRateLimits,
    list_unreported,
)
from damsonlane_rpc import PERMIT, NotLeader, PermitBatchReply, PermitBatchRequest, Permits
from damsonlaned.control._node import ControlNode
from damsonlaned.tasks import start_task, stop_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between commits of changed limits.  Changes of all targets are batched, so a target
#: that announces another limit with each response causes at most two commits a second.
COMMIT_INTERVAL_SECONDS: Final = 0.5
#: Age, in seconds, that a new leader assumes for the replicated limits, so that every report
#: from a box replaces them.
LISTED_AGE_SECONDS: Final = 3_600.0


class RateLimitService:
    """Collects reported rate limits, issues permits, and replicates the limits, at the leader.

    Args:
        node: the control node.
    """

    def __init__(self, node: ControlNode) -> None:
        self._node: Final = node
        self._table = RateLimitTable()
        self._issuer = PermitIssuer(self._table)
        self._term = 0
        self._task: asyncio.Task[None] | None = None

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of calls from boxes, by path."""
        return {PERMIT.path: PERMIT.handler(self._serve)}

    def start(self) -> None:
        """Start committing changed limits."""
        self._task = start_task(self._commit_changes(), "commits of rate limits")

    async def stop(self) -> None:
        """Stop committing changed limits."""
        if self._task is not None:
            await stop_task(self._task)

    async def _serve(self, stream: Stream[PermitBatchRequest, PermitBatchReply]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._answer(request))

    def _answer(self, request: PermitBatchRequest) -> PermitBatchReply:
        replica = self._node.replica
        if replica is None or not replica.is_leader:
            leader = replica.leader_address() if replica is not None else ""
            return PermitBatchReply(outcome=NotLeader(leader=leader))
        self._begin_term(replica.term)
        now = self._node.now()
        for report in request.words:
            if self._table.record(report, now):
                # Starts to fill the token bucket now, not at the first request for a permit.
                self._issuer.wait_seconds(report.named, 1.0, now)
        issued = (self._issuer.issue(request.service, order, 1.0, now) for order in request.orders)
        return PermitBatchReply(outcome=Permits(permits=tuple(issued)))

    def _begin_term(self, term: int) -> None:
        """Reset to the replicated limits at the first request in a new term of this leader.

        The permits that the previous leader issued are not known here, so every token bucket
        starts empty.
        """
        if term == self._term:
            return
        self._term = term
        self._table = RateLimitTable()
        self._issuer = PermitIssuer(self._table)
        for report in self._node.state.rate_limits.list_all().words:
            self._table.record(
                RateLimitReport(named=report.named, rate=report.rate, age=LISTED_AGE_SECONDS),
                self._node.now(),
            )

    async def _commit_changes(self) -> None:
        while True:
            await asyncio.sleep(COMMIT_INTERVAL_SECONDS)
            replica = self._node.replica
            if replica is None or not replica.is_leader or replica.term != self._term:
                continue
            replicated = self._node.state.rate_limits.list_all()
            reports = list_unreported(self._table, replicated, self._node.now())
            if reports:
                await self._commit(reports)

    async def _commit(self, reports: tuple[RateLimitReport, ...]) -> None:
        try:
            await self._node.submit([RecordRateLimits(words=reports)])
        except (NotLeaderError, UnavailableError) as error:
            # The next turn of the loop commits them.
            _LOG.info("rate limits not committed", extra={"fault": str(error)})
