"""The input of a pipeline that no target survives, sent again and again by its caller.

The entry that serves pipelines limits what one request costs, as the one that serves routes
does, and it forgot with the request what that did to targets; so the same caller ended two
targets a try here as well.  Targets of pipelines have fixed names and tell no start, so their
ends are told apart by when they came.
"""

import functools
import json
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from damsonlane_bench.fleet import Fleet, Response, send, wait_until
from damsonlane_bench.settings_trees import digest_token, make_pipeline, make_services
from damsonlane_bench.standin._server import DEADLY

TOKEN = "north-token"
#: Times that the caller sends its request again.
TRIES = 6
#: Targets that may end under one request: three before it is known, and one that got it while
#: word of the third was on its way.
MOST_ENDS = 4
TARGETS = ("lookup-1", "lookup-2", "lookup-3")


class DeadlyPipelineTest(unittest.TestCase):
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
        self.fleet.apply_tree(tree)
        self.ends: Counter[str] = Counter()

    def test_it_ends_three_targets_and_hardly_more(self) -> None:
        answers = [self._send(number, DEADLY) for number in range(TRIES)]
        told = [(answer.status, answer.body) for answer in answers]
        self.assertLessEqual(self.ends.total(), MOST_ENDS, told)
        self.assertEqual({answer.status for answer in answers[MOST_ENDS:]}, {503}, told)
        for answer in answers[MOST_ENDS:]:
            self.assertEqual(answer.body["run"], "no")
        for number in range(4):
            self.assertEqual(self._send(number, f"something else {number}").status, 200)
        self._release()

    def _release(self) -> None:
        """An operator lists the request and releases it; a typing error is told."""
        rows = json.loads(self.fleet.require("quarantine", "list", "--json"))
        self.assertEqual([row["ends"] >= 3 for row in rows], [True])
        fingerprint = rows[0]["fingerprint"]
        self.assertEqual(self.fleet.command("quarantine", "release", "f00").code, 2)
        self.assertIn("released", self.fleet.require("quarantine", "release", fingerprint))
        self.assertIn("not held", self.fleet.require("quarantine", "release", fingerprint))
        self.assertEqual(json.loads(self.fleet.require("quarantine", "list", "--json")), [])

    def _send(self, number: int, text: str) -> Response:
        entry = self.fleet.entries()[number % 2].name
        answer = self.fleet.call(entry, "lookup", text, token=TOKEN)
        for name in TARGETS:
            if not self.fleet.processes[name].is_running():
                self.ends[name] += 1
                self.fleet.start_standin(name)
        for name in TARGETS:
            wait_until(functools.partial(self._answers, name), f"{name} is back")
        return answer

    def _answers(self, name: str) -> bool:
        return send("GET", f"http://{self.fleet.standins[name]}/executions").status == 200


if __name__ == "__main__":
    unittest.main()
