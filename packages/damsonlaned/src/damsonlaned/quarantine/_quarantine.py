"""Quarantine of requests that crash targets, and of what they share, at one entry."""

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Awaitable, Callable, Collection, Iterator, Sequence
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane.quarantine import (
    CONFIRMED_SECONDS,
    InterruptedRequest,
    QuarantinedRequest,
    QuarantineList,
    QuarantineRegistry,
    RecentlyServed,
    RecordServed,
    RecordTargetExit,
    is_shared,
)
from damsonlaned.clock import read_clock
from damsonlaned.quarantine._known import KnownQuarantine
from damsonlaned.quarantine._probe import LostTarget
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Longest wait of a request for control to commit the exit of its target, in seconds, before it
#: is sent to another one.  A commit takes some milliseconds; without the wait a crashing request
#: would cost one more target while the report of the third exit is on its way.
MAX_COMMIT_WAIT_SECONDS: Final = 0.25
#: Seconds from the first listing of a shared cause until it counts as quarantined.  Entries that
#: served it recently say so meanwhile.
CONFIRM_SECONDS: Final = 0.2
#: Longest delay of such an answer, in seconds.  The first answers of a large fleet make the others
#: unnecessary.
MAX_ANSWER_DELAY_SECONDS: Final = 0.03
#: Seconds between attempts to send reports while control can't be reached.
RETRY_PAUSE_SECONDS: Final = 0.2
#: Most reports that wait to be sent to control; the oldest are dropped.
MAX_PENDING_REPORTS: Final = 256
#: Shortest time after which the caller of a quarantined request may retry, in seconds.
MIN_RETRY_SECONDS: Final = 1.0
#: Most shared causes that a report names for one request.
MAX_REPORTED_CAUSES: Final = 64

#: A report of an entry to control.
QuarantineReport = RecordTargetExit | RecordServed
#: Commits reports and returns the list after them; raises `UnavailableError` if it can't.
Submit = Callable[[Sequence[QuarantineReport]], Awaitable[QuarantineList]]


class Quarantine:
    """Reports exits of targets to control, and finds quarantined requests.

    Control counts the exits that all entries report and stores them beyond the entries' lifetime.
    While it can't be reached, the exits that this entry observed itself count here.

    Args:
        known: the list received from control.
        submit: commits reports.
    """

    def __init__(self, known: KnownQuarantine, submit: Submit) -> None:
        self._known: Final = known
        self._submit: Final = submit
        #: Reports since control last had all of them.  Emptied once all are committed, since
        #: control may release a request meanwhile.
        self._local = QuarantineRegistry()
        self._served: Final = RecentlyServed()
        self._pending: list[QuarantineReport] = []
        self._all_reported: Final = asyncio.Event()
        self._all_reported.set()
        self._task: asyncio.Task[None] | None = None
        self._watchers: dict[object, tuple[Callable[[], bool], Callable[[], None]]] = {}
        #: Times at which shared causes on the list were first listed.
        self._listed_at: dict[str, float] = {}
        self._answer_timer: asyncio.TimerHandle | None = None
        known.on_change(self._follow_list)

    def find_quarantined(self, names: Collection[str]) -> QuarantinedRequest | None:
        """Return what is quarantined of a request, or None if it may be sent to targets.

        Args:
            names: fingerprint of the request, and names of what it shares with others.
        """
        return next(
            (found for found in self._find_listed(names) if self._is_confirmed(found)), None
        )

    def is_list_empty(self) -> bool:
        """Return whether nothing is quarantined or suspected."""
        newest = self._known.newest
        return not (newest.held or newest.suspects or self._pending)

    async def wait_until_confirmed(self, names: Collection[str]) -> None:
        """Wait until it is known whether what a request shares is quarantined."""
        while any(not self._is_confirmed(found) for found in self._find_listed(names)):
            await asyncio.sleep(CONFIRM_SECONDS / 4)

    def is_suspect(self, names: Collection[str]) -> bool:
        """Return whether something is part of several exits, quarantined or not."""
        return bool(self.list_suspects(names))

    def list_suspects(self, names: Collection[str]) -> frozenset[str]:
        """Return those of some names that are part of several exits, quarantined or not."""
        return self._list_names().intersection(names)

    def record_exit(self, lost: LostTarget, runs: Sequence[InterruptedRequest]) -> None:
        """Record the exit of a target with the requests that were interrupted there.

        Args:
            lost: the incarnation that exited.
            runs: the requests; what was served recently is left out of them.
        """
        now = asyncio.get_running_loop().time()
        names = {name for run in runs for name in run.names}
        for name in names:
            self._served.record_exit(name, now)
        served = {name for name in names if self._served.contains(name, now)}
        reduced = [run.without(served) for run in runs]
        suspects = tuple(run.limit_shared(MAX_REPORTED_CAUSES) for run in reduced if run.names)
        if not suspects:
            return
        at = round(time.time(), 3)
        self._report(
            RecordTargetExit(
                target=lost.target,
                start=lost.start,
                is_name_kept=lost.is_name_kept,
                runs=suspects,
                at=at,
            )
        )

    def record_served(self, names: Collection[str]) -> None:
        """Record what a target served: a request, and what it shares with others."""
        now = asyncio.get_running_loop().time()
        for name in names:
            self._served.record(name, now)
        if self.is_list_empty():
            return
        listed = sorted(self._list_names().intersection(names))
        if listed:
            self._report(RecordServed(fingerprints=tuple(listed)))

    async def wait_until_reported(self, names: Collection[str]) -> None:
        """Wait for a limited time until control has committed all reports of this entry.

        Returns at once if none of the names is a suspect: one more exit does not quarantine them.
        """
        if not self.is_suspect(names):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_COMMIT_WAIT_SECONDS):
                await self._all_reported.wait()

    @contextlib.contextmanager
    def watch(
        self, is_quarantined: Callable[[], bool], notify: Callable[[], None]
    ) -> Iterator[None]:
        """Return a context in which a function is called when a request is quarantined.

        Args:
            is_quarantined: returns whether the request is.
            notify: the function; it may be called more than once.
        """
        key = object()
        self._watchers[key] = (is_quarantined, notify)
        try:
            yield
        finally:
            del self._watchers[key]

    async def stop(self) -> None:
        """Stop sending reports to control."""
        if self._answer_timer is not None:
            self._answer_timer.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _report(self, report: QuarantineReport) -> None:
        """Queue a report for control, and count it locally until it is committed."""
        self._local.apply(report)
        self._pending = [*self._pending, report][-MAX_PENDING_REPORTS:]
        self._all_reported.clear()
        self._follow_list()
        if self._task is None or self._task.done():
            self._task = start_task(self._send_reports(), "reporting exits of targets")

    async def _send_reports(self) -> None:
        while self._pending:
            reports = tuple(self._pending)
            try:
                quarantined = await self._submit(reports)
            except UnavailableError as error:
                _LOG.info(
                    "could not report exits of targets to control; retrying",
                    extra={"fault": str(error)},
                )
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                continue
            self._pending = [report for report in self._pending if report not in reports]
            self._known.put(quarantined)
        self._local = QuarantineRegistry()
        self._all_reported.set()

    def _lists(self) -> list[QuarantineList]:
        """Return the lists in force: that of control, and exits that it does not have yet."""
        if not self._pending:
            return [self._known.newest]
        return [self._known.newest, self._local.list_for_entries()]

    def _list_names(self) -> frozenset[str]:
        """Return all names that are quarantined or suspected."""
        return frozenset(
            name
            for known in self._lists()
            for name in (*known.suspects, *(name for held in known.held for name in held.names))
        )

    def _find_listed(self, names: Collection[str]) -> Iterator[QuarantinedRequest]:
        for known in self._lists():
            for quarantined in known.held:
                if all(name in names for name in quarantined.names):
                    yield quarantined

    def _is_confirmed(self, quarantined: QuarantinedRequest) -> bool:
        """Return whether entries have had the time to say that they served a shared cause."""
        if not is_shared(quarantined.fingerprint):
            return True
        # Callers' threads of pipelines, which have no loop, call this too.
        now = read_clock()
        return now - self._listed_at.get(quarantined.fingerprint, now) >= CONFIRM_SECONDS

    def _follow_list(self) -> None:
        """Follow a change of the lists: answer for what was served, and notify requests."""
        loop = asyncio.get_running_loop()
        now = read_clock()
        listed = [name for name in self._list_names() if is_shared(name)]
        has_new = any(name not in self._listed_at for name in listed)
        self._listed_at = {name: self._listed_at.get(name, now) for name in listed}
        if has_new:
            loop.call_later(CONFIRM_SECONDS, self._notify_watchers)
            if self._answer_timer is None:
                delay = random.uniform(0, MAX_ANSWER_DELAY_SECONDS)
                self._answer_timer = loop.call_later(delay, self._answer_for_served)
        self._notify_watchers()

    def _answer_for_served(self) -> None:
        """Report what is listed although targets served it for this entry recently."""
        self._answer_timer = None
        now = asyncio.get_running_loop().time()
        served = sorted(
            name
            for name in self._listed_at
            if self._served.contains(name, now, within=CONFIRMED_SECONDS)
        )
        if served:
            _LOG.info("answering for what targets served recently", extra={"names": served})
            self._report(RecordServed(fingerprints=tuple(served)))

    def _notify_watchers(self) -> None:
        if not any(known.held for known in self._lists()):
            return
        for is_quarantined, notify in list(self._watchers.values()):
            if is_quarantined():
                notify()


def find_retry_seconds(quarantined: QuarantinedRequest) -> float:
    """Return the seconds after which the caller of a quarantined request may retry."""
    return max(MIN_RETRY_SECONDS, round(quarantined.until - time.time(), 1))


def describe_quarantined(quarantined: QuarantinedRequest) -> str:
    """Return why a request is quarantined, for its caller."""
    what = "this request"
    if is_shared(quarantined.fingerprint):
        what = f"requests with {quarantined.fingerprint.partition('@')[0]}"
    return f"{quarantined.ends} targets ended while they had {what}"
