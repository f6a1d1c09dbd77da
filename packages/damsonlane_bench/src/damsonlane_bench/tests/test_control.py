"""Control replicas as real processes that are killed, suspended, wiped and replaced."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from damsonlane_bench.fleet import Box, Fleet, wait_until
from damsonlane_bench.operator import OperatorLoop


class ControlTest(unittest.TestCase):
    """Each test starts a control group of its own."""

    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.fleet = Fleet(Path(scratch.name), entries=1)
        self.addCleanup(self.fleet.stop_all)
        self.fleet.start_control_group()
        self.operator = OperatorLoop(self.fleet)
        self.addCleanup(self.operator.close)

    def _find_leader(self) -> Box:
        found: list[Box] = []

        def has_one_leader() -> bool:
            found[:] = [
                self.fleet.boxes[status.box]
                for status in self.operator.statuses()
                if status.standing == "leader"
            ]
            return len(found) == 1

        wait_until(has_one_leader, "exactly one replica is leader")
        return found[0]

    def _check_history(self) -> None:
        """Check that the history has each accepted change once, at the version of its reply."""
        history = self.operator.history()
        changes = {change.version: change.change for change in history}
        self.assertEqual(
            {v: changes.get(v) for v in self.operator.accepted}, self.operator.accepted
        )
        self.assertEqual(len(changes), len(set(changes.values())), "a change was applied twice")

    def test_no_accepted_change_is_lost_when_the_leader_is_killed(self) -> None:
        for _ in range(3):
            self.operator.change(15)
            leader = self._find_leader()
            self.operator.start_changing(30)
            self.fleet.kill(leader.name)
            self.operator.finish_changing()
            self.fleet.start(leader.name)
            self.fleet.wait_listening(leader)
        self._check_history()

    def test_a_suspended_leader_neither_reverts_changes_nor_returns_stale_versions(self) -> None:
        self.operator.change(5)
        leader = self._find_leader()
        self.fleet.processes[leader.name].suspend()
        self.operator.change(5)
        self.fleet.processes[leader.name].resume()
        version = self.operator.version_at(leader)
        self.assertGreaterEqual(version, max(self.operator.accepted))
        self._check_history()

    def test_replacing_a_wiped_replica_loses_no_change_when_another_one_is_killed(self) -> None:
        self.operator.change(10)
        first, second, third = self.fleet.controls()
        old = self.operator.status(third).replica
        self.fleet.kill(third.name)
        self.fleet.wipe_data(third.name)
        self.operator.change(5)
        self.fleet.start(third.name)
        self.fleet.wait_listening(third)
        status = self.operator.status(third)
        self.assertNotEqual(status.replica, old)
        self.assertEqual(status.cluster, "")
        self.operator.start_changing(20)
        self.fleet.check_command("control", "replace", old, third.internal_address)
        self.operator.finish_changing()
        self.fleet.kill(second.name)
        self.operator.change(5)
        self._check_history()

    def test_all_replicas_recover_the_current_version_after_they_were_killed_at_once(self) -> None:
        self.operator.change(500)
        for box in self.fleet.controls():
            self.fleet.kill(box.name)
        for box in self.fleet.controls():
            self.fleet.start(box.name)
        self.operator.change(1)
        self.assertEqual(max(self.operator.accepted), 501)
        self._check_history()

    def test_one_of_two_concurrent_changes_of_the_same_version_is_accepted(self) -> None:
        outcomes = self.operator.race(2)
        self.assertEqual(sorted(outcomes), ["change-accepted", "change-conflict"])

    def test_an_evacuated_data_centre_is_listed_until_it_is_restored(self) -> None:
        self.assertIn(
            "johar is evacuated\n", self.fleet.check_command("data-centre", "evacuate", "johar")
        )
        again = self.fleet.check_command("data-centre", "evacuate", "johar")
        self.assertIn("as before", again)
        for box in self.fleet.controls():
            self.fleet.kill(box.name)
        for box in self.fleet.controls():
            self.fleet.start(box.name)
        (row,) = json.loads(self.fleet.check_command("data-centre", "list", "--json"))
        self.assertEqual(row["data centre"], "johar")
        self.assertTrue(row["operator"] and row["since"])
        self.fleet.check_command("data-centre", "restore", "johar")
        self.assertEqual(json.loads(self.fleet.check_command("data-centre", "list", "--json")), [])

    def test_a_client_without_tls_gets_no_answer(self) -> None:
        box = self.fleet.controls()[0]
        self.assertFalse(self.operator.answers_without_tls(box))

    def test_an_entry_is_ready_only_once_control_confirmed_a_version(self) -> None:
        first, second, _ = self.fleet.controls()
        self.operator.change(3)
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
