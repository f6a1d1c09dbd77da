"""Keeping requests that end targets from them, at one entry."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane.quarantine import (
    BrokenRun,
    HeldRequest,
    NoteSurvived,
    NoteTargetEnd,
    QuarantineBook,
    QuarantineList,
    RecentlyServed,
)
from damsonlaned.quarantine._known import KnownQuarantine
from damsonlaned.quarantine._probe import LostTarget
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which a request waits until control knows of the target that ended under it,
#: before it goes to another one.  A commit takes some milliseconds; without the wait one more
#: target ended under each deadly request, while word of the third was on its way.
SETTLE_SECONDS: Final = 0.25
#: Seconds between attempts to tell control, while it can't be reached.
PAUSE_SECONDS: Final = 0.2
#: Reports that wait for control at most; the oldest are given up.
MOST_WAITING: Final = 256
#: Seconds after which a caller of a request that is held may come back, at the least.
LEAST_RETRY_SECONDS: Final = 1.0

#: What an entry tells control.
Report = NoteTargetEnd | NoteSurvived
#: Commits reports and returns the list that holds then; raises `UnavailableError` if it can't.
Submit = Callable[[Sequence[Report]], Awaitable[QuarantineList]]


class Quarantine:
    """Tells control what ended targets, and entries' requests whether they are held.

    Control counts for all entries and keeps it over their lives.  While it can't be reached,
    what this entry saw itself counts here.

    Args:
        known: what control says.
        submit: commits reports.
    """

    def __init__(self, known: KnownQuarantine, submit: Submit) -> None:
        self._known: Final = known
        self._submit: Final = submit
        #: What control does not know yet; what it knows may be released there meanwhile.
        self._own = QuarantineBook()
        self._served: Final = RecentlyServed()
        self._waiting: list[Report] = []
        self._told: Final = asyncio.Event()
        self._told.set()
        self._task: asyncio.Task[None] | None = None
        self._watches: dict[str, list[Callable[[], None]]] = {}
        known.on_change(self._tell_watches)

    def find_held(self, fingerprint: str) -> HeldRequest | None:
        """Return a request as it is held, or None if it may go to targets."""
        lists = [self._known.newest]
        if self._waiting:
            lists.append(self._own.list_for_entries())
        for known in lists:
            for request in known.held:
                if request.fingerprint == fingerprint:
                    return request
        return None

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether targets ended under a request that is not held."""
        return fingerprint in self._known.newest.suspects

    def take_end(self, lost: LostTarget, runs: Sequence[BrokenRun]) -> None:
        """Take a target that ended, with what broke off there."""
        now = asyncio.get_running_loop().time()
        suspects = tuple(run for run in runs if not self._served.contains(run.fingerprint, now))
        if not suspects:
            return
        at = round(time.time(), 3)
        self._tell(
            NoteTargetEnd(
                target=lost.target,
                start=lost.start,
                is_name_kept=lost.is_name_kept,
                runs=suspects,
                at=at,
            )
        )

    def note_served(self, fingerprint: str) -> None:
        """Note a request that a target served to a good end."""
        self._served.record(fingerprint, asyncio.get_running_loop().time())
        if self.is_suspect(fingerprint) or self.find_held(fingerprint) is not None:
            self._tell(NoteSurvived(fingerprints=(fingerprint,)))

    async def settle(self, *fingerprints: str) -> None:
        """Wait until control knows what this entry told, but not for long.

        Nobody waits for requests that are no suspects: one more end does not hold them.
        """
        own = self._own.list_for_entries()
        if not any(self.is_suspect(name) or name in own.suspects for name in fingerprints):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_SECONDS):
                await self._told.wait()

    @contextlib.contextmanager
    def watch(self, fingerprint: str, tell: Callable[[], None]) -> Iterator[None]:
        """Have a function called if a request is held from now on, as long as the block lasts."""
        watches = self._watches.setdefault(fingerprint, [])
        watches.append(tell)
        try:
            yield
        finally:
            watches.remove(tell)
            if not watches and self._watches.get(fingerprint) is watches:
                del self._watches[fingerprint]

    async def stop(self) -> None:
        """Tell control no more."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _tell(self, report: Report) -> None:
        """Have control told, and count by what this entry knows until then."""
        self._own.apply(report)
        self._waiting = [*self._waiting, report][-MOST_WAITING:]
        self._told.clear()
        self._tell_watches()
        if self._task is None or self._task.done():
            self._task = start_task(self._tell_control(), "telling which targets ended")

    async def _tell_control(self) -> None:
        while self._waiting:
            reports = tuple(self._waiting)
            try:
                held = await self._submit(reports)
            except UnavailableError as error:
                _LOG.info("ends of targets not told", extra={"fault": str(error)})
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            self._waiting = [report for report in self._waiting if report not in reports]
            self._known.put(held)
        self._own = QuarantineBook()
        self._told.set()

    def _tell_watches(self) -> None:
        for fingerprint, watches in list(self._watches.items()):
            if self.find_held(fingerprint) is not None:
                for tell in list(watches):
                    tell()


def find_retry_seconds(held: HeldRequest) -> float:
    """Return the seconds after which the caller of a request that is held may come back."""
    return max(LEAST_RETRY_SECONDS, round(held.until - time.time(), 1))
