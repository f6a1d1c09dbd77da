"""Injection of the faults of a soak plan."""

import signal
from collections.abc import Callable, Collection
from typing import Final

from damsonlane_bench.registered_target import (
    BACKOFF_SIGNAL,
    DRAINING_SIGNAL,
    IMPLAUSIBLE_LOAD_END_SIGNAL,
    IMPLAUSIBLE_LOAD_SIGNAL,
    RATE_LIMIT_END_SIGNAL,
    RATE_LIMIT_SIGNAL,
    REJECTION_LIMIT_END_SIGNAL,
    REJECTION_LIMIT_SIGNAL,
    SILENCE_END_SIGNAL,
    SILENCE_SIGNAL,
    SLOW_END_SIGNAL,
    SLOW_SIGNAL,
    CutForm,
)
from damsonlane_bench.soak._callers import Caller
from damsonlane_bench.soak._crashing_callers import make_crowd
from damsonlane_bench.soak._observations import Observations
from damsonlane_bench.soak._parts import find_organisation
from damsonlane_bench.soak._plan import (
    ANNOUNCEMENT_KINDS,
    CROWD_KINDS,
    CUT_KINDS,
    ENTRY_KINDS,
    LOAD_KINDS,
    PROCESS_FAULT_KINDS,
    RATE_LIMIT_KINDS,
    REJECTION_KINDS,
    REPLACEMENT_KINDS,
    SILENCE_KINDS,
    SURGE_KINDS,
    Fault,
    Plan,
)
from damsonlane_bench.soak._supervised_fleet import (
    POLL_SECONDS,
    RESTART_SECONDS,
    SUCCESSOR,
    SupervisedFleet,
)

#: Multiple of its usual load that an organisation sends during a surge.
SURGE_FACTOR: Final = 10
#: A target announces a rate limit for this multiple of the fault's length: the check of rate limits
#: needs three seconds of propagation and a window of four seconds.
_RATE_LIMIT_LENGTH_FACTOR: Final = 4.0
#: Cuts last for this multiple of the fault's length: an entry needs a second to find out.
_CUT_LENGTH_FACTOR: Final = 3.0
#: What becomes of requests, by the kind of a cut.
_CUT_FORMS: Final[dict[str, CutForm]] = {"cut by silence": "hang", "cut by resets": "reset"}
#: Seconds after which a new or restarted replica counts for what the group tolerates.
_CATCH_UP_SECONDS: Final = 3.0


class FaultInjector:
    """Begins and ends the faults of a plan.

    Args:
        plan: the plan.
        processes: the processes of the run.
        observations: receives the begin and end of faults.
        caller_count: callers that draw from all routes.
    """

    def __init__(
        self,
        plan: Plan,
        processes: SupervisedFleet,
        observations: Observations,
        caller_count: int,
    ) -> None:
        self._plan: Final = plan
        self._processes: Final = processes
        self._observations: Final = observations
        self._caller_count: Final = caller_count
        self._injections: Final[tuple[tuple[Collection[str], Callable[[Fault], None]], ...]] = (
            (PROCESS_FAULT_KINDS, self._affect_processes),
            (ENTRY_KINDS, self._affect_processes),
            (ANNOUNCEMENT_KINDS, self._announce),
            (RATE_LIMIT_KINDS, self._announce_rate_limit),
            (SURGE_KINDS, self._surge),
            (CROWD_KINDS, self._crowd),
            (LOAD_KINDS, self._change_load),
            (CUT_KINDS, self._cut),
            (REJECTION_KINDS, self._limit_rejections),
            (SILENCE_KINDS, self._silence),
            (REPLACEMENT_KINDS, self._replace),
        )

    def inject(self, fault: Fault) -> None:
        """Begin a fault at its time and end it after its duration."""
        self._processes.stopped.wait(fault.at)
        for kinds, inject in self._injections:
            if fault.kind in kinds:
                inject(fault)

    def _affect_processes(self, fault: Fault) -> None:
        """Kill, freeze, stop or signal one process, all entries, or all boxes."""
        fleet = self._processes.fleet
        controls = () if fault.kind in ENTRY_KINDS else fleet.controls
        names = (fault.process,) if fault.process else (*controls, *fleet.entries)
        reserved = self._processes.reserve(names)
        if not reserved:
            return
        try:
            self._observations.record_fault_events(*reserved)
            undo = [self._begin_fault(fault.kind, name) for name in reserved]
            self._processes.stopped.wait(fault.seconds)
            for step in undo:
                step()
            self._observations.record_fault_events(*reserved)
        finally:
            self._processes.release(reserved)

    def _list_targets(self, fault: Fault, kind_of_all: str) -> list[str]:
        """Return the targets that a fault affects: all of the service if it is of a kind."""
        if fault.kind == kind_of_all:
            return self._processes.list_service_targets(fault.process)
        return [fault.process]

    def _begin_fault(self, kind: str, name: str) -> Callable[[], None]:
        """Begin a fault at one process and return the function that ends it."""
        process = self._processes.fleet.processes[name]
        if not process.is_running():
            return lambda: self._processes.restart(name)
        if kind == "freeze":
            process.suspend()
            return process.resume
        if kind == "hang-up":
            # SIGHUP ends a process whose interpreter still starts: no handler can be set yet.
            if process.has_output():
                process.signal(signal.SIGHUP)
            return lambda: None
        if kind == "stop":
            process.terminate()
        else:
            process.kill()
        return lambda: self._processes.restart(name)

    def _announce(self, fault: Fault) -> None:
        """Have a target, or all targets of its service, announce back-off or draining.

        This is not recorded as a fault, since entries must act on announcements.
        """
        names = self._list_targets(fault, "rest of all")
        is_draining = fault.kind == "leaving word"
        self._processes.signal(names, DRAINING_SIGNAL if is_draining else BACKOFF_SIGNAL)
        self._processes.stopped.wait(fault.seconds)
        if not is_draining:
            return
        while not self._processes.reserve((fault.process,)):
            self._processes.stopped.wait(POLL_SECONDS)
        try:
            self._processes.drain(fault.process)
        finally:
            self._processes.release((fault.process,))

    def _announce_rate_limit(self, fault: Fault) -> None:
        """Have a target, or all targets of its service, announce a rate limit.

        The limit ends after a while, unless the fault is a lasting limit.
        """
        names = self._list_targets(fault, "limit of all")
        self._processes.signal(names, RATE_LIMIT_SIGNAL)
        self._processes.stopped.wait(_RATE_LIMIT_LENGTH_FACTOR * fault.seconds)
        if fault.kind != "lasting limit":
            self._processes.signal(names, RATE_LIMIT_END_SIGNAL)

    def _change_load(self, fault: Fault) -> None:
        """Have targets be slow, or report an implausible load, for the length of the fault.

        This is not recorded as a fault, since no guarantee may depend on reports of load.
        """
        names = self._list_targets(fault, "slow all")
        is_slow = fault.kind != "implausible load"
        self._processes.signal(names, SLOW_SIGNAL if is_slow else IMPLAUSIBLE_LOAD_SIGNAL)
        self._processes.stopped.wait(fault.seconds)
        self._processes.signal(names, SLOW_END_SIGNAL if is_slow else IMPLAUSIBLE_LOAD_END_SIGNAL)

    def _silence(self, fault: Fault) -> None:
        """Have a target, or all targets of its service, fall silent for the length of the fault.

        Silences that overlap at a target end with the first of them.  This is not recorded as a
        fault, since no guarantee may depend on it.
        """
        names = self._list_targets(fault, "silence of all")
        self._processes.signal(names, SILENCE_SIGNAL)
        self._processes.stopped.wait(fault.seconds)
        self._processes.signal(names, SILENCE_END_SIGNAL)

    def _cut(self, fault: Fault) -> None:
        """Cut an entry off from all targets, unless it is cut off already."""
        if self._processes.cut_off(fault.process, _CUT_FORMS[fault.kind]):
            self._processes.stopped.wait(_CUT_LENGTH_FACTOR * fault.seconds)
            self._processes.reconnect(fault.process)

    def _limit_rejections(self, fault: Fault) -> None:
        """Have all targets of a service announce a limit of rejections for a while."""
        names = self._processes.list_service_targets(fault.process)
        self._observations.rejection_limits.append(len(names))
        self._processes.signal(names, REJECTION_LIMIT_SIGNAL)
        self._processes.stopped.wait(_RATE_LIMIT_LENGTH_FACTOR * fault.seconds)
        self._processes.signal(names, REJECTION_LIMIT_END_SIGNAL)

    def _replace(self, fault: Fault) -> None:
        """Replace a control replica as planned, then let another one lose its disk.

        No other fault affects the replicas meanwhile, so the group tolerates the loss.
        """
        controls = tuple(self._processes.fleet.controls)
        reserved: set[str] = set()
        while not self._processes.stopped.is_set() and reserved != set(controls):
            reserved |= set(self._processes.reserve(controls))
            self._processes.stopped.wait(POLL_SECONDS)
        try:
            if not self._processes.stopped.wait(_CATCH_UP_SECONDS):
                self._observations.record_fault_events(*controls)
                self._replace_and_lose(fault)
                self._observations.record_fault_events(*controls)
        finally:
            self._processes.release(reserved)

    def _replace_and_lose(self, fault: Fault) -> None:
        fleet = self._processes.fleet
        self._processes.reserve((SUCCESSOR,))
        fleet.add_control(SUCCESSOR)
        self._processes.stopped.wait(_CATCH_UP_SECONDS)
        old = fleet.processes[fault.process]
        old.terminate()
        old.wait()
        fleet.controls.remove(fault.process)
        self._processes.stopped.wait(fault.seconds)
        lost = fleet.controls[self._plan.seed % (len(fleet.controls) - 1)]
        fleet.processes[lost].kill()
        fleet.processes[lost].wait()
        fleet.erase_disk(lost)
        self._processes.stopped.wait(RESTART_SECONDS)
        fleet.start(lost)
        self._processes.stopped.wait(_CATCH_UP_SECONDS)
        self._processes.release((SUCCESSOR,))

    def _surge(self, fault: Fault) -> None:
        """Have an organisation send ten times its usual load: nine more callers for each of its."""
        usual = sum(
            find_organisation(self._plan.parts, number) == fault.process
            for number in range(self._caller_count)
        )
        callers = [
            Caller(
                self._processes.fleet,
                self._observations,
                f"surge{fault.at:g}x{number}",
                self._plan.seed + number,
                organisation=fault.process,
            )
            for number in range(usual * (SURGE_FACTOR - 1))
        ]
        for caller in callers:
            caller.start()
        self._processes.stopped.wait(fault.seconds)
        for caller in callers:
            caller.stop()

    def _crowd(self, fault: Fault) -> None:
        """Have many callers open connections to few entries."""
        fleet = self._processes.fleet
        entries = fleet.entries
        first = entries.index(fault.process)
        count = min(self._plan.parts.crowded_entries, len(entries))
        crowded = [entries[(first + number) % len(entries)] for number in range(count)]
        name = f"crowd{fault.at:g}"
        callers = make_crowd(fleet, self._observations, crowded, name, self._plan.seed)
        for caller in callers:
            caller.start()
        self._processes.stopped.wait(fault.seconds)
        for caller in callers:
            caller.stop()
