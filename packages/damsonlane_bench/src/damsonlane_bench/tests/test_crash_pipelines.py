"""Input of a pipeline on which every target exits, sent repeatedly by its caller.

Entries that serve pipelines must quarantine it as those that serve routes do.  Targets of pipelines
have fixed names and no incarnation, so their exits are told apart by their times.
"""

import functools
import json
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from damsonlane_bench.fleet import Fleet, Response, send, wait_until
from damsonlane_bench.settings_trees import digest_token, make_pipeline, make_services
from damsonlane_bench.standin._server import CRASH_INPUT

TOKEN = "north-token"
#: Number of times that the caller sends the request.
REQUEST_COUNT = 6
#: Maximum number of targets that may exit on the request: three until it is quarantined, and one
#: that got it while the report of the third exit was on its way.
MAX_EXITS = 4
TARGETS = ("lookup-1", "lookup-2", "lookup-3")


class CrashPipelineTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.fleet = Fleet(Path(scratch.name))
        self.addCleanup(self.fleet.stop_all)
        for name in TARGETS:
            self.fleet.start_standin(name)
        self.fleet.start_control_group()
        self.fleet.start_entries()
        self.fleet.wait_standins()
        pipelines = {"lookup": make_pipeline("lookup", stage_attempts=2)}
        tree = {
            "services": make_services(self.fleet.standins, "fukuoka-a"),
            "organisations": {
                "north": {"token_digests": [digest_token(TOKEN)], "pipelines": pipelines}
            },
        }
        self.fleet.apply_settings(tree)
        self.exits: Counter[str] = Counter()

    def test_it_is_quarantined_until_an_operator_releases_it(self) -> None:
        responses = [self._send(number, CRASH_INPUT) for number in range(REQUEST_COUNT)]
        received = [(response.status, response.body) for response in responses]
        self.assertLessEqual(self.exits.total(), MAX_EXITS, received)
        self.assertEqual({response.status for response in responses[MAX_EXITS:]}, {503}, received)
        for response in responses[MAX_EXITS:]:
            self.assertEqual(response.body["run"], "no")
        for number in range(4):
            self.assertEqual(self._send(number, f"something else {number}").status, 200)
        self._release()

    def _release(self) -> None:
        """List and release the request as an operator; an unknown fingerprint is refused."""
        rows = json.loads(self.fleet.check_command("quarantine", "list", "--json"))
        self.assertEqual([row["ends"] >= 3 for row in rows], [True])
        fingerprint = rows[0]["fingerprint"]
        self.assertEqual(self.fleet.command("quarantine", "release", "f00").code, 2)
        self.assertIn("released", self.fleet.check_command("quarantine", "release", fingerprint))
        self.assertIn("not held", self.fleet.check_command("quarantine", "release", fingerprint))
        self.assertEqual(json.loads(self.fleet.check_command("quarantine", "list", "--json")), [])

    def _send(self, number: int, text: str) -> Response:
        entry = self.fleet.entries()[number % 2].name
        response = self.fleet.call(entry, "lookup", text, token=TOKEN)
        for name in TARGETS:
            if not self.fleet.processes[name].is_running():
                self.exits[name] += 1
                self.fleet.start_standin(name)
        for name in TARGETS:
            wait_until(functools.partial(self._answers, name), f"{name} serves again")
        return response

    def _answers(self, name: str) -> bool:
        return send("GET", f"http://{self.fleet.standins[name]}/executions").status == 200


if __name__ == "__main__":
    unittest.main()
