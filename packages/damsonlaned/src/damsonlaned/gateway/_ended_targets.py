"""Finding out whether a target under which answers broke off has ended."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from damsonlane.quarantine import BrokenRun
from damsonlaned.gateway._view import FleetView
from damsonlaned.quarantine import LostTarget, refuses_connections
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which word of control that a target ended is put down to what broke off there:
#: a target that took its whole box along is missed by its heartbeats only after a few seconds.
DOUBT_SECONDS: Final = 8.0


@dataclass
class _Doubt:
    """A target that may have ended; mutable."""

    #: Whether control had missed its heartbeats before answers broke off.
    was_silent: bool
    #: What broke off.
    runs: list[BrokenRun] = field(default_factory=list)


#: Takes a start of a target that has ended, with what broke off there.
TakeEnd = Callable[[LostTarget, Sequence[BrokenRun]], None]


class EndedTargets:
    """Tells targets that ended from single connections that broke.

    A connection breaks for many reasons; only what ended the target is word against the
    requests that it had.  A target has ended if it refuses a new connection, or if control
    says soon after that it is silent, was replaced or has started again.

    Args:
        view: what control says of targets.
        take_end: told once or more of each start that has ended.
    """

    def __init__(self, view: FleetView, take_end: TakeEnd) -> None:
        self._view: Final = view
        self._take_end: Final = take_end
        self._doubts: dict[LostTarget, _Doubt] = {}
        self._looks: dict[LostTarget, asyncio.Task[bool]] = {}
        view.on_change(self._follow_view)

    async def note_broken(self, lost: LostTarget, runs: Sequence[BrokenRun]) -> bool:
        """Note answers that broke off; tell whether the target is known to have ended.

        A target that left, or says that it leaves, ends as planned: that is word against nobody.
        """
        if not self._doubt(lost, runs):
            return False
        if await asyncio.shield(self._look(lost)):
            self._settle(lost, "it refuses connections")
            return True
        return False

    def note_silent(self, lost: LostTarget, runs: Sequence[BrokenRun]) -> None:
        """Note answers that did not come: only word of control will tell why."""
        self._doubt(lost, runs)

    def _doubt(self, lost: LostTarget, runs: Sequence[BrokenRun]) -> bool:
        """Keep what was lost for a while; tell whether the target should still be there."""
        record = self._view.find_target(lost.target)
        if record is None or record.standing == "leaving":
            return False
        doubt = self._doubts.setdefault(lost, _Doubt(was_silent=record.standing == "silent"))
        doubt.runs.extend(runs)
        asyncio.get_running_loop().call_later(DOUBT_SECONDS, self._forget, lost, tuple(runs))
        return True

    def _look(self, lost: LostTarget) -> "asyncio.Task[bool]":
        """Return the look at a target that is under way, or begin one."""
        task = self._looks.get(lost)
        if task is None:
            task = start_task(refuses_connections(lost.address), "looking for a target")
            self._looks[lost] = task
            task.add_done_callback(lambda _: self._looks.pop(lost, None))
        return task

    def _follow_view(self) -> None:
        for lost, doubt in list(self._doubts.items()):
            if self._is_word_of_end(lost, doubt):
                self._settle(lost, "control says so")

    def _is_word_of_end(self, lost: LostTarget, doubt: _Doubt) -> bool:
        """Tell whether control says that this start of a target ended since answers broke off."""
        record = self._view.find_target(lost.target)
        if record is None or record.start != lost.start:
            return True
        return record.standing == "silent" and not doubt.was_silent

    def _settle(self, lost: LostTarget, evidence: str) -> None:
        """Hand on what broke off at a target that has ended."""
        doubt = self._doubts.pop(lost, None)
        if doubt is None:
            return
        runs = doubt.runs
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
        doubt = self._doubts.get(lost)
        if doubt is None:
            return
        doubt.runs = [run for run in doubt.runs if run not in runs]
        if not doubt.runs:
            del self._doubts[lost]
