"""Quarantine of requests that crash targets, at one entry."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane.quarantine import (
    InterruptedRequest,
    QuarantinedRequest,
    QuarantineList,
    QuarantineRegistry,
    RecentlyServed,
    RecordServed,
    RecordTargetExit,
)
from damsonlaned.quarantine._known import KnownQuarantine
from damsonlaned.quarantine._probe import LostTarget
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Longest wait of a request for control to commit the exit of its target, in seconds, before it
#: is sent to another one.  A commit takes some milliseconds; without the wait a crashing request
#: would cost one more target while the report of the third exit is on its way.
MAX_COMMIT_WAIT_SECONDS: Final = 0.25
#: Seconds between attempts to send reports while control can't be reached.
RETRY_PAUSE_SECONDS: Final = 0.2
#: Most reports that wait to be sent to control; the oldest are dropped.
MAX_PENDING_REPORTS: Final = 256
#: Shortest time after which the caller of a quarantined request may retry, in seconds.
MIN_RETRY_SECONDS: Final = 1.0

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
        self._watchers: dict[str, list[Callable[[], None]]] = {}
        known.on_change(self._notify_watchers)

    def find_quarantined(self, fingerprint: str) -> QuarantinedRequest | None:
        """Return a quarantined request, or None if it may be sent to targets."""
        lists = [self._known.newest]
        if self._pending:
            lists.append(self._local.list_for_entries())
        for known in lists:
            for request in known.held:
                if request.fingerprint == fingerprint:
                    return request
        return None

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request that is not quarantined is part of several exits."""
        return fingerprint in self._known.newest.suspects

    def record_exit(self, lost: LostTarget, runs: Sequence[InterruptedRequest]) -> None:
        """Record the exit of a target with the requests that were interrupted there.

        Args:
            lost: the incarnation that exited.
            runs: the requests; those that were served recently are left out.
        """
        now = asyncio.get_running_loop().time()
        suspects = tuple(run for run in runs if not self._served.contains(run.fingerprint, now))
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

    def record_served(self, fingerprint: str) -> None:
        """Record a request that a target served."""
        self._served.record(fingerprint, asyncio.get_running_loop().time())
        if self.is_suspect(fingerprint) or self.find_quarantined(fingerprint) is not None:
            self._report(RecordServed(fingerprints=(fingerprint,)))

    async def wait_until_reported(self, *fingerprints: str) -> None:
        """Wait for a limited time until control has committed all reports of this entry.

        Returns at once if none of the requests is a suspect: one more exit does not quarantine
        them.
        """
        local = self._local.list_for_entries()
        if not any(self.is_suspect(name) or name in local.suspects for name in fingerprints):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_COMMIT_WAIT_SECONDS):
                await self._all_reported.wait()

    @contextlib.contextmanager
    def watch(self, fingerprint: str, notify: Callable[[], None]) -> Iterator[None]:
        """Return a context in which a function is called when a request is quarantined.

        Args:
            fingerprint: fingerprint of the request.
            notify: the function; it may be called more than once.
        """
        watchers = self._watchers.setdefault(fingerprint, [])
        watchers.append(notify)
        try:
            yield
        finally:
            watchers.remove(notify)
            if not watchers and self._watchers.get(fingerprint) is watchers:
                del self._watchers[fingerprint]

    async def stop(self) -> None:
        """Stop sending reports to control."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _report(self, report: QuarantineReport) -> None:
        """Queue a report for control, and count it locally until it is committed."""
        self._local.apply(report)
        self._pending = [*self._pending, report][-MAX_PENDING_REPORTS:]
        self._all_reported.clear()
        self._notify_watchers()
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

    def _notify_watchers(self) -> None:
        for fingerprint, watchers in list(self._watchers.items()):
            if self.find_quarantined(fingerprint) is not None:
                for notify in list(watchers):
                    notify()


def find_retry_seconds(quarantined: QuarantinedRequest) -> float:
    """Return the seconds after which the caller of a quarantined request may retry."""
    return max(MIN_RETRY_SECONDS, round(quarantined.until - time.time(), 1))
