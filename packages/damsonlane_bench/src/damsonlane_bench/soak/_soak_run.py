"""Execution of a soak plan on a fleet of real processes."""

import time
from pathlib import Path
from threading import Thread
from typing import Final

from damsonlane_bench.fleet import WaitTimeoutError, wait_until
from damsonlane_bench.registered_target import (
    RATE_LIMIT_END_SIGNAL,
    REJECTION_LIMIT_END_SIGNAL,
)
from damsonlane_bench.soak._callers import Caller, OperatorThread
from damsonlane_bench.soak._crashing_callers import (
    OneShotCaller,
    make_crashing_callers,
)
from damsonlane_bench.soak._evaluation import find_violations
from damsonlane_bench.soak._fault_injector import FaultInjector
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
from damsonlane_bench.soak._parts import find_organisation
from damsonlane_bench.soak._plan import Plan
from damsonlane_bench.soak._result import SoakResult
from damsonlane_bench.soak._resuming_callers import RESUMING_COUNT, ResumingCaller
from damsonlane_bench.soak._stalled_readers import READER_COUNT, StalledReader
from damsonlane_bench.soak._supervised_fleet import SupervisedFleet

#: Number of callers of streams that run once.
SINGLE_RUN_COUNT: Final = 3
#: Number of callers that draw from all routes in a fleet of two entries; one more for each further
#: entry.
CALLER_COUNT: Final = 5
#: Seconds after the last fault within which the fleet must serve again.
_RECOVERY_SECONDS: Final = 30.0
#: Version of the document that is sent at the end of a run.
_LAST_VERSION: Final = 1_000_000


class SoakRun:
    """One run of the soak.

    Args:
        plan: faults, length and fleet of the run.
        folder: receives settings, data and logs.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan: Final = plan
        self._folder: Final = folder
        self._observations: Final = Observations()
        self._processes: Final = SupervisedFleet(plan, folder, self._observations)
        self._fleet: Final = self._processes.fleet
        self._caller_count: Final = CALLER_COUNT + plan.size.entries - 2
        self._injector: Final = FaultInjector(
            plan, self._processes, self._observations, self._caller_count
        )

    def run(self) -> SoakResult:
        """Execute the plan and return the violations of guarantees."""
        supervisor = Thread(target=self._processes.supervise, name="supervisor")
        with self._fleet:
            self._processes.start()
            wait_until(self._is_served, "all entries serve all routes")
            supervisor.start()
            try:
                self._execute()
                not_recovered = self._check_recovery()
            finally:
                self._processes.stopped.set()
                supervisor.join()
        logs = [self._folder / f"{name}.log" for name in self._processes.targets]
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
                organisation=find_organisation(self._plan.parts, number),
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
        if self._plan.parts.has_single_runs:
            callers += [
                Caller(self._fleet, self._observations, f"s{number}", seed, routes=("note",))
                for number in range(SINGLE_RUN_COUNT)
            ]
        if self._plan.parts.has_crashing_parts:
            callers += make_crashing_callers(self._fleet, self._observations, seed)
        operator = OperatorThread(self._fleet, self._observations, seed)
        faults = [
            Thread(target=self._injector.inject, args=(fault,)) for fault in self._plan.faults
        ]
        for caller in callers:
            caller.start()
        operator.start()
        for thread in faults:
            thread.start()
        self._processes.stopped.wait(self._plan.seconds)
        for fault in faults:
            fault.join()
        for caller in callers:
            caller.stop()
        operator.stop()

    def _check_recovery(self) -> tuple[Violation, ...]:
        """Return a violation if the fleet does not serve again without further faults.

        All rate limits are ended first, since a target with a limit of 0 gets no requests.
        """
        self._processes.signal(list(self._processes.targets), RATE_LIMIT_END_SIGNAL)
        self._processes.signal(list(self._processes.targets), REJECTION_LIMIT_END_SIGNAL)
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
