"""Probes of targets by this box and, at the same time, by others."""

import asyncio
import logging
import ssl
from collections.abc import Mapping, Sequence
from typing import Final

from grpclib.client import Channel

from damsonlane.reach import ProbeResult, is_reached_better
from damsonlane.records import dataclass
from damsonlane.targets import TargetRecord
from damsonlane_rpc import CALL_ERRORS, REACH, ReachQuery, ReachReply, open_channel
from damsonlaned.connections import Reserve, reserve_any
from damsonlaned.relay._probe import probe_target
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds in which another box must answer: two time-outs of its probes, and the way.
ANSWER_SECONDS: Final = 0.7
#: Seconds for which the result of a probe is kept for other boxes that ask.
RESULT_SECONDS: Final = 0.3


@dataclass(frozen=True, kw_only=True)
class Comparison:
    """What this box and others reached at the same time."""

    #: Results of this box, by target.
    own: Mapping[str, ProbeResult]
    #: Addresses of the other boxes that did not answer in time.
    silent: tuple[str, ...]
    #: Addresses of those that got further than this one.
    reached_by: tuple[str, ...]
    #: Addresses of further boxes that reach the service, by the word of those that were asked.
    hints: tuple[str, ...]


class PathProber:
    """Probes targets, and has other boxes probe them.

    Args:
        context: TLS context towards other boxes, or None.
    """

    def __init__(self, context: ssl.SSLContext | None) -> None:
        self._context: Final = context
        self._probes: dict[str, asyncio.Task[ProbeResult | None]] = {}
        #: Leaves room for the connection of a probe; yields whether there is any.
        self.reserve: Reserve = reserve_any
        self._channels: dict[str, Channel] = {}

    async def compare(
        self,
        service: str,
        health_path: str,
        records: Sequence[TargetRecord],
        asked: Sequence[str],
    ) -> Comparison:
        """Probe targets, and have other boxes do the same at this moment.

        Args:
            service: their service.
            health_path: path of their health check; empty if they have none.
            records: the targets.
            asked: addresses of the other boxes.
        """
        query = ReachQuery(service=service, targets=tuple(record.target for record in records))
        own, replies = await asyncio.gather(
            self.probe(health_path, records, is_fresh=True),
            asyncio.gather(*(self._ask(address, query) for address in asked)),
        )
        # Connections in use show as much of a target without room for the one of a probe.
        unprobed = {record.target: ProbeResult.CONNECTED for record in records}
        answers = {
            address: reply
            for address, reply in zip(asked, replies, strict=True)
            if reply is not None
        }
        better = tuple(
            address
            for address, reply in answers.items()
            if is_reached_better(reply.results, unprobed | dict(own))
        )
        return Comparison(
            own=own,
            silent=tuple(address for address in asked if address not in answers),
            reached_by=better,
            hints=tuple(address for reply in answers.values() for address in reply.reached_by),
        )

    async def stop(self) -> None:
        """Stop all probes and close the connections to other boxes."""
        tasks = list(self._probes.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for channel in self._channels.values():
            channel.close()

    async def _ask(self, address: str, query: ReachQuery) -> ReachReply | None:
        """Return the reply of another box; None if it does not answer in time."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = open_channel(address, self._context)
        try:
            return await REACH.unary(channel)(query, timeout=ANSWER_SECONDS)
        except CALL_ERRORS as error:
            self._channels.pop(address, channel).close()
            fields = {"address": address, "fault": str(error) or type(error).__name__}
            _LOG.info("no answer about the path to targets", extra=fields)
            return None

    async def probe(
        self, health_path: str, records: Sequence[TargetRecord], *, is_fresh: bool = False
    ) -> Mapping[str, ProbeResult]:
        """Return the results of probes by target, without those that had no room for a connection.

        Args:
            health_path: path of their health check; empty if they have none.
            records: the targets.
            is_fresh: whether results of earlier probes are not used.
        """
        tasks = [self._probe(record, health_path, is_fresh=is_fresh) for record in records]
        results = await asyncio.gather(*(asyncio.shield(task) for task in tasks))
        return {
            record.target: result
            for record, result in zip(records, results, strict=True)
            if result is not None
        }

    def _probe(
        self, record: TargetRecord, health_path: str, *, is_fresh: bool
    ) -> "asyncio.Task[ProbeResult | None]":
        """Return a recent probe of a target, or start one."""
        task = self._probes.get(record.address)
        if task is None or (is_fresh and task.done()):
            task = start_task(self._run_probe(record, health_path), "probing a target")
            self._probes[record.address] = task
            asyncio.get_running_loop().call_later(
                RESULT_SECONDS, self._drop_probe, record.address, task
            )
        return task

    async def _run_probe(self, record: TargetRecord, health_path: str) -> ProbeResult | None:
        """Probe a target within its limit of connections; return None where that is reached."""
        async with self.reserve(record) as has_room:
            return await probe_target(record.address, health_path) if has_room else None

    def _drop_probe(self, address: str, task: "asyncio.Task[ProbeResult | None]") -> None:
        if self._probes.get(address) is task:
            del self._probes[address]
