"""Control with real processes: kills, freezes, wiped folders and replacements."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from damsonlane_bench.fleet import Box, Fleet, wait_until
from damsonlane_bench.operator import OperatorLoop


class ControlTest(unittest.TestCase):
    """Each test starts a group of its own."""

    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.fleet = Fleet(Path(scratch.name), entries=1)
        self.addCleanup(self.fleet.stop_all)
        self.fleet.start_control_group()
        self.operators = OperatorLoop(self.fleet)
        self.addCleanup(self.operators.close)

    def _leader(self) -> Box:
        found: list[Box] = []

        def is_found() -> bool:
            found[:] = [
                self.fleet.boxes[status.box]
                for status in self.operators.statuses()
                if status.standing == "leader"
            ]
            return len(found) == 1

        wait_until(is_found, "one replica leads")
        return found[0]

    def _require_history(self) -> None:
        """Check that every accepted change is read back, in its place."""
        history = self.operators.history()
        found = {change.version: change.change for change in history}
        self.assertEqual(
            {v: found.get(v) for v in self.operators.accepted}, self.operators.accepted
        )
        self.assertEqual(len(found), len(set(found.values())), "a change was applied twice")

    def test_killed_leader_loses_no_accepted_change(self) -> None:
        for _ in range(3):
            self.operators.change(15)
            leader = self._leader()
            self.operators.start_changing(30)
            self.fleet.kill(leader.name)
            self.operators.finish_changing()
            self.fleet.start(leader.name)
            self.fleet.wait_listening(leader)
        self._require_history()

    def test_frozen_leader_neither_reverts_nor_answers_as_current(self) -> None:
        self.operators.change(5)
        leader = self._leader()
        self.fleet.processes[leader.name].freeze()
        self.operators.change(5)
        self.fleet.processes[leader.name].thaw()
        version = self.operators.version_at(leader)
        self.assertGreaterEqual(version, max(self.operators.accepted))
        self._require_history()

    def test_wiped_box_waits_and_replacing_it_loses_nothing_when_another_dies(self) -> None:
        self.operators.change(10)
        first, second, third = self.fleet.controls()
        old = self.operators.status(third).replica
        self.fleet.kill(third.name)
        self.fleet.wipe(third.name)
        self.operators.change(5)
        self.fleet.start(third.name)
        self.fleet.wait_listening(third)
        status = self.operators.status(third)
        self.assertNotEqual(status.replica, old)
        self.assertEqual(status.cluster, "")
        self.operators.start_changing(20)
        self.fleet.require("control", "replace", old, third.internal_address)
        self.operators.finish_changing()
        self.fleet.kill(second.name)
        self.operators.change(5)
        self._require_history()

    def test_all_killed_at_once_come_back_to_the_current_version(self) -> None:
        self.operators.change(500)
        for box in self.fleet.controls():
            self.fleet.kill(box.name)
        for box in self.fleet.controls():
            self.fleet.start(box.name)
        self.operators.change(1)
        self.assertEqual(max(self.operators.accepted), 501)
        self._require_history()

    def test_two_operators_with_equal_versions_have_one_winner(self) -> None:
        outcomes = self.operators.race(2)
        self.assertEqual(sorted(outcomes), ["change-accepted", "change-conflict"])

    def test_a_data_centre_is_evacuated_listed_and_restored(self) -> None:
        self.assertIn(
            "johar is evacuated\n", self.fleet.require("data-centre", "evacuate", "johar")
        )
        again = self.fleet.require("data-centre", "evacuate", "johar")
        self.assertIn("as before", again)
        for box in self.fleet.controls():
            self.fleet.kill(box.name)
        for box in self.fleet.controls():
            self.fleet.start(box.name)
        (row,) = json.loads(self.fleet.require("data-centre", "list", "--json"))
        self.assertEqual(row["data centre"], "johar")
        self.assertTrue(row["operator"] and row["since"])
        self.fleet.require("data-centre", "restore", "johar")
        self.assertEqual(json.loads(self.fleet.require("data-centre", "list", "--json")), [])

    def test_a_peer_without_a_key_gets_nothing(self) -> None:
        box = self.fleet.controls()[0]
        self.assertFalse(self.operators.answers_without_key(box))

    def test_an_entry_is_ready_only_after_a_confirmed_version(self) -> None:
        first, second, _ = self.fleet.controls()
        self.operators.change(3)
        self.fleet.kill(first.name)
        self.fleet.kill(second.name)
        entry = self.fleet.entries()[0]
        self.fleet.start(entry.name)
        self.fleet.wait_listening(entry)
        response: Any = self.fleet.call(entry.name, "any", "text", token="none")
        self.assertEqual((response.status, response.body["run"]), (503, "no"))
        self.fleet.start(first.name)
        self.fleet.wait_ready(entry)


if __name__ == "__main__":
    unittest.main()
