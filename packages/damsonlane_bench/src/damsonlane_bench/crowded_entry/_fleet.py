"""The processes of a fleet whose entries are crowded."""

import json
import threading
import time
from collections import Counter
from collections.abc import Sequence
from datetime import datetime
from pathlib import Path
from typing import Final

from damsonlane.records import dataclass
from damsonlane_bench.fleet import wait_until
from damsonlane_bench.registered_target import TargetKind
from damsonlane_bench.routes_document import make_document
from damsonlane_bench.routes_fleet import RoutesFleet

#: Seconds for which an entry of half a core runs and is stopped by turns.
HALF_CORE_SECONDS: Final = 0.05
#: Seconds in which the fleet starts to serve.
START_SECONDS: Final = 240.0


@dataclass(frozen=True, kw_only=True)
class FleetSize:
    """Numbers of processes and the limits of targets."""

    #: Entries.
    entries: int = 12
    #: Plain targets.
    desks: int = 6
    #: Engines, and the slots of each.
    engines: int = 8
    slots: int = 40
    #: Targets of the pool of the stages.
    pools: int = 4
    #: Connections that each target takes.
    connections: int = 50
    #: Whether entries are held to half a core.
    is_half: bool = False

    def list_targets(self) -> list[tuple[str, str, TargetKind]]:
        """Return name, service and kind of each target."""
        groups: tuple[tuple[str, TargetKind, int], ...] = (
            ("desk", "plain", self.desks),
            ("model", "engine", self.engines),
            ("encode", "pool", self.pools),
        )
        return [
            (f"{service}-{number}", service, kind)
            for service, kind, count in groups
            for number in range(count)
        ]


class CrowdedFleet:
    """Starts and watches the processes; a context manager that kills them.

    Args:
        folder: receives settings, data and logs.
        size: the numbers of processes.
    """

    def __init__(self, folder: Path, size: FleetSize) -> None:
        self._size: Final = size
        self.fleet: Final = RoutesFleet(
            folder,
            entries=[f"entry-{number}" for number in range(1, size.entries + 1)],
            targets=[name for name, _, _ in size.list_targets()],
        )
        self._ended: Final = threading.Event()

    def __enter__(self) -> "CrowdedFleet":
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self.fleet.__exit__()

    def start(self) -> None:
        """Start all processes and wait until all entries serve."""
        fleet, size = self.fleet, self._size
        for control in fleet.controls:
            fleet.start(control, is_first_start=True)
        for name, service, kind in size.list_targets():
            fleet.start_target(name, service, kind, connections=size.connections)
        for entry in fleet.entries:
            fleet.start(entry)
        fleet.put_document(1, **self._make_changes())
        for entry in fleet.entries:
            wait_until(lambda entry=entry: self._serves(entry), entry, START_SECONDS)  # type: ignore[misc]
        if size.is_half:
            for index, entry in enumerate(fleet.entries):
                threading.Thread(target=self._hold, args=(entry, index), daemon=True).start()

    def list_addresses(self, *, owners_first: bool = False) -> list[str]:
        """Return the addresses of the entries for callers.

        Args:
            owners_first: whether those of entries that own most come first.
        """
        entries = list(self.fleet.entries)
        if owners_first:
            entries.sort(key=self._count_owned, reverse=True)
        return [self.fleet.addresses[f"{entry}/front"] for entry in entries]

    def count_reasons(self, after: float, before: float) -> Counter[str]:
        """Return the reasons of the requests that entries ended with a refusal, by wall clock."""
        reasons: Counter[str] = Counter()
        for entry in self.fleet.entries:
            for line in (self.fleet.folder / f"{entry}.log").read_text().splitlines():
                if '"ended"' not in line or '"refused-' not in line:
                    continue
                fields = json.loads(line)
                if after <= datetime.fromisoformat(fields["time"]).timestamp() < before:
                    reasons[fields["reason"]] += 1
        return reasons

    def find_peaks(self) -> dict[str, tuple[int, int]]:
        """Return the most open connections and the reset ones of targets, by service."""
        peaks: dict[str, tuple[int, int]] = {}
        for name, service, _ in self._size.list_targets():
            open_most, reset = self.fleet.read_connections(name)
            known = peaks.get(service, (0, 0))
            peaks[service] = max(known[0], open_most), known[1] + reset
        return peaks

    def _count_owned(self, entry: str) -> int:
        """Return how many shards an entry owns, by the last line of its log about them."""
        lines = (self.fleet.folder / f"{entry}.log").read_text().splitlines()
        changes = [json.loads(line) for line in lines if '"owned shards changed"' in line]
        return len(changes[-1]["shards"]) if changes else 0

    def _make_changes(self) -> dict[str, Sequence[object]]:
        document = make_document()
        for service in document["services"]:
            service["most_connections"] = self._size.connections
            if "engine" in service:
                service["engine"]["slots"] = self._size.slots
        return {"routes": document["routes"], "services": document["services"]}

    def _serves(self, entry: str) -> bool:
        headers = {"Damsonlane_Pieces": "1,1", "Damsonlane_Material_Key": "m"}
        name = f"probe-{time.monotonic_ns()}"
        status, _ = self.fleet.call(entry, "/chat/a", name, **headers)  # type: ignore[arg-type]
        return status == 200 and self.fleet.call(entry, "/ping/a", f"{name}-p")[0] == 200

    def _hold(self, entry: str, index: int) -> None:
        """Stop and resume an entry by turns, each at another time than its neighbours."""
        process = self.fleet.processes[entry]
        self._ended.wait(HALF_CORE_SECONDS * index / self._size.entries)
        while not self._ended.is_set():
            process.suspend()
            self._ended.wait(HALF_CORE_SECONDS)
            process.resume()
            self._ended.wait(HALF_CORE_SECONDS)
