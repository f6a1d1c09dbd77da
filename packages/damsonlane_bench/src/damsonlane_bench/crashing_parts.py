"""Requests that share what crashes targets: ``python -m damsonlane_bench.crashing_parts``.

Starts a fleet of real processes whose engines exit on one part of a prompt, and are started again
soon.  Callers send such requests, no two alike, to all entries, and others send sound ones.
"""

import itertools
import json
import random
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from threading import Event, Lock, Thread
from typing import Final

import fire
from tabulate import tabulate

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.registered_target import TargetKind
from damsonlane_bench.registered_target._crashes import CRASH_INPUT
from damsonlane_bench.routes_document import make_document
from damsonlane_bench.routes_fleet import RoutesFleet

#: Engines, targets of the pool, and entries.
_ENGINES: Final = tuple(f"model-{number}" for number in range(10))
_POOL: Final = tuple(f"encode-{number}" for number in range(3))
_ENTRIES: Final = ("entry-1", "entry-2", "entry-3")
#: Seconds from the exit of a target until it is started again.
_RESTART_SECONDS: Final = 2.0
#: Callers of either kind, and seconds between the requests of one.
_CALLERS: Final = 4
_PAUSE_SECONDS: Final = 0.25
#: Seconds for which only sound requests are sent.
_QUIET_SECONDS: Final = 6.0
#: Exit after which the bound on requests holds, and seconds from it on: `contactMs` of the sheets.
_BOUND_EXIT: Final = 5
_CONTACT_SECONDS: Final = 3.0

#: Makes the shared parts of the prompt of one request; the argument is random.
Parts = Callable[[random.Random], Sequence[str]]


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """What callers send, and what happens besides."""

    #: Shared parts of requests that crash targets; None if there are none.
    deadly: Parts | None
    #: Shared parts of sound requests.
    sound: Parts = lambda _: ("first", "second")
    #: The same from the first deadly request on, if they differ.
    later_sound: Parts | None = None
    #: Material key of requests that crash targets of the pool; empty for none.
    material: str = ""
    #: Entries and replicas that are killed and started again, and seconds after the first exit.
    killed: tuple[str, ...] = ()
    kill_seconds: float = 1.5
    #: Engines that are killed at once, again and again.
    rack: tuple[str, ...] = ()


SCENARIOS: Final[dict[str, Scenario]] = {
    "part in the middle": Scenario(deadly=lambda _: ("first", "dead01")),
    "entries killed": Scenario(deadly=lambda _: ("first", "dead01"), killed=_ENTRIES),
    "leader killed": Scenario(deadly=lambda _: ("first", "dead01"), killed=("control-1",)),
    "part first": Scenario(deadly=lambda _: ("dead01", "second")),
    "exit after an event": Scenario(deadly=lambda _: ("first", "deadafter1")),
    "innocent part in nine of ten": Scenario(
        deadly=lambda draw: ("first", "dead01", *(("mate",) if draw.random() < 0.9 else ())),
        sound=lambda _: ("first", "mate"),
    ),
    "innocent part that is new": Scenario(
        deadly=lambda draw: ("first", "dead01", *(("mate",) if draw.random() < 0.9 else ())),
        later_sound=lambda _: ("first", "mate"),
    ),
    "two deadly parts": Scenario(
        deadly=lambda draw: (
            "first",
            *draw.choice((("dead01",), ("dead02",), ("dead01", "dead02"))),
        )
    ),
    "material key": Scenario(deadly=lambda _: ("first",), material=CRASH_INPUT),
    "rack lost": Scenario(deadly=None, rack=_ENGINES[:6]),
}


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A request of a caller."""

    #: Its id.
    request: str
    #: When it was sent, in seconds since 1970.
    at: float
    #: Whether its answer began.
    is_begun: bool


class CrashingFleet:
    """A fleet whose targets are started again when they exited.

    Args:
        fleet: its processes.
    """

    def __init__(self, fleet: RoutesFleet) -> None:
        self.fleet: Final = fleet
        #: Times of the exits of targets by themselves, by target.
        self.exits: Final[list[tuple[float, str]]] = []
        self.stopped: Final = Event()
        #: Whether deadly requests are sent.
        self.is_deadly = False
        self._kinds: Final[dict[str, tuple[str, TargetKind]]] = {
            "desk-0": ("desk", "plain"),
            **dict.fromkeys(_POOL, ("encode", "pool")),
            **dict.fromkeys(_ENGINES, ("model", "engine")),
        }

    def start(self) -> None:
        """Start all processes and wait until all entries serve."""
        for control in self.fleet.controls:
            self.fleet.start(control, is_first_start=True)
        for entry in self.fleet.entries:
            self.fleet.start(entry)
        for name in self._kinds:
            self._start_target(name)
        self.fleet.put_document(1, routes=make_document()["routes"])
        wait_until(self._is_served, "all entries serve streams")

    def supervise(self) -> None:
        """Start targets again until the end."""
        gone: dict[str, float] = {}
        while not self.stopped.wait(0.01):
            for name in self._kinds:
                if self.fleet.processes[name].is_running():
                    continue
                now = time.time()
                if name not in gone:
                    gone[name] = now
                    self.exits.append((now, name))
                elif now - gone[name] >= _RESTART_SECONDS:
                    del gone[name]
                    self._start_target(name)

    def restart(self, names: Sequence[str]) -> None:
        """Kill boxes at once and start them again."""
        for name in names:
            self.fleet.processes[name].kill()
        for name in names:
            self.fleet.start(name)

    def list_arrivals(self, prefix: str) -> list[float]:
        """Return when requests reached engines, by the beginning of their ids."""
        return sorted(
            line["at"]
            for name in _ENGINES
            for line in map(
                _read_line, (self.fleet.folder / f"{name}.log").read_text().splitlines()
            )
            if str(line.get("came", "")).startswith(prefix)
        )

    def _start_target(self, name: str) -> None:
        self.fleet.start_target(name, *self._kinds[name])

    def _is_served(self) -> bool:
        return all(
            self.fleet.is_ready(entry) and _call(self.fleet, entry, f"probe-{time.time()}", ("p",))
            for entry in self.fleet.entries
        )


def _read_line(text: str) -> dict[str, float]:
    try:
        line = json.loads(text)
    except ValueError:
        return {}
    return line if isinstance(line, dict) else {}


def _call(
    fleet: RoutesFleet, entry: str, name: str, shared: Sequence[str], material: str = ""
) -> bool:
    """Send a request that is like no other one; return whether its answer began."""
    prefix = ",".join(f"{part}:100" for part in (*shared, f"own-{name}"))
    status, body = fleet.call(
        entry,
        f"/chat/{name}",
        name,
        body=f"prompt of {name}".encode(),
        Damsonlane_Prefix=prefix,
        Damsonlane_Pieces="1,1",
        Damsonlane_Material_Key=material or f"m-{name}",
    )
    return status == 200 and bool(body)


class Caller:
    """Thread that sends requests of one kind.

    Args:
        fleet: whose entries it calls.
        kind: beginning of the ids of its requests.
        number: its number.
        parts: makes the shared parts of their prompts.
        material: material key of all of them, or an empty string.
        sent: receives what it sent.
    """

    def __init__(
        self, fleet: CrashingFleet, kind: str, number: int, parts: Parts, material: str,
        sent: list[Sent],
    ) -> None:  # fmt: skip
        self._fleet: Final = fleet
        self._kind: Final = kind
        self._number: Final = number
        self._parts: Final = parts
        self._material: Final = material
        self._sent: Final = sent
        self._randomness: Final = random.Random(f"{kind} {number}")
        self.thread: Final = Thread(target=self._run)
        self._lock: Final = Lock()
        self.thread.start()

    def _run(self) -> None:
        workers: list[Thread] = []
        for number in itertools.count():
            if self._fleet.stopped.wait(_PAUSE_SECONDS):
                break
            workers.append(Thread(target=self._send, args=(number,)))
            workers[-1].start()
        for worker in workers:
            worker.join()

    def _send(self, number: int) -> None:
        at = time.time()
        name = f"{self._kind}-{self._number}-{number}"
        entry = self._randomness.choice(self._fleet.fleet.entries)
        parts = self._parts(self._randomness)
        is_begun = _call(self._fleet.fleet, entry, name, parts, self._material)
        with self._lock:
            self._sent.append(Sent(request=name, at=at, is_begun=is_begun))


def _play(scenario: Scenario, seconds: float) -> tuple[object, ...]:
    targets = ["desk-0", *_POOL, *_ENGINES]
    sent: dict[str, list[Sent]] = {"same": [], "other": [], "deadly": []}
    with (
        tempfile.TemporaryDirectory() as folder,
        RoutesFleet(Path(folder), entries=_ENTRIES, targets=targets) as processes,
    ):
        fleet = CrashingFleet(processes)
        fleet.start()
        supervisor = Thread(target=fleet.supervise)
        supervisor.start()

        def make_sound(draw: random.Random) -> Sequence[str]:
            later = scenario.later_sound if fleet.is_deadly else None
            return (later or scenario.sound)(draw)

        callers = [
            Caller(fleet, kind, number, parts, "", sent[kind])
            for kind, parts in (("same", make_sound), ("other", lambda _: ("another",)))
            for number in range(_CALLERS // 2)
        ]
        time.sleep(_QUIET_SECONDS)
        began_at = time.time()
        fleet.is_deadly = True
        if scenario.deadly is not None:
            callers.extend(
                Caller(fleet, "deadly", number, scenario.deadly, scenario.material, sent["deadly"])
                for number in range(_CALLERS)
            )
        _disturb(fleet, scenario, seconds)
        fleet.stopped.set()
        for thread in (supervisor, *(caller.thread for caller in callers)):
            thread.join()
        return _summarise(fleet, sent, began_at)


def _disturb(fleet: CrashingFleet, scenario: Scenario, seconds: float) -> None:
    ends_at = time.monotonic() + seconds
    if scenario.killed:
        time.sleep(scenario.kill_seconds)
        fleet.restart(scenario.killed)
    while scenario.rack and time.monotonic() + 7.0 < ends_at:
        for name in scenario.rack:
            fleet.fleet.processes[name].kill()
        time.sleep(7.0)
    time.sleep(max(0.0, ends_at - time.monotonic()))


def _summarise(
    fleet: CrashingFleet, sent: dict[str, list[Sent]], began_at: float
) -> tuple[object, ...]:
    exits = sorted(at for at, _ in fleet.exits)
    arrivals = fleet.list_arrivals("deadly")
    bound_exit = exits[_BOUND_EXIT - 1] if len(exits) >= _BOUND_EXIT else float("inf")
    late = [at for at in arrivals if at > bound_exit + _CONTACT_SECONDS]
    last = min(bound_exit, exits[-1]) if exits else began_at
    shares = [
        f"{_share(sent[kind], 0, began_at)} {_share(sent[kind], last + 2 * _CONTACT_SECONDS, 1e12)}"
        for kind in ("same", "other")
    ]
    return len(exits), len(arrivals), len(late), *shares


def _share(sent: Sequence[Sent], after: float, before: float) -> str:
    begun = [request.is_begun for request in sent if after <= request.at < before]
    return f"{sum(begun) / max(1, len(begun)):.2f} of {len(begun)}"


def run(seconds: float = 20.0, only: str = "") -> None:
    """Play the scenarios and print a row for each.

    Args:
        seconds: length of each, from the first deadly request on.
        only: part of the names of the scenarios to play; all if empty.
    """
    rows = [(name, *_play(SCENARIOS[name], seconds)) for name in SCENARIOS if only in name]
    headers = (
        "scenario", "exits", "deadly at engines", "late",
        "same part: before, after", "others: before, after",
    )  # fmt: skip
    print(tabulate(rows, headers=headers))


if __name__ == "__main__":
    fire.Fire(run)
