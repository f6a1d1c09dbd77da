"""Execution of a soak plan on a fleet of real processes."""

import signal
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from threading import Event, Lock, Thread
from typing import Final

from damsonlane_bench.fleet import WaitTimeoutError, wait_until
from damsonlane_bench.registered_target import (
    BACKOFF_SIGNAL,
    DRAINING_SIGNAL,
    IMPLAUSIBLE_LOAD_END_SIGNAL,
    IMPLAUSIBLE_LOAD_SIGNAL,
    RATE_LIMIT_END_SIGNAL,
    RATE_LIMIT_SIGNAL,
    REJECTION_LIMIT_END_SIGNAL,
    REJECTION_LIMIT_SIGNAL,
    SLOW_END_SIGNAL,
    SLOW_SIGNAL,
    CutForm,
    TargetKind,
    write_senders,
)
from damsonlane_bench.routes_document import make_document
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.soak._callers import Caller, OperatorThread
from damsonlane_bench.soak._crashing_callers import (
    OneShotCaller,
    make_crashing_callers,
    make_crowd,
)
from damsonlane_bench.soak._evaluation import find_violations
from damsonlane_bench.soak._guarantees import Violation
from damsonlane_bench.soak._observations import (
    Observations,
    count_falls,
    count_load_reports,
    read_arrivals,
    read_rate_limits,
    read_target_runs,
    read_target_waits,
)
from damsonlane_bench.soak._parts import ORGANISATIONS, make_entry_settings
from damsonlane_bench.soak._plan import (
    ANNOUNCEMENT_KINDS,
    CROWD_KINDS,
    CUT_KINDS,
    LOAD_KINDS,
    RATE_LIMIT_KINDS,
    REJECTION_KINDS,
    REPLACEMENT_KINDS,
    SURGE_KINDS,
    Fault,
    Plan,
)
from damsonlane_bench.soak._result import SoakResult
from damsonlane_bench.soak._resuming_callers import RESUMING_COUNT, ResumingCaller
from damsonlane_bench.soak._stalled_readers import READER_COUNT, StalledReader

#: Versions that engines get in turn; two starts in a row get the same one.
VERSION_COUNT: Final = 2
#: Number of callers that draw from all routes in a fleet of two entries; one more for each further
#: entry.
CALLER_COUNT: Final = 5
#: Multiple of its usual load that an organisation sends during a surge.
SURGE_FACTOR: Final = 10
#: Seconds after which the supervisor restarts a process that exited.
_RESTART_SECONDS: Final = 0.5
#: Seconds after the last fault within which the fleet must serve again.
_RECOVERY_SECONDS: Final = 30.0
#: A target announces a rate limit for this multiple of the fault's length: the check of rate limits
#: needs three seconds of propagation and a window of four seconds.
_RATE_LIMIT_LENGTH_FACTOR: Final = 4.0
#: Cuts last for this multiple of the fault's length: an entry needs a second to find out.
_CUT_LENGTH_FACTOR: Final = 3.0
#: What becomes of requests, by the kind of a cut.
_CUT_FORMS: Final[dict[str, CutForm]] = {"cut by silence": "hang", "cut by resets": "reset"}
#: Name of the control replica that replaces another one.
SUCCESSOR: Final = "control-successor"
#: Seconds after which a new or restarted replica counts for what the group tolerates.
_CATCH_UP_SECONDS: Final = 3.0
#: Version of the document that is sent at the end of a run.
_LAST_VERSION: Final = 1_000_000
#: Interval at which the supervisor polls the processes, in seconds.
_POLL_SECONDS: Final = 0.05


class SoakRun:
    """One run of the soak.

    Args:
        plan: faults, length and fleet of the run.
        folder: receives settings, data and logs.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan: Final = plan
        size = plan.size
        self._targets: Final = {target.name: target for target in size.list_targets()}
        self._fleet: Final = RoutesFleet(
            folder,
            size.list_controls(),
            size.list_entries(),
            tuple(self._targets),
            make_entry_settings(plan.parts, size.list_entries()),
            ORGANISATIONS if plan.parts.has_organisations else None,
            (SUCCESSOR,),
        )
        self._folder: Final = folder
        self._observations: Final = Observations()
        self._caller_count: Final = CALLER_COUNT + size.entries - 2
        self._lock: Final = Lock()
        self._reserved: set[str] = set()
        self._start_count = 0
        self._stopped: Final = Event()
        self._senders: Final = folder / "senders.json" if plan.parts.has_cuts else None
        self._cuts: Final[dict[str, CutForm]] = {}

    def run(self) -> SoakResult:
        """Execute the plan and return the violations of guarantees."""
        supervisor = Thread(target=self._supervise, name="supervisor")
        with self._fleet:
            self._start()
            supervisor.start()
            try:
                self._execute()
                not_recovered = self._check_recovery()
            finally:
                self._stopped.set()
                supervisor.join()
        logs = [self._folder / f"{name}.log" for name in self._targets]
        runs = tuple(read_target_runs(logs))
        self._observations.arrivals.extend(read_arrivals(logs))
        self._observations.rate_limits.extend(read_rate_limits(logs))
        self._observations.falls = count_falls(logs)
        self._observations.target_waits.extend(read_target_waits(logs))
        statuses: dict[int, int] = {}
        for response in self._observations.responses:
            statuses[response.status] = statuses.get(response.status, 0) + 1
        slow_reports, implausible_reports = count_load_reports(logs)
        return SoakResult(
            plan=self._plan,
            violations=(*find_violations(self._observations, runs), *not_recovered),
            statuses=dict(sorted(statuses.items())),
            crash_count=sum(run.is_crash for run in runs),
            slow_reports=slow_reports,
            stalled_reads=sum(read.status == 200 for read in self._observations.stalled_reads),
            cut_reads=sum(
                read.status == 200 and not read.is_complete
                for read in self._observations.stalled_reads
            ),
            implausible_reports=implausible_reports,
            relayed=self._count_relayed(),
            falls=self._observations.falls,
            resumed=sum(stream.resumed for stream in self._observations.resumed_streams),
            refused_tries=sum(stream.refused for stream in self._observations.resumed_streams),
        )

    def _count_relayed(self) -> int:
        """Return how many requests entries accepted from others."""
        logs = [self._folder / f"{entry}.log" for entry in self._fleet.entries]
        return sum(log.read_text(errors="replace").count('"passed_on_by"') for log in logs)

    def _start(self) -> None:
        fleet = self._fleet
        for control in fleet.controls:
            fleet.start(control, is_first_start=True)
        for entry in fleet.entries:
            fleet.start(entry)
        self._write_senders()
        for name in self._targets:
            self._start_target(name)
        fleet.put_document(1, routes=make_document()["routes"])
        wait_until(self._is_served, "all entries serve all routes")

    def _start_target(self, name: str) -> None:
        target = self._targets[name]
        self._fleet.start_target(
            name,
            target.service,
            target.kind,
            reports_load=self._plan.parts.has_reported_load,
            senders=str(self._senders) if self._senders is not None else "",
            version=self._draw_version(target.kind),
        )

    def _draw_version(self, kind: TargetKind) -> str:
        """Return the version with which a target starts; empty if it reports none."""
        if kind != "engine" or not self._plan.parts.has_versions:
            return ""
        with self._lock:
            self._start_count += 1
            return f"v{self._start_count // 2 % VERSION_COUNT}"

    def _is_served(self) -> bool:
        """Return whether all entries serve all routes."""
        return all(
            self._fleet.is_ready(entry) and self._serves_route(entry, route)
            for entry in self._fleet.entries
            for route in ("ping", "refund", "chat")
        )

    def _serves_route(self, entry: str, route: str) -> bool:
        request_id = f"probe-{route}-{time.monotonic_ns()}@{entry}"
        headers = {"Damsonlane_Pieces": "1,1", "Damsonlane_Material_Key": "soak"}
        more = headers if route == "chat" else {}
        status, _ = self._fleet.call(entry, f"/{route}/a", request_id, **more)  # type: ignore[arg-type]
        return status == 200

    # Faults.

    def _execute(self) -> None:
        seed = self._plan.seed
        callers: list[Caller | StalledReader | ResumingCaller | OneShotCaller] = [
            Caller(
                self._fleet,
                self._observations,
                f"c{number}",
                seed + number,
                organisation=self._find_organisation(number),
            )
            for number in range(self._caller_count)
        ]
        callers.append(
            Caller(self._fleet, self._observations, "deadly", seed, sends_crash_request=True)
        )
        if self._plan.parts.has_stalled_readers:
            callers += [
                StalledReader(self._fleet, self._observations, f"stalled{number}", seed)
                for number in range(READER_COUNT)
            ]
        if self._plan.parts.has_versions:
            callers += [
                ResumingCaller(self._fleet, self._observations, f"resuming{number}", seed)
                for number in range(RESUMING_COUNT)
            ]
        if self._plan.parts.has_crashing_parts:
            callers += make_crashing_callers(self._fleet, self._observations, seed)
        operator = OperatorThread(self._fleet, self._observations, seed)
        faults = [Thread(target=self._inject, args=(fault,)) for fault in self._plan.faults]
        for caller in callers:
            caller.start()
        operator.start()
        for thread in faults:
            thread.start()
        self._stopped.wait(self._plan.seconds)
        for fault in faults:
            fault.join()
        for caller in callers:
            caller.stop()
        operator.stop()

    def _find_organisation(self, number: int) -> str:
        """Return the organisation of a caller."""
        names = list(ORGANISATIONS) if self._plan.parts.has_organisations else ["florists"]
        return names[number % len(names)]

    def _surge(self, fault: Fault) -> None:
        """Have an organisation send ten times its usual load: nine more callers for each of its."""
        usual = sum(
            self._find_organisation(number) == fault.process for number in range(self._caller_count)
        )
        callers = [
            Caller(
                self._fleet,
                self._observations,
                f"surge{fault.at:g}x{number}",
                self._plan.seed + number,
                organisation=fault.process,
            )
            for number in range(usual * (SURGE_FACTOR - 1))
        ]
        for caller in callers:
            caller.start()
        self._stopped.wait(fault.seconds)
        for caller in callers:
            caller.stop()

    def _crowd(self, fault: Fault) -> None:
        """Have many callers open connections to few entries."""
        entries = self._fleet.entries
        first = entries.index(fault.process)
        count = min(self._plan.parts.crowded_entries, len(entries))
        crowded = [entries[(first + number) % len(entries)] for number in range(count)]
        name = f"crowd{fault.at:g}"
        callers = make_crowd(self._fleet, self._observations, crowded, name, self._plan.seed)
        for caller in callers:
            caller.start()
        self._stopped.wait(fault.seconds)
        for caller in callers:
            caller.stop()

    def _inject(self, fault: Fault) -> None:
        """Begin a fault at its time and end it after its duration."""
        self._stopped.wait(fault.at)
        if fault.kind in ANNOUNCEMENT_KINDS:
            self._announce(fault)
            return
        if fault.kind in RATE_LIMIT_KINDS:
            self._announce_rate_limit(fault)
            return
        if fault.kind in SURGE_KINDS:
            self._surge(fault)
            return
        if fault.kind in CROWD_KINDS:
            self._crowd(fault)
            return
        if fault.kind in LOAD_KINDS:
            self._change_load(fault)
            return
        if fault.kind in CUT_KINDS:
            self._cut(fault)
            return
        if fault.kind in REJECTION_KINDS:
            self._limit_rejections(fault)
            return
        if fault.kind in REPLACEMENT_KINDS:
            self._replace(fault)
            return
        boxes = (*self._fleet.controls, *self._fleet.entries)
        names = (fault.process,) if fault.process else boxes
        reserved = self._reserve(names)
        if not reserved:
            return
        try:
            self._observations.record_fault_events(*reserved)
            undo = [self._begin_fault(fault.kind, name) for name in reserved]
            self._stopped.wait(fault.seconds)
            for step in undo:
                step()
            self._observations.record_fault_events(*reserved)
        finally:
            with self._lock:
                self._reserved -= set(reserved)

    def _announce(self, fault: Fault) -> None:
        """Have a target, or all targets of its service, announce back-off or draining.

        This is not recorded as a fault, since entries must act on announcements.
        """
        names = (
            self._list_service_targets(fault) if fault.kind == "rest of all" else [fault.process]
        )
        self._signal(names, DRAINING_SIGNAL if fault.kind == "leaving word" else BACKOFF_SIGNAL)
        self._stopped.wait(fault.seconds)
        if fault.kind != "leaving word":
            return
        while not self._reserve((fault.process,)):
            self._stopped.wait(_POLL_SECONDS)
        try:
            self._drain(fault.process)
        finally:
            with self._lock:
                self._reserved.discard(fault.process)

    def _announce_rate_limit(self, fault: Fault) -> None:
        """Have a target, or all targets of its service, announce a rate limit.

        The limit ends after a while, unless the fault is a lasting limit.
        """
        names = (
            self._list_service_targets(fault) if fault.kind == "limit of all" else [fault.process]
        )
        self._signal(names, RATE_LIMIT_SIGNAL)
        self._stopped.wait(_RATE_LIMIT_LENGTH_FACTOR * fault.seconds)
        if fault.kind != "lasting limit":
            self._signal(names, RATE_LIMIT_END_SIGNAL)

    def _change_load(self, fault: Fault) -> None:
        """Have targets be slow, or report an implausible load, for the length of the fault.

        This is not recorded as a fault, since no guarantee may depend on reports of load.
        """
        names = self._list_service_targets(fault) if fault.kind == "slow all" else [fault.process]
        is_slow = fault.kind != "implausible load"
        self._signal(names, SLOW_SIGNAL if is_slow else IMPLAUSIBLE_LOAD_SIGNAL)
        self._stopped.wait(fault.seconds)
        self._signal(names, SLOW_END_SIGNAL if is_slow else IMPLAUSIBLE_LOAD_END_SIGNAL)

    def _cut(self, fault: Fault) -> None:
        """Cut an entry off from all targets, unless it is cut off already."""
        with self._lock:
            if fault.process in self._cuts:
                return
            self._cuts[fault.process] = _CUT_FORMS[fault.kind]
        self._write_senders()
        self._stopped.wait(_CUT_LENGTH_FACTOR * fault.seconds)
        with self._lock:
            del self._cuts[fault.process]
        self._write_senders()

    def _write_senders(self) -> None:
        """Tell targets the processes of entries, and which of them are cut off."""
        if self._senders is None:
            return
        with self._lock:
            pids = {entry: self._fleet.processes[entry].pid for entry in self._fleet.entries}
            write_senders(self._senders, pids, self._cuts)

    def _limit_rejections(self, fault: Fault) -> None:
        """Have all targets of a service announce a limit of rejections for a while."""
        names = self._list_service_targets(fault)
        self._observations.rejection_limits.append(len(names))
        self._signal(names, REJECTION_LIMIT_SIGNAL)
        self._stopped.wait(_RATE_LIMIT_LENGTH_FACTOR * fault.seconds)
        self._signal(names, REJECTION_LIMIT_END_SIGNAL)

    def _replace(self, fault: Fault) -> None:
        """Replace a control replica as planned, then let another one lose its disk.

        No other fault affects the replicas meanwhile, so the group tolerates the loss.
        """
        controls = tuple(self._fleet.controls)
        reserved: set[str] = set()
        while not self._stopped.is_set() and reserved != set(controls):
            reserved |= set(self._reserve(controls))
            self._stopped.wait(_POLL_SECONDS)
        try:
            if not self._stopped.wait(_CATCH_UP_SECONDS):
                self._observations.record_fault_events(*controls)
                self._replace_and_lose(fault)
                self._observations.record_fault_events(*controls)
        finally:
            with self._lock:
                self._reserved -= reserved

    def _replace_and_lose(self, fault: Fault) -> None:
        fleet = self._fleet
        with self._lock:
            self._reserved.add(SUCCESSOR)
        fleet.add_control(SUCCESSOR)
        self._stopped.wait(_CATCH_UP_SECONDS)
        old = fleet.processes[fault.process]
        old.terminate()
        old.wait()
        fleet.controls.remove(fault.process)
        self._stopped.wait(fault.seconds)
        lost = fleet.controls[self._plan.seed % (len(fleet.controls) - 1)]
        fleet.processes[lost].kill()
        fleet.processes[lost].wait()
        fleet.erase_disk(lost)
        self._stopped.wait(_RESTART_SECONDS)
        fleet.start(lost)
        self._stopped.wait(_CATCH_UP_SECONDS)
        with self._lock:
            self._reserved.discard(SUCCESSOR)

    def _list_service_targets(self, fault: Fault) -> list[str]:
        """Return the names of all targets of the service that a fault affects."""
        service = self._targets[fault.process].service
        return [name for name, other in self._targets.items() if other.service == service]

    def _signal(self, names: Sequence[str], number: int) -> None:
        """Send a signal to targets that run and have installed their signal handlers."""
        for name in names:
            process = self._fleet.processes[name]
            if process.is_running() and process.has_output():
                process.signal(number)

    def _drain(self, name: str) -> None:
        """Have a target drain and exit, and start its next incarnation."""
        process = self._fleet.processes[name]
        if process.is_running():
            process.terminate()
        self._restart(name)

    def _reserve(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Reserve those of some processes that no other fault affects at the moment."""
        with self._lock:
            reserved = tuple(name for name in names if name not in self._reserved)
            self._reserved |= set(reserved)
            return reserved

    def _begin_fault(self, kind: str, name: str) -> Callable[[], None]:
        """Begin a fault at one process and return the function that ends it."""
        process = self._fleet.processes[name]
        if not process.is_running():
            return lambda: self._restart(name)
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
        return lambda: self._restart(name)

    def _restart(self, name: str) -> None:
        """Wait for the exit of a process and start it again."""
        self._fleet.processes[name].wait()
        if name in self._targets:
            self._start_target(name)
        else:
            self._fleet.start(name)
            self._write_senders()

    def _supervise(self) -> None:
        """Restart processes that exited outside a fault until the run stops."""
        while not self._stopped.wait(_POLL_SECONDS):
            for name in (*self._fleet.controls, *self._fleet.entries, *self._targets):
                if self._fleet.processes[name].is_running() or not self._reserve((name,)):
                    continue
                try:
                    self._restart_exited(name)
                finally:
                    with self._lock:
                        self._reserved.discard(name)

    def _restart_exited(self, name: str) -> None:
        """Restart a process that exited by itself, and record it if it is no target."""
        if self._fleet.processes[name].is_running():
            return
        if name not in self._targets:
            self._observations.unexpected_exits.append(f"{name} exited by itself")
        self._stopped.wait(_RESTART_SECONDS)
        self._restart(name)

    def _check_recovery(self) -> tuple[Violation, ...]:
        """Return a violation if the fleet does not serve again without further faults.

        All rate limits are ended first, since a target with a limit of 0 gets no requests.
        """
        self._signal(list(self._targets), RATE_LIMIT_END_SIGNAL)
        self._signal(list(self._targets), REJECTION_LIMIT_END_SIGNAL)
        try:
            wait_until(self._is_served, "all entries serve all routes again", _RECOVERY_SECONDS)
            wait_until(
                lambda: self._fleet.try_document(_LAST_VERSION),
                "the control group accepts a change again",
                _RECOVERY_SECONDS,
            )
        except WaitTimeoutError as error:
            return (
                Violation(guarantee="the fleet serves again after the faults", detail=str(error)),
            )
        return ()
