"""Shares of resumed streams that go on: ``python -m damsonlane_bench.resumed_streams``.

Starts a fleet of real processes whose engines have several versions.  Callers break streams off
and resume them at random entries, while entries are killed, one version replaces another one, or
engines are killed and start again with another version.
"""

import itertools
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

import fire
from tabulate import tabulate

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.registered_target import TargetKind
from damsonlane_bench.registered_target._events import list_versions
from damsonlane_bench.routes_document import make_document
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.soak._observations import Observations, ResumedStream
from damsonlane_bench.soak._resuming_callers import ResumingCaller

#: Engines, and their first versions.
_ENGINE_COUNT: Final = 6
_VERSION_COUNT: Final = 3
_POOL_COUNT: Final = 3
#: Callers that resume streams.
_CALLER_COUNT: Final = 8
#: Seconds between two steps of a scenario.
_KILL_SECONDS: Final = 3.0
_ROLLOUT_SECONDS: Final = 1.0

#: One step of a scenario: a function of the running fleet and the number of the step.
Step = Callable[["VersionedFleet", int], None]
#: Steps by the name of their scenario, with the seconds between them.
SCENARIOS: Final[dict[str, tuple[Step, float]]] = {}


def scenario(name: str, seconds: float) -> Callable[[Step], Step]:
    """Register the decorated function as the step of a scenario."""

    def register(step: Step) -> Step:
        SCENARIOS[name] = (step, seconds)
        return step

    return register


class VersionedFleet:
    """A fleet whose engines have versions.

    Args:
        fleet: its processes.
    """

    def __init__(self, fleet: RoutesFleet) -> None:
        self.fleet: Final = fleet
        self.engines: Final = [f"model-{number}" for number in range(_ENGINE_COUNT)]
        self._versions: Final = itertools.count()

    def start(self) -> None:
        """Start all processes and wait until all entries serve."""
        for control in self.fleet.controls:
            self.fleet.start(control, is_first_start=True)
        for entry in self.fleet.entries:
            self.fleet.start(entry)
        self._start_target("desk-0", "desk", "plain")
        for number in range(_POOL_COUNT):
            self._start_target(f"encode-{number}", "encode", "pool")
        for number, engine in enumerate(self.engines):
            self.start_engine(engine, f"v{number % _VERSION_COUNT}")
        self.fleet.put_document(1, routes=make_document()["routes"])
        wait_until(self._is_served, "all entries serve streams")

    def start_engine(self, name: str, version: str) -> None:
        """Start an engine with a version."""
        self._start_target(name, "model", "engine", version)

    def _start_target(self, name: str, service: str, kind: TargetKind, version: str = "") -> None:
        self.fleet.start_target(name, service, kind, version=version)

    def _is_served(self) -> bool:
        return all(
            self.fleet.is_ready(entry) and self._serves(entry) for entry in self.fleet.entries
        )

    def _serves(self, entry: str) -> bool:
        headers = {"Damsonlane_Pieces": "1,1", "Damsonlane_Material_Key": "m"}
        name = f"probe-{time.monotonic_ns()}"
        return self.fleet.call(entry, "/chat/a", name, **headers)[0] == 200  # type: ignore[arg-type]


@scenario("callers break off", _KILL_SECONDS)
def _do_nothing(fleet: VersionedFleet, number: int) -> None:
    """Leave the processes alone."""


@scenario("all entries but one are killed at once", _KILL_SECONDS)
def _kill_entries(fleet: VersionedFleet, number: int) -> None:
    entries = fleet.fleet.entries
    spared = entries[number % len(entries)]
    killed = [entry for entry in entries if entry != spared]
    for entry in killed:
        fleet.fleet.processes[entry].kill()
    for entry in killed:
        fleet.fleet.start(entry)


@scenario("all entries are killed at once", _KILL_SECONDS)
def _kill_all_entries(fleet: VersionedFleet, number: int) -> None:
    for entry in fleet.fleet.entries:
        fleet.fleet.processes[entry].kill()
    for entry in fleet.fleet.entries:
        fleet.fleet.start(entry)


@scenario("one version replaces another", _ROLLOUT_SECONDS)
def _replace_version(fleet: VersionedFleet, number: int) -> None:
    """Drain one engine, and start it again with the version of its turn."""
    engine = fleet.engines[number % _ENGINE_COUNT]
    process = fleet.fleet.processes[engine]
    process.terminate()
    process.wait()
    fleet.start_engine(engine, f"v{_VERSION_COUNT + number // _ENGINE_COUNT}")


@scenario("engines restart with another version", _ROLLOUT_SECONDS)
def _restart_engine(fleet: VersionedFleet, number: int) -> None:
    engine = fleet.engines[number % _ENGINE_COUNT]
    fleet.fleet.processes[engine].kill()
    fleet.start_engine(engine, f"v{(number + number // _ENGINE_COUNT) % _VERSION_COUNT}")


def _play(name: str, seconds: float, entries: int, seed: int) -> list[ResumedStream]:
    """Play one scenario and return the streams of its callers."""
    step, pause = SCENARIOS[name]
    targets = [
        "desk-0",
        *(f"encode-{number}" for number in range(_POOL_COUNT)),
        *(f"model-{number}" for number in range(_ENGINE_COUNT)),
    ]
    observations = Observations()
    with (
        tempfile.TemporaryDirectory() as folder,
        RoutesFleet(
            Path(folder),
            entries=[f"entry-{number}" for number in range(1, entries + 1)],
            targets=targets,
        ) as processes,
    ):
        fleet = VersionedFleet(processes)
        fleet.start()
        callers = [
            ResumingCaller(processes, observations, f"caller{number}", seed)
            for number in range(_CALLER_COUNT)
        ]
        for caller in callers:
            caller.start()
        ends_at = time.monotonic() + seconds
        for number in itertools.count():
            time.sleep(pause)
            if time.monotonic() >= ends_at:
                break
            step(fleet, number)
        for caller in callers:
            caller.stop()
    return observations.resumed_streams


def _summarise(name: str, streams: Sequence[ResumedStream]) -> tuple[object, ...]:
    begun = sum(bool(stream.body) for stream in streams)
    refused_first = sum(stream.refused_first for stream in streams)
    resumed = sum(stream.resumed for stream in streams)
    refused = sum(stream.refused for stream in streams)
    mixed = sum(len(list_versions(stream.body)) > 1 for stream in streams)
    new_share = begun / max(1, begun + refused_first)
    resumed_share = resumed / max(1, resumed + refused)
    return name, begun, mixed, f"{new_share:.3f}", resumed + refused, f"{resumed_share:.3f}"


def run(seconds: float = 20.0, entries: int = 3, seed: int = 1, only: str = "") -> None:
    """Play the scenarios and print a row for each.

    Args:
        seconds: length of each.
        entries: number of entries.
        seed: seed of the callers.
        only: part of the names of the scenarios to play; all if empty.
    """
    rows = [
        _summarise(name, _play(name, seconds, entries, seed)) for name in SCENARIOS if only in name
    ]
    headers = ("scenario", "begun", "two versions", "new begin", "tries", "go on")
    print(tabulate(rows, headers=headers))


if __name__ == "__main__":
    fire.Fire(run)
