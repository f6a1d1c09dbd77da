"""The processes of a soak run, and the supervisor that restarts those that exit."""

from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from threading import Event, Lock
from typing import Final

from damsonlane_bench.registered_target import CutForm, TargetKind, write_senders
from damsonlane_bench.routes_document import make_document
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.soak._fleet_size import Target
from damsonlane_bench.soak._observations import Observations
from damsonlane_bench.soak._parts import ORGANISATIONS, make_entry_settings
from damsonlane_bench.soak._plan import Plan

#: Versions that engines get in turn; two starts in a row get the same one.
VERSION_COUNT: Final = 2
#: Name of the control replica that replaces another one.
SUCCESSOR: Final = "control-successor"
#: Seconds after which the supervisor restarts a process that exited.
RESTART_SECONDS: Final = 0.5
#: Interval at which the processes are polled, in seconds.
POLL_SECONDS: Final = 0.05


class SupervisedFleet:
    """The processes of a run; each belongs to one fault at most at a time.

    Args:
        plan: fleet and parts of the run.
        folder: receives settings, data and logs.
        observations: receives processes that exit by themselves.
    """

    def __init__(self, plan: Plan, folder: Path, observations: Observations) -> None:
        size = plan.size
        self._targets: Final = {target.name: target for target in size.list_targets()}
        self.fleet: Final = RoutesFleet(
            folder,
            size.list_controls(),
            size.list_entries(),
            tuple(self._targets),
            make_entry_settings(plan.parts, size.list_entries()),
            ORGANISATIONS if plan.parts.has_organisations else None,
            (SUCCESSOR,),
        )
        #: Set once the run stops.
        self.stopped: Final = Event()
        self._parts: Final = plan.parts
        self._observations: Final = observations
        self._lock: Final = Lock()
        self._reserved: set[str] = set()
        self._start_count = 0
        self._senders: Final = folder / "senders.json" if plan.parts.has_cuts else None
        self._cuts: Final[dict[str, CutForm]] = {}

    @property
    def targets(self) -> Mapping[str, Target]:
        """The targets by their names."""
        return self._targets

    def start(self) -> None:
        """Start all processes and send the routing document."""
        fleet = self.fleet
        for control in fleet.controls:
            fleet.start(control, is_first_start=True)
        for entry in fleet.entries:
            fleet.start(entry)
        self.write_senders()
        for name in self._targets:
            self._start_target(name)
        fleet.put_document(1, routes=make_document()["routes"])

    def _start_target(self, name: str) -> None:
        target = self._targets[name]
        self.fleet.start_target(
            name,
            target.service,
            target.kind,
            reports_load=self._parts.has_reported_load,
            senders=str(self._senders) if self._senders is not None else "",
            version=self._draw_version(target.kind),
        )

    def _draw_version(self, kind: TargetKind) -> str:
        """Return the version with which a target starts; empty if it reports none."""
        if kind != "engine" or not self._parts.has_versions:
            return ""
        with self._lock:
            self._start_count += 1
            return f"v{self._start_count // 2 % VERSION_COUNT}"

    def write_senders(self) -> None:
        """Tell targets the processes of entries, and which of them are cut off."""
        if self._senders is None:
            return
        with self._lock:
            pids = {entry: self.fleet.processes[entry].pid for entry in self.fleet.entries}
            write_senders(self._senders, pids, self._cuts)

    def cut_off(self, entry: str, form: CutForm) -> bool:
        """Cut an entry off from all targets; return False if it is cut off already."""
        with self._lock:
            if entry in self._cuts:
                return False
            self._cuts[entry] = form
        self.write_senders()
        return True

    def reconnect(self, entry: str) -> None:
        """End the cut of an entry."""
        with self._lock:
            del self._cuts[entry]
        self.write_senders()

    def list_service_targets(self, target: str) -> list[str]:
        """Return the names of all targets of the service of a target."""
        service = self._targets[target].service
        return [name for name, other in self._targets.items() if other.service == service]

    def signal(self, names: Sequence[str], number: int) -> None:
        """Send a signal to targets that run and have installed their signal handlers."""
        for name in names:
            process = self.fleet.processes[name]
            if process.is_running() and process.has_output():
                process.signal(number)

    def drain(self, name: str) -> None:
        """Have a target drain and exit, and start its next incarnation."""
        process = self.fleet.processes[name]
        if process.is_running():
            process.terminate()
        self.restart(name)

    def reserve(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Reserve those of some processes that no other fault affects at the moment."""
        with self._lock:
            reserved = tuple(name for name in names if name not in self._reserved)
            self._reserved |= set(reserved)
            return reserved

    def release(self, names: Iterable[str]) -> None:
        """Let other faults affect processes that were reserved."""
        with self._lock:
            self._reserved -= set(names)

    def restart(self, name: str) -> None:
        """Wait for the exit of a process and start it again."""
        self.fleet.processes[name].wait()
        if name in self._targets:
            self._start_target(name)
        else:
            self.fleet.start(name)
            self.write_senders()

    def supervise(self) -> None:
        """Restart processes that exited outside a fault until the run stops."""
        while not self.stopped.wait(POLL_SECONDS):
            for name in (*self.fleet.controls, *self.fleet.entries, *self._targets):
                if self.fleet.processes[name].is_running() or not self.reserve((name,)):
                    continue
                try:
                    self._restart_exited(name)
                finally:
                    self.release((name,))

    def _restart_exited(self, name: str) -> None:
        """Restart a process that exited by itself, and record it if it is no target."""
        if self.fleet.processes[name].is_running():
            return
        if name not in self._targets:
            self._observations.unexpected_exits.append(f"{name} exited by itself")
        self.stopped.wait(RESTART_SECONDS)
        self.restart(name)
