"""Finding out whether a target under which answers broke off has ended."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.quarantine import BrokenRun
from damsonlaned.gateway._view import FleetView
from damsonlaned.quarantine import LOOK_AGAIN_SECONDS, LostTarget, refuses_connections
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which word of control that a target started again is put down to what broke off
#: there: targets that end come back after a few seconds.
DOUBT_SECONDS: Final = 8.0

#: Takes a start of a target that has ended, with what broke off there.
TakeEnd = Callable[[LostTarget, Sequence[BrokenRun]], None]


class EndedTargets:
    """Tells targets that ended from single connections that broke.

    A connection breaks for many reasons; only what ended the target is word against the
    requests that it had.  A target has ended if it refuses a new connection, or if control
    says soon after that it has started again or another one has its address.  Silence alone is
    no end: a cut of the network leaves requests without answer at many targets at once, and
    their callers' later tries would be refused.

    Args:
        view: what control says of targets.
        take_end: told once or more of each start that has ended.
    """

    def __init__(self, view: FleetView, take_end: TakeEnd) -> None:
        self._view: Final = view
        self._take_end: Final = take_end
        self._doubts: dict[LostTarget, list[BrokenRun]] = {}
        self._looks: dict[LostTarget, asyncio.Task[bool]] = {}
        self._later: dict[LostTarget, asyncio.Task[None]] = {}
        view.on_change(self._follow_view)

    async def note_broken(self, lost: LostTarget, runs: Sequence[BrokenRun]) -> bool:
        """Note answers that broke off; tell whether the target is known to have ended.

        A target that left, or says that it leaves, ends as planned: that is word against nobody.
        """
        if not self._doubt(lost, runs):
            return False
        if self._is_replaced(lost):
            self._settle(lost, "it started again")
            return True
        if await asyncio.shield(self._look(lost)):
            self._settle(lost, "it refuses connections")
            return True
        self._look_again(lost)
        return False

    def note_silent(self, lost: LostTarget, runs: Sequence[BrokenRun]) -> None:
        """Note answers that did not come: only word of control will tell why."""
        self._doubt(lost, runs)

    def _doubt(self, lost: LostTarget, runs: Sequence[BrokenRun]) -> bool:
        """Keep what was lost for a while; tell whether the target should still be there."""
        if not self._should_be_there(lost):
            return False
        self._doubts.setdefault(lost, []).extend(runs)
        asyncio.get_running_loop().call_later(DOUBT_SECONDS, self._forget, lost, tuple(runs))
        return True

    def _should_be_there(self, lost: LostTarget) -> bool:
        """Tell whether control lists a target that neither it nor control says is leaving."""
        record = self._view.find_target(lost.target)
        if record is None or record.standing == "leaving":
            return False
        return not self._view.notices.is_leaving(record)

    def _look(self, lost: LostTarget) -> "asyncio.Task[bool]":
        """Return the look at a target that is under way, or begin one."""
        task = self._looks.get(lost)
        if task is None:
            task = start_task(refuses_connections(lost.address), "looking for a target")
            self._looks[lost] = task
            task.add_done_callback(lambda _: self._looks.pop(lost, None))
        return task

    def _look_again(self, lost: LostTarget) -> None:
        """Look once more a little later, for which no request waits.

        A process that ends may still listen while its other connections are closed already.
        """
        if lost not in self._later:
            self._later[lost] = start_task(self._look_later(lost), "looking for a target again")
            self._later[lost].add_done_callback(lambda _: self._later.pop(lost, None))

    async def _look_later(self, lost: LostTarget) -> None:
        await asyncio.sleep(LOOK_AGAIN_SECONDS)
        if self._should_be_there(lost) and await asyncio.shield(self._look(lost)):
            self._settle(lost, "it refuses connections")

    def _follow_view(self) -> None:
        for lost in list(self._doubts):
            if self._is_replaced(lost):
                self._settle(lost, "it started again")

    def _is_replaced(self, lost: LostTarget) -> bool:
        """Tell whether a target started again, or another one has its address."""
        record = self._view.find_target(lost.target)
        if record is None:
            return self._view.has_target_at(lost.address)
        return record.start != lost.start

    def _settle(self, lost: LostTarget, evidence: str) -> None:
        """Hand on what broke off at a target that has ended."""
        runs = self._doubts.pop(lost, [])
        if not runs:
            return
        _LOG.warning(
            "target ended",
            extra={
                "target": lost.target,
                "address": lost.address,
                "start": lost.start,
                "evidence": evidence,
                "fingerprints": sorted({run.fingerprint for run in runs}),
            },
        )
        self._take_end(lost, runs)

    def _forget(self, lost: LostTarget, runs: Sequence[BrokenRun]) -> None:
        """Put an end that comes later down to something else than these."""
        left = [run for run in self._doubts.pop(lost, []) if run not in runs]
        if left:
            self._doubts[lost] = left
