"""Fleet membership with real processes: lost entries, draining targets and the platform's list."""

import json
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from damsonlane_bench.fleet import Fleet, wait_until
from damsonlane_bench.settings_trees import digest_token, make_pipeline, make_services

_TOKEN = "north-token"


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        folder = Path(scratch.name)
        self.platform_list = folder / "platform.json"
        self.platform_list.write_text('{"live": ["lookup-1", "lookup-2"]}')
        list_setting = {"kind": "file", "place": str(self.platform_list)}
        self.fleet = Fleet(folder, box_settings={"platform_list": list_setting})
        self.addCleanup(self.fleet.stop_all)
        for number in (1, 2):
            self.fleet.start_standin(f"lookup-{number}", slots=50)
        self.fleet.start_control_group()
        self.fleet.start_entries()
        self.fleet.wait_standins()
        pipelines = {"lookup": make_pipeline("lookup", fleet_in_flight=8)}
        self.fleet.apply_settings(
            {
                "policy": {"deadline_seconds": 20.0},
                "services": make_services(self.fleet.standins, "fukuoka-a"),
                "organisations": {
                    "north": {"token_digests": [digest_token(_TOKEN)], "pipelines": pipelines}
                },
            }
        )

    def _read_standings(self) -> dict[str, Any]:
        rows = json.loads(self.fleet.check_command("control", "boxes", "--json"))
        return {row["box"]: row["standing"] for row in rows}

    def _count_admitted(self, entry: str) -> int:
        """Send more slow requests at once than the fleet's limit; return how many were admitted."""
        with ThreadPoolExecutor(20) as pool:
            sent = [
                pool.submit(self.fleet.call, entry, "lookup", "x", token=_TOKEN) for _ in range(20)
            ]
            return sum(1 for future in sent if future.result().status == 200)

    def test_the_share_of_a_killed_entry_is_redistributed(self) -> None:
        wait_until(
            lambda: self._read_standings() == {"entry-1": "live", "entry-2": "live"},
            "both entries are live",
        )
        for number in (1, 2):
            self.fleet.change_behaviour(f"lookup-{number}", seconds=1.0)
        wait_until(lambda: self._count_admitted("entry-1") == 4, "entry-1 has half of the limit")
        self.fleet.kill("entry-2")
        wait_until(lambda: self._count_admitted("entry-1") == 8, "entry-1 has the whole limit")
        self.assertNotIn("entry-2", self._read_standings())

    def test_a_target_that_the_platform_lists_as_leaving_gets_no_requests(self) -> None:
        self.platform_list.write_text('{"live": ["lookup-2"], "leaving": ["lookup-1"]}')
        wait_until(
            lambda: self._list_targets_used("entry-1") == {"lookup-2"},
            "entry-1 sends to lookup-2 only",
        )
        self.assertEqual(self._list_targets_used("entry-1"), {"lookup-2"})

    def test_a_draining_target_is_reported_to_the_other_entry(self) -> None:
        """The other entry never receives the rejection itself."""
        self.fleet.change_behaviour("lookup-1", is_leaving=True)
        for _ in range(30):
            self.fleet.call("entry-1", "lookup", "x", token=_TOKEN)
        self.fleet.change_behaviour("lookup-1", is_leaving=False)
        wait_until(
            lambda: self._list_targets_used("entry-2") == {"lookup-2"},
            "entry-2 sends to lookup-2 only",
        )

    def _list_targets_used(self, entry: str) -> set[str]:
        responses = [self.fleet.call(entry, "lookup", "x", token=_TOKEN) for _ in range(20)]
        return {item.body["stages"][0]["target"] for item in responses if item.status == 200}


if __name__ == "__main__":
    unittest.main()
