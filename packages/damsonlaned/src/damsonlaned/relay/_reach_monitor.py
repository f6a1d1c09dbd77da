"""Finds out whether this box reaches the targets of each service, and announces it if not."""

import asyncio
import contextlib
import logging
import random
import ssl
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final

from damsonlane.reach import (
    FailureKind,
    HelperCandidate,
    HelperChoice,
    ServiceReach,
)
from damsonlane_rpc import ReachQuery, ReachReply
from damsonlaned.connections import Reserve
from damsonlaned.http import ConnectionObserver
from damsonlaned.metrics import Metrics
from damsonlaned.relay._path_checker import Fleet, PathChecker
from damsonlaned.relay._target_observer import TargetObserver
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Boxes that announce a service not to be reached from which the others check it, too.
SHARED_CUT_BOXES: Final = 2
#: Longest time for which a request waits for a check, in seconds.
CHECK_SECONDS: Final = 0.4
#: Seconds between the probes of targets that are not reached: at first, and at most.
FIRST_PROBE_SECONDS: Final = 0.25
MAX_PROBE_SECONDS: Final = 1.0
#: Seconds after which targets are used again if no request came to try them.
IDLE_TRIAL_SECONDS: Final = 2.0


class ReachMonitor:
    """Tracks which services this box reaches.

    Failures at several targets one after another put the path of this box in doubt.  It then
    probes some of these targets, and has other boxes do the same at that moment.  Only if another
    box gets further does this one not reach the service; otherwise the targets have failed.

    Args:
        fleet: targets and entries.
        address: internal address of this box.
        data_centre: its data centre.
        context: TLS context towards other boxes, or None.
        metrics: metrics of the process.
    """

    def __init__(
        self,
        fleet: Fleet,
        address: str,
        data_centre: str,
        context: ssl.SSLContext | None,
        metrics: Metrics,
    ) -> None:
        self._fleet: Final = fleet
        self._checker: Final = PathChecker(fleet, address, data_centre, context)
        self._metrics: Final = metrics
        self._randomness: Final = random.Random()
        self._services: dict[str, ServiceReach] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._recoveries: dict[str, asyncio.Task[None]] = {}
        self._watchers: dict[str, set[Callable[[], None]]] = {}
        #: Services that several boxes announced not to reach.
        self._shared_cuts: set[str] = set()
        self._listeners: list[Callable[[str], None]] = []

    def reserve_by(self, reserve: Reserve) -> None:
        """Have a function leave room for the connections of probes, and yield whether there is."""
        self._checker.prober.reserve = reserve

    @property
    def helpers(self) -> HelperChoice:
        """Chooses the boxes that serve in place of this one."""
        return self._checker.helpers

    def choose_helper(self, service: str) -> HelperCandidate | None:
        """Return the box that gets the next request of a service; None if none can take one."""
        return self._checker.choose_helper(service)

    # What others ask.

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call a function with the name of a service after each change of its state."""
        self._listeners.append(listener)

    def is_reached(self, service: str) -> bool:
        """Return whether requests of a service may be sent to its targets."""
        reach = self._services.get(service)
        return reach is None or reach.state == "reached"

    def is_clear(self, service: str) -> bool:
        """Return whether a service is reached and nothing puts that in doubt."""
        reach = self._services.get(service)
        if reach is None:
            return True
        is_doubtful = reach.evidence.is_doubtful(self._checker.list_names(service), self._now())
        return reach.state == "reached" and not is_doubtful

    def list_silent(self, service: str) -> list[str]:
        """Return the targets of a service that took requests here and sent nothing."""
        reach = self._services.get(service)
        if reach is None or not reach.evidence.has_lost_requests():
            return []
        return reach.evidence.list_silent(self._checker.list_names(service), self._now())

    def list_unreached(self) -> tuple[str, ...]:
        """Return the services that this box does not reach, sorted."""
        return tuple(sorted(name for name in self._services if not self.is_reached(name)))

    async def check(self, service: str, seconds: float = CHECK_SECONDS) -> bool:
        """Return whether a service is reached, after a check if that is in doubt.

        Args:
            service: the service.
            seconds: longest time to wait for the check, in seconds.
        """
        reach = self._services.get(service)
        if reach is None:
            return True
        self._check_if_doubtful(service, reach)
        task = self._checks.get(service)
        if task is not None:
            await asyncio.wait({task}, timeout=seconds)
        return reach.state == "reached"

    def is_suspect(self, service: str) -> bool:
        """Return whether only a request to another box can show whether a service is reached.

        Several targets took requests without a response, and no health check tells whether the path
        or the targets are at fault.
        """
        reach = self._services.get(service)
        if reach is None or reach.state != "reached" or self._checker.find_health_path(service):
            return False
        if not self._checker.list_candidates(service):
            return False
        is_doubtful = reach.evidence.is_doubtful(self._checker.list_names(service), self._now())
        return is_doubtful and reach.evidence.has_lost_requests()

    def record_served_elsewhere(self, service: str) -> None:
        """Record that another box got a response to a request which had none here."""
        reach = self._services.get(service)
        if reach is not None and self.is_suspect(service) and reach.confirm(self._now()):
            self._publish(service, reach, "a request was answered at another box")

    def admit_trial(self, service: str) -> bool:
        """Return whether a request may be sent to targets that are perhaps reached again."""
        reach = self._services.get(service)
        return reach is not None and reach.admit_trial(self._now())

    @contextlib.contextmanager
    def watch(self, service: str, callback: Callable[[], None]) -> Iterator[None]:
        """Call a function if a service is found not to be reached in the meantime."""
        watchers = self._watchers.setdefault(service, set())
        watchers.add(callback)
        try:
            yield
        finally:
            watchers.discard(callback)

    def follow_entries(self) -> None:
        """Check services that other boxes have found not to be reached by themselves alone.

        Those that are in doubt here are checked, and all that several boxes announce: of a cut
        that most boxes share, each would otherwise find out by requests that it loses, one owner
        of a pool after the other.
        """
        announced = Counter(name for entry in self._fleet.entries for name in entry.unreached)
        for service in announced:
            reach = self._services.get(service)
            if reach is not None and reach.state == "reached":
                reach.end_dismissal()
                self._check_if_doubtful(service, reach)
        shared = {name for name, count in announced.items() if count >= SHARED_CUT_BOXES}
        for service in shared - self._shared_cuts:
            reach = self._services.setdefault(service, ServiceReach())
            if reach.state == "reached" and self._checker.list_names(service):
                self._start_check(service, reach, is_thorough=True)
        self._shared_cuts = shared

    async def answer(self, query: ReachQuery) -> ReachReply:
        """Probe targets for another box; return nothing if the own path is in doubt."""
        reach = self._services.get(query.service)
        if reach is not None and reach.state != "reached":
            return ReachReply(results={}, reached_by=self._checker.reaching.get(query.service, ()))
        records = self._checker.find_named(query.service, query.targets)
        path = self._checker.find_health_path(query.service)
        return ReachReply(results=await self._checker.prober.probe(path, records))

    async def stop(self) -> None:
        """Stop all checks."""
        tasks = [*self._checks.values(), *self._recoveries.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._checker.stop()

    # Evidence.

    def observe(self, service: str, target: str) -> ConnectionObserver:
        """Return the observer of the connections to a target."""
        return TargetObserver(self, service, target)

    def record_reached(self, service: str, *, is_new: bool) -> None:
        """Record bytes of a target; ``is_new`` if they are the first ones on a connection."""
        reach = self._services.get(service)
        if reach is None:
            reach = self._services[service] = ServiceReach()
        if reach.record_reached(self._now(), is_new=is_new):
            self._publish(service, reach, "a response")

    def record_failed(self, service: str, target: str, kind: FailureKind) -> None:
        """Record that a target was not reached."""
        reach = self._services.setdefault(service, ServiceReach())
        if reach.record_failed(target, kind, self._now()):
            self._publish(service, reach, kind)
        self._check_if_doubtful(service, reach)

    def record_response(self, service: str, seconds: float) -> None:
        """Record after how many seconds the head of a response came."""
        evidence = self._services.setdefault(service, ServiceReach()).evidence
        evidence.record_response(seconds, self._now())

    def record_silent(self, service: str, target: str, sent_at: float) -> None:
        """Record a request without a response, unless that is usual or another target responded."""
        evidence = self._services.setdefault(service, ServiceReach()).evidence
        now = self._now()
        if evidence.record_unanswered(target, sent_at, now):
            self.record_failed(service, target, "silent")

    def record_extra_bytes(self, service: str, target: str) -> None:
        """Count and log a connection that is closed since bytes came that belong to no request."""
        fields = {"service": service, "target": target}
        _LOG.warning("closed a connection with bytes after a whole response", extra=fields)
        self._metrics.extra_bytes.inc(fields)

    # Checks.

    def _check_if_doubtful(self, service: str, reach: ServiceReach) -> None:
        """Start a check of a service whose path is in doubt."""
        if reach.needs_check(self._checker.list_names(service), self._now()):
            self._start_check(service, reach)

    def _start_check(self, service: str, reach: ServiceReach, *, is_thorough: bool = False) -> None:
        if service not in self._checks:
            check = self._run_check(service, reach, is_thorough=is_thorough)
            task = start_task(check, "checking the path to targets")
            self._checks[service] = task
            task.add_done_callback(lambda _: self._checks.pop(service, None))

    def _check_others(self) -> None:
        """Check all services: a cut seldom concerns one, and some may have no requests now."""
        table = self._fleet.table
        for found in table.document.services if table is not None else ():
            reach = self._services.setdefault(found.name, ServiceReach())
            if reach.state == "reached" and self._checker.list_names(found.name):
                self._start_check(found.name, reach)

    async def _run_check(
        self, service: str, reach: ServiceReach, *, is_thorough: bool = False
    ) -> None:
        """Find out whether other boxes reach targets that this one does not reach.

        Args:
            service: the service.
            reach: its state.
            is_thorough: whether a connection alone does not show that it is reached.
        """
        records = self._checker.draw_probed(service, reach)
        evidence = ",".join(sorted(reach.evidence.list_kinds()))
        if await self._checker.reaches_some(service, reach, records, is_thorough=is_thorough):
            reach.dismiss(self._checker.list_names(service), self._now())
            return
        result = await self._checker.check(service, records)
        fields = {"service": service, "evidence": evidence, **result.log_fields()}
        _LOG.info("path to targets checked", extra=fields)
        if not result.reached_by:
            if self._must_hand_over(service, reach) and reach.confirm(self._now()):
                self._publish(service, reach, "no health check; another box may reach the pool")
                return
            reach.dismiss(self._checker.list_names(service), self._now())
        elif reach.confirm(self._now()):
            self._publish(service, reach, "another box reaches the targets")
            self._check_others()

    def _must_hand_over(self, service: str, reach: ServiceReach) -> bool:
        """Return whether another box should call the targets of a pool, to find out if it can.

        One entry calls all targets of a pool, so that others have no evidence of them.
        """
        found = self._fleet.table.service(service) if self._fleet.table is not None else None
        if found is None or found.pool is None or self._checker.find_health_path(service):
            return False
        is_doubtful = reach.evidence.is_doubtful(self._checker.list_names(service), self._now())
        has_lost = is_doubtful and reach.evidence.has_lost_requests()
        return has_lost and bool(self._checker.list_candidates(service))

    # Recovery.

    async def _recover(self, service: str, reach: ServiceReach) -> None:
        """Probe targets until they are reached again."""
        delay = FIRST_PROBE_SECONDS
        rounds = 0.0
        while reach.state != "reached":
            await asyncio.sleep(delay * self._randomness.uniform(0.75, 1.25))
            delay = min(MAX_PROBE_SECONDS, 2 * delay)
            if reach.state == "trial":
                rounds = 0.0
                if self._now() - reach.since > IDLE_TRIAL_SECONDS and reach.end_outage(self._now()):
                    self._publish(service, reach, "no request came to try them")
                continue
            progress = await self._checker.find_progress(service)
            rounds = rounds + progress if progress else 0.0
            if rounds >= reach.recovery_factor:
                self._end_outage(service, reach)

    def _end_outage(self, service: str, reach: ServiceReach) -> None:
        """Use targets that probes reached again: pools at once, others on trial."""
        found = self._fleet.table.service(service) if self._fleet.table is not None else None
        is_pool = found is not None and found.pool is not None
        now = self._now()
        if reach.end_outage(now) if is_pool else reach.begin_trial(now):
            self._publish(service, reach, "probes")

    def _publish(self, service: str, reach: ServiceReach, evidence: str) -> None:
        """Log a change of a state and call the listeners."""
        fields = {
            "service": service,
            "state": reach.state,
            "evidence": evidence,
            "unreached": self.list_unreached(),
        }
        _LOG.warning("reach changed", extra=fields)
        self._metrics.unreached_services.set({}, len(self.list_unreached()))
        if reach.state == "unreached":
            for callback in tuple(self._watchers.get(service, ())):
                callback()
            if service not in self._recoveries:
                task = start_task(self._recover(service, reach), "probing targets again")
                self._recoveries[service] = task
                task.add_done_callback(lambda _: self._recoveries.pop(service, None))
        for listener in self._listeners:
            listener(service)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
