"""Detect whether a target has exited after responses of it were lost."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from damsonlane.quarantine import InterruptedRequest
from damsonlaned.connections import Reserve, reserve_any
from damsonlaned.gateway._view import FleetView
from damsonlaned.quarantine import SECOND_PROBE_SECONDS, LostTarget, refuses_connections
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which a lost response is kept: a restart of the target that control reports within
#: this time is attributed to the requests that were lost.  Targets restart within a few seconds.
LOSS_RETENTION_SECONDS: Final = 8.0

#: Takes an incarnation of a target that has exited, with the requests lost there.
ExitCallback = Callable[[LostTarget, Sequence[InterruptedRequest]], None]


class ExitDetector:
    """Distinguishes targets that exited from single connections that broke.

    A connection breaks for many reasons; only the exit of the target counts against the requests
    that it had.  A target has exited if it refuses a new connection, or if control soon reports
    that it restarted or that another target has its address.  A time-out alone is no exit: a
    network partition leaves requests at many targets without a response, and quarantining them
    would refuse their callers' retries.

    Args:
        view: targets as control lists them.
        on_exit: called at least once for each incarnation that has exited.
        is_reached: returns whether this box reaches a service, after a check if that is in doubt:
            a box without a path to targets can't tell whether they exited.
    """

    def __init__(
        self,
        view: FleetView,
        on_exit: ExitCallback,
        is_reached: Callable[[str], Awaitable[bool]] | None = None,
    ) -> None:
        self._is_reached: Final = is_reached
        self._view: Final = view
        self._on_exit: Final = on_exit
        self._losses: dict[LostTarget, list[InterruptedRequest]] = {}
        self._probes: dict[LostTarget, asyncio.Task[bool]] = {}
        self._delayed_probes: dict[LostTarget, asyncio.Task[None]] = {}
        #: Leaves room for the connection of a probe.
        self.reserve: Reserve = reserve_any
        view.on_change(self._follow_view)

    async def report_broken(self, lost: LostTarget, runs: Sequence[InterruptedRequest]) -> bool:
        """Record broken responses; return whether the target is known to have exited.

        A target that is draining or no longer listed exits as planned, which counts against no
        request.
        """
        if not self._record_loss(lost, runs):
            return False
        if self._is_replaced(lost):
            self._report_exit(lost, "the target restarted or was replaced")
            return True
        if await asyncio.shield(self._probe(lost)):
            if not await self._has_path(lost):
                return False
            self._report_exit(lost, "the target refuses connections")
            return True
        self._schedule_probe(lost)
        return False

    def report_silent(self, lost: LostTarget, runs: Sequence[InterruptedRequest]) -> None:
        """Record responses that timed out: only a report of control shows whether it exited."""
        self._record_loss(lost, runs)

    def _record_loss(self, lost: LostTarget, runs: Sequence[InterruptedRequest]) -> bool:
        """Record a loss for a while; return whether the target is expected to run."""
        if not self._is_expected_to_run(lost):
            return False
        self._losses.setdefault(lost, []).extend(runs)
        asyncio.get_running_loop().call_later(
            LOSS_RETENTION_SECONDS, self._forget, lost, tuple(runs)
        )
        return True

    def _is_expected_to_run(self, lost: LostTarget) -> bool:
        """Return whether control lists the target and nothing says that it is draining."""
        record = self._view.find_target(lost.target)
        if record is None or record.standing == "leaving":
            return False
        return not self._view.announcements.is_draining(record)

    def _probe(self, lost: LostTarget) -> "asyncio.Task[bool]":
        """Return the probe of a target that is under way, or start one."""
        task = self._probes.get(lost)
        if task is None:
            task = start_task(self._run_probe(lost), "probing a target")
            self._probes[lost] = task
            task.add_done_callback(lambda _: self._probes.pop(lost, None))
        return task

    async def _run_probe(self, lost: LostTarget) -> bool:
        """Return whether a target refuses connections; one with all of them in use does not."""
        record = self._view.find_target(lost.target)
        if record is None:
            return await refuses_connections(lost.address)
        async with self.reserve(record) as has_room:
            return has_room and await refuses_connections(lost.address)

    def _schedule_probe(self, lost: LostTarget) -> None:
        """Schedule another probe, for which no request waits.

        An exiting process may still listen after its other connections are closed.
        """
        if lost not in self._delayed_probes:
            self._delayed_probes[lost] = start_task(
                self._probe_later(lost), "probing a target again"
            )
            self._delayed_probes[lost].add_done_callback(
                lambda _: self._delayed_probes.pop(lost, None)
            )

    async def _probe_later(self, lost: LostTarget) -> None:
        await asyncio.sleep(SECOND_PROBE_SECONDS)
        if not self._is_expected_to_run(lost) or not await asyncio.shield(self._probe(lost)):
            return
        if await self._has_path(lost):
            self._report_exit(lost, "the target refuses connections")

    async def _has_path(self, lost: LostTarget) -> bool:
        """Return whether this box reaches the other targets of the service."""
        record = self._view.find_target(lost.target)
        if record is None or self._is_reached is None:
            return True
        return await self._is_reached(record.service)

    def _follow_view(self) -> None:
        for lost in list(self._losses):
            if self._is_replaced(lost):
                self._report_exit(lost, "the target restarted or was replaced")

    def _is_replaced(self, lost: LostTarget) -> bool:
        """Return whether a target restarted, or another one has its address."""
        record = self._view.find_target(lost.target)
        if record is None:
            return self._view.has_target_at(lost.address)
        return record.start != lost.start

    def _report_exit(self, lost: LostTarget, evidence: str) -> None:
        """Report the requests that were lost at a target that has exited."""
        runs = self._losses.pop(lost, [])
        if not runs:
            return
        _LOG.warning(
            "target exited",
            extra={
                "target": lost.target,
                "address": lost.address,
                "start": lost.start,
                "evidence": evidence,
                "fingerprints": sorted({run.fingerprint for run in runs}),
            },
        )
        self._on_exit(lost, runs)

    def _forget(self, lost: LostTarget, runs: Sequence[InterruptedRequest]) -> None:
        """Drop losses, so that a later exit is not attributed to them."""
        remaining = [run for run in self._losses.pop(lost, []) if run not in runs]
        if remaining:
            self._losses[lost] = remaining
