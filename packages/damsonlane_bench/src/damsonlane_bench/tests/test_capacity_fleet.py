"""Owners of services among entries of different capacities, with real processes."""

import tempfile
import unittest
import urllib.request
from pathlib import Path
from typing import Any

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.registered_target import TargetKind
from damsonlane_bench.routes_fleet import RoutesFleet

ENTRIES = ("entry-1", "entry-2", "entry-3")
#: Names, services and kinds of the targets.
TARGETS: tuple[tuple[str, str, TargetKind], ...] = (
    ("model-1", "model", "engine"),
    ("encode-1", "encode", "pool"),
)


class CapacityFleet(RoutesFleet):
    """A fleet whose entries have capacities."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, entries=ENTRIES, targets=[name for name, _, _ in TARGETS])
        #: Capacity of each entry when it starts, in cores.
        self.cores = dict.fromkeys(ENTRIES, 0.387)
        self._requests = 0

    def list_owners(self) -> set[str]:
        """Return the running entries that own services, after a request at each of them."""
        owners = set()
        for entry in ENTRIES:
            if self.processes[entry].is_running():
                self._requests += 1
                self.send_chat(entry, f"owners-{self._requests}")
                if self._read_metric(entry, "damsonlane_owned_shards") > 0:
                    owners.add(entry)
        return owners

    def send_chat(self, entry: str, request_id: str) -> int:
        """Send a request with stages and return its status."""
        return self.call(
            entry, "/chat/a", request_id, Damsonlane_Pieces="2,3", Damsonlane_Material_Key="test"
        )[0]

    def _make_settings(self, name: str, is_first_start: bool) -> dict[str, Any]:
        settings = super()._make_settings(name, is_first_start)
        if name in self.cores:
            capacity = {"memory_bytes": 160_000_000, "link_bits": 3.75e6}
            settings["capacity"] = {"cores": self.cores[name], **capacity}
        return settings

    def _read_metric(self, entry: str, name: str) -> float:
        url = f"http://{self.addresses[f'{entry}/admin']}/metrics"
        try:
            with urllib.request.urlopen(url, timeout=10) as response:
                lines = response.read().decode().splitlines()
        except OSError:
            # It has not started yet.
            return 0.0
        return sum(float(line.split()[-1]) for line in lines if line.startswith(name))


class CapacityFleetTest(unittest.TestCase):
    def test_the_largest_entry_owns_all_services_until_it_is_lost(self) -> None:
        """Guards against a capacity that gets lost between settings, control and entries.

        Also against services without an owner once the only large entry is lost, and against a
        larger entry that joins later and owns nothing.
        """
        with tempfile.TemporaryDirectory() as folder:
            fleet = CapacityFleet(Path(folder))
            with fleet:
                self._run(fleet)

    def _run(self, fleet: CapacityFleet) -> None:
        def wait_for_owner(entry: str) -> None:
            wait_until(lambda: fleet.list_owners() == {entry}, f"{entry} owns all services")

        for control in fleet.controls:
            fleet.start(control, is_first_start=True)
        fleet.cores["entry-3"] = 1.29
        for entry in ENTRIES:
            fleet.start(entry)
        for name, service, kind in TARGETS:
            fleet.start_target(name, service, kind)
        fleet.put_document(1)
        wait_for_owner("entry-3")
        fleet.processes["entry-3"].kill()
        wait_until(
            lambda: bool(fleet.list_owners() & {"entry-1", "entry-2"}),
            "the small entries own the services",
        )
        fleet.processes["entry-2"].kill()
        fleet.cores["entry-2"] = 1.29
        fleet.start("entry-2")
        wait_for_owner("entry-2")
        self.assertEqual(fleet.send_chat("entry-1", "last"), 200)


if __name__ == "__main__":
    unittest.main()
