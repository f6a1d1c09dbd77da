"""Membership with real processes: shares come back, leaving spreads, lists lag."""

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
        self.list = folder / "platform.json"
        self.list.write_text('{"live": ["lookup-1", "lookup-2"]}')
        place = {"kind": "file", "place": str(self.list)}
        self.fleet = Fleet(folder, box_settings={"platform_list": place})
        self.addCleanup(self.fleet.stop_all)
        for number in (1, 2):
            self.fleet.start_standin(f"lookup-{number}", slots=50)
        self.fleet.start_control_group()
        self.fleet.start_entries()
        self.fleet.wait_standins()
        pipelines = {"lookup": make_pipeline("lookup", fleet_in_flight=8)}
        self.fleet.apply_tree(
            {
                "policy": {"deadline_seconds": 20.0},
                "services": make_services(self.fleet.standins, "fukuoka-a"),
                "organisations": {
                    "north": {"token_digests": [digest_token(_TOKEN)], "pipelines": pipelines}
                },
            }
        )

    def _boxes(self) -> dict[str, Any]:
        rows = json.loads(self.fleet.require("control", "boxes", "--json"))
        return {row["box"]: row["standing"] for row in rows}

    def _count_entered(self, entry: str) -> int:
        """Send more slow requests at once than the fleet's limit; return how many entered."""
        with ThreadPoolExecutor(20) as pool:
            sent = [
                pool.submit(self.fleet.call, entry, "lookup", "x", token=_TOKEN) for _ in range(20)
            ]
            return sum(1 for future in sent if future.result().status == 200)

    def test_a_killed_entry_gives_its_share_back(self) -> None:
        wait_until(lambda: self._boxes() == {"entry-1": "live", "entry-2": "live"}, "both live")
        for number in (1, 2):
            self.fleet.change_behaviour(f"lookup-{number}", seconds=1.0)
        wait_until(lambda: self._count_entered("entry-1") == 4, "each has half of the limit")
        self.fleet.kill("entry-2")
        wait_until(lambda: self._count_entered("entry-1") == 8, "one has all of the limit")
        self.assertNotIn("entry-2", self._boxes())

    def test_the_platforms_list_takes_a_target_out(self) -> None:
        self.list.write_text('{"live": ["lookup-2"], "leaving": ["lookup-1"]}')
        wait_until(lambda: self._targets("entry-1") == {"lookup-2"}, "nothing new goes there")
        self.assertEqual(self._targets("entry-1"), {"lookup-2"})

    def test_word_of_a_leaving_target_reaches_the_other_entry(self) -> None:
        """The other entry never meets the refusal itself."""
        self.fleet.change_behaviour("lookup-1", is_leaving=True)
        for _ in range(30):
            self.fleet.call("entry-1", "lookup", "x", token=_TOKEN)
        self.fleet.change_behaviour("lookup-1", is_leaving=False)
        wait_until(lambda: self._targets("entry-2") == {"lookup-2"}, "entry-2 has heard of it")

    def _targets(self, entry: str) -> set[str]:
        answers = [self.fleet.call(entry, "lookup", "x", token=_TOKEN) for _ in range(20)]
        return {answer.body["stages"][0]["target"] for answer in answers if answer.status == 200}


if __name__ == "__main__":
    unittest.main()
