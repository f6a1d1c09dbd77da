"""Playing a plan: processes, faults, callers, and the verdict."""

import signal
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from threading import Event, Lock, Thread
from typing import Final

from damsonlane_bench.fleet import StuckError, wait_until
from damsonlane_bench.registered import LEAVING_SIGNAL, LIMIT_END_SIGNAL, LIMIT_SIGNAL, REST_SIGNAL
from damsonlane_bench.routes import RoutesFleet, make_document
from damsonlane_bench.soak._callers import Caller, OperatorThread
from damsonlane_bench.soak._evaluation import judge
from damsonlane_bench.soak._guarantees import Breach
from damsonlane_bench.soak._observations import (
    RunJournal,
    read_arrivals,
    read_namings,
    read_target_runs,
)
from damsonlane_bench.soak._plan import LIMIT_KINDS, WORD_KINDS, Fault, Plan

#: Callers that send requests of all routes, and one more for each further entry.
CALLERS: Final = 5
#: Seconds after which the supervisor starts a target again that ended.
_RESTART_SECONDS: Final = 0.5
#: Seconds within which a fleet that is left alone must serve again.
_RECOVERY_SECONDS: Final = 30.0
#: Times the length of a fault for which a target names a limit: a limit counts only three seconds
#: after it was named, over four more.
_LIMIT_TIMES: Final = 4.0
#: Seconds between looks of the supervisor.
_LOOK_SECONDS: Final = 0.05


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """How a run ended."""

    #: The plan.
    plan: Plan
    #: Promises that were broken.
    breaches: tuple[Breach, ...]
    #: Answers that callers got, by status.
    statuses: dict[int, int]
    #: Targets that ended under the deadly request.
    deadly_ends: int


class Soak:
    """One run.

    Args:
        plan: what happens.
        folder: takes settings, data and logs.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan: Final = plan
        size = plan.size
        self._targets: Final = {target.name: target for target in size.list_targets()}
        self._fleet: Final = RoutesFleet(
            folder, size.list_controls(), size.list_entries(), tuple(self._targets)
        )
        self._folder: Final = folder
        self._journal: Final = RunJournal()
        self._lock: Final = Lock()
        self._busy: set[str] = set()
        self._stopped: Final = Event()

    def run(self) -> Verdict:
        """Play the plan and judge what was seen."""
        supervisor = Thread(target=self._supervise, name="supervisor")
        with self._fleet:
            self._start()
            supervisor.start()
            try:
                self._play()
                stuck = self._recover()
            finally:
                self._stopped.set()
                supervisor.join()
        logs = [self._folder / f"{name}.log" for name in self._targets]
        runs = tuple(read_target_runs(logs))
        self._journal.arrivals.extend(read_arrivals(logs))
        self._journal.namings.extend(read_namings(logs))
        statuses: dict[int, int] = {}
        for answer in self._journal.answers:
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
        return Verdict(
            plan=self._plan,
            breaches=(*judge(self._journal, runs), *stuck),
            statuses=dict(sorted(statuses.items())),
            deadly_ends=sum(run.is_deadly for run in runs),
        )

    def _start(self) -> None:
        fleet = self._fleet
        for control in fleet.controls:
            fleet.start(control, is_first_start=True)
        for entry in fleet.entries:
            fleet.start(entry)
        for name in self._targets:
            self._start_target(name)
        fleet.put_document(1, routes=make_document()["routes"])
        wait_until(self._is_served, "everything is served")

    def _start_target(self, name: str) -> None:
        target = self._targets[name]
        self._fleet.start_target(name, target.service, target.kind)

    def _is_served(self) -> bool:
        """Tell whether all entries serve all routes."""
        return all(
            self._fleet.is_ready(entry) and self._serves(entry, route)
            for entry in self._fleet.entries
            for route in ("ping", "refund", "chat")
        )

    def _serves(self, entry: str, route: str) -> bool:
        request_id = f"probe-{route}-{time.monotonic_ns()}@{entry}"
        headers = {"Damsonlane_Pieces": "1,1", "Damsonlane_Material_Key": "soak"}
        more = headers if route == "chat" else {}
        status, _ = self._fleet.call(entry, f"/{route}/a", request_id, **more)  # type: ignore[arg-type]
        return status == 200

    # Faults.

    def _play(self) -> None:
        seed = self._plan.seed
        callers = [
            Caller(self._fleet, self._journal, f"c{number}", seed + number)
            for number in range(CALLERS + self._plan.size.entries - 2)
        ]
        callers.append(Caller(self._fleet, self._journal, "deadly", seed, is_deadly=True))
        operator = OperatorThread(self._fleet, self._journal, seed)
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

    def _inject(self, fault: Fault) -> None:
        """Carry out one fault at its time, and undo it."""
        self._stopped.wait(fault.at)
        if fault.kind in WORD_KINDS:
            self._say(fault)
            return
        if fault.kind in LIMIT_KINDS:
            self._limit(fault)
            return
        boxes = (*self._fleet.controls, *self._fleet.entries)
        names = (fault.process,) if fault.process else boxes
        taken = self._take(names)
        if not taken:
            return
        try:
            self._journal.note_disturbance(*taken)
            undo = [self._disturb(fault.kind, name) for name in taken]
            self._stopped.wait(fault.seconds)
            for step in undo:
                step()
            self._journal.note_disturbance(*taken)
        finally:
            with self._lock:
                self._busy -= set(taken)

    def _say(self, fault: Fault) -> None:
        """Have a target, or all of its service, say something of itself.

        It is no disturbance: the entries are to act on it.
        """
        names = self._list_fellows(fault) if fault.kind == "rest of all" else [fault.process]
        self._signal(names, LEAVING_SIGNAL if fault.kind == "leaving word" else REST_SIGNAL)
        self._stopped.wait(fault.seconds)
        if fault.kind != "leaving word":
            return
        while not self._take((fault.process,)):
            self._stopped.wait(_LOOK_SECONDS)
        try:
            self._leave(fault.process)
        finally:
            with self._lock:
                self._busy.discard(fault.process)

    def _limit(self, fault: Fault) -> None:
        """Have a target, or all of its service, name a rate limit, and most of them end it."""
        names = self._list_fellows(fault) if fault.kind == "limit of all" else [fault.process]
        self._signal(names, LIMIT_SIGNAL)
        self._stopped.wait(_LIMIT_TIMES * fault.seconds)
        if fault.kind != "lasting limit":
            self._signal(names, LIMIT_END_SIGNAL)

    def _list_fellows(self, fault: Fault) -> list[str]:
        """Return all targets of the service that a fault happens to."""
        service = self._targets[fault.process].service
        return [name for name, other in self._targets.items() if other.service == service]

    def _signal(self, names: Sequence[str], number: int) -> None:
        """Send targets a signal, but for those whose handlers are not set yet."""
        for name in names:
            process = self._fleet.processes[name]
            if process.is_running() and process.has_written():
                process.signal(number)

    def _leave(self, name: str) -> None:
        """Have a target leave as planned, and start another one in its place."""
        process = self._fleet.processes[name]
        if process.is_running():
            process.terminate()
        self._start_again(name)

    def _take(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Reserve those processes that no other fault has at the moment."""
        with self._lock:
            taken = tuple(name for name in names if name not in self._busy)
            self._busy |= set(taken)
            return taken

    def _disturb(self, kind: str, name: str) -> Callable[[], None]:
        """Begin a fault at one process and return what undoes it."""
        process = self._fleet.processes[name]
        if not process.is_running():
            return lambda: self._start_again(name)
        if kind == "freeze":
            process.freeze()
            return process.thaw
        if kind == "hang-up":
            # Before its first line the interpreter itself starts, which nothing can guard.
            if process.has_written():
                process.signal(signal.SIGHUP)
            return lambda: None
        if kind == "stop":
            process.terminate()
        else:
            process.kill()
        return lambda: self._start_again(name)

    def _start_again(self, name: str) -> None:
        """Start a process again, once an older one has ended."""
        self._fleet.processes[name].wait()
        if name in self._targets:
            self._start_target(name)
        else:
            self._fleet.start(name)

    def _supervise(self) -> None:
        """Start targets again that ended; no box may end by itself."""
        while not self._stopped.wait(_LOOK_SECONDS):
            for name in (*self._fleet.controls, *self._fleet.entries, *self._targets):
                if self._fleet.processes[name].is_running() or not self._take((name,)):
                    continue
                try:
                    self._replace(name)
                finally:
                    with self._lock:
                        self._busy.discard(name)

    def _replace(self, name: str) -> None:
        """Start a process again that ended by itself."""
        if self._fleet.processes[name].is_running():
            return
        if name not in self._targets:
            self._journal.own_ends.append(f"{name} ended by itself")
        self._stopped.wait(_RESTART_SECONDS)
        self._start_again(name)

    def _recover(self) -> tuple[Breach, ...]:
        """Leave the fleet alone; return a breach if it does not serve again.

        Targets name no limits any more: with one of nothing at all they serve nothing.
        """
        self._signal(list(self._targets), LIMIT_END_SIGNAL)
        try:
            wait_until(self._is_served, "everything is served again", _RECOVERY_SECONDS)
        except StuckError as error:
            return (Breach(promise="service comes back", seen=str(error)),)
        return ()
