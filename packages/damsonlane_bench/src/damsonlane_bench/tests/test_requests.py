"""Requests with real processes: at-most-once runs, complete responses, refusals and stops."""

import json
import socket
import tempfile
import threading
import unittest
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any, ClassVar

import urllib3

from damsonlane_bench.fleet import Fleet, Response, send, wait_until
from damsonlane_bench.settings_trees import STAGES, digest_token, make_pipeline, make_services

_NORTH = "north-token"
_SOUTH = "south-token"
#: Number of concurrent requests while an entry or the leader fails.
_CONCURRENT_REQUESTS = 120


def _make_tree(addresses: dict[str, str]) -> dict[str, Any]:
    pipelines = {
        "whole": make_pipeline(*STAGES),
        "subtitle": make_pipeline("generate"),
        "confirm": make_pipeline("terminal", repeatable=False, lane="lookup"),
        "lookup": make_pipeline("lookup", lane="lookup"),
    }
    south = {"lookup": make_pipeline("lookup")}
    return {
        "policy": {"deadline_seconds": 20.0, "in_flight": 150},
        "services": make_services(addresses, "fukuoka-a"),
        "organisations": {
            "north": {"token_digests": [digest_token(_NORTH)], "pipelines": pipelines},
            "south": {"token_digests": [digest_token(_SOUTH)], "pipelines": south},
        },
    }


class RequestsTest(unittest.TestCase):
    """All tests share one fleet; each restores it."""

    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        scratch = tempfile.TemporaryDirectory()
        cls.addClassCleanup(scratch.cleanup)
        cls.fleet = Fleet(Path(scratch.name))
        cls.addClassCleanup(cls.fleet.stop_all)
        for service in (*STAGES, "terminal", "lookup"):
            cls.fleet.start_standin(f"{service}-1")
        cls.fleet.start_standin("lookup-2")
        cls.fleet.start_control_group()
        cls.fleet.start_entries()
        cls.fleet.wait_standins()
        cls.fleet.apply_settings(_make_tree(cls.fleet.standins))

    def setUp(self) -> None:
        self.pool = ThreadPoolExecutor(_CONCURRENT_REQUESTS)
        self.addCleanup(self.pool.shutdown)

    # Helpers.

    def _confirm(self, entry: str, key: str, **headers: str) -> Response:
        return self.fleet.call(
            entry,
            "confirm",
            f"confirm {key}",
            token=_NORTH,
            headers={"Idempotency-Key": key, **headers},
        )

    def _count_runs(self) -> Counter[str]:
        """Return how often the target ran each confirmation."""
        runs: Counter[str] = Counter()
        for execution in self.fleet.read_executions("terminal-1"):
            runs[execution["text"]] += execution["count"]
        return runs

    def _resend_during_fault(self, prefix: str, inject_fault: Callable[[], None]) -> None:
        """Send many non-repeatable requests to one entry, inject a fault, resend to the other."""
        keys = [f"{prefix}-{number}" for number in range(_CONCURRENT_REQUESTS)]
        self._change_behaviour("terminal-1", seconds=0.05, slots=8)
        before = sum(self._count_runs().values())
        first: dict[str, Future[Response]] = {
            key: self.pool.submit(self._confirm, "entry-1", key, **{"Damsonlane-Resend": "no"})
            for key in keys
        }
        wait_until(
            lambda: sum(self._count_runs().values()) >= before + 20, "twenty requests have run"
        )
        inject_fault()
        resent = {key: self.pool.submit(self._confirm, "entry-2", key) for key in keys}
        responses = {key: (first[key].result(), resent[key].result()) for key in keys}
        runs = self._count_runs()
        for key, (one, two) in responses.items():
            with self.subTest(key=key):
                self._check_outcomes(runs[f"confirm {key}"], one, two)

    def _check_outcomes(self, runs: int, one: Response, two: Response) -> None:
        self.assertLessEqual(runs, 1, "it ran twice")
        outputs = {response.body["output"] for response in (one, two) if response.status == 200}
        self.assertLessEqual(len(outputs), 1, "two answers differ")
        if outputs:
            self.assertEqual(runs, 1, "it was answered and did not run")
        if two.status not in (0, 200) and two.body["run"] == "no":
            self.assertEqual(runs, 0, "'not run' is false")

    def _change_behaviour(self, name: str, **behaviour: object) -> None:
        """Change the behaviour of a stand-in until the test ends."""
        self.fleet.change_behaviour(name, **behaviour)
        defaults = {"seconds": 0.005, "slots": 4, "token_seconds": 0.001}
        no_faults = dict.fromkeys(("fail_every", "truncate_every", "cross_every"), 0)
        available = {"hang_up_every": 0, "is_refusing": False, "is_leaving": False}
        self.addCleanup(self.fleet.change_behaviour, name, **defaults, **no_faults, **available)

    def _restart(self, entry: str) -> None:
        self.fleet.start(entry)
        self.fleet.wait_ready(self.fleet.boxes[entry])

    # At most once.

    def test_killing_an_entry_under_load_runs_no_request_twice(self) -> None:
        self._resend_during_fault("kill", lambda: self.fleet.kill("entry-1"))
        self._restart("entry-1")

    def test_an_entry_frozen_and_thawed_in_a_storm_runs_nothing_twice(self) -> None:
        process = self.fleet.processes["entry-1"]
        timer = threading.Timer(2.0, process.resume)

        def suspend() -> None:
            process.suspend()
            timer.start()

        self._resend_during_fault("freeze", suspend)
        timer.join()

    def test_killing_the_control_leader_under_load_runs_no_request_twice(self) -> None:
        leader = next(
            row["replica"].rpartition(".")[0]
            for row in json.loads(self.fleet.check_command("control", "status", "--json"))
            if row["standing"] == "leader"
        )
        self._resend_during_fault("leader", lambda: self.fleet.kill(leader))
        self.fleet.start(leader)
        self.fleet.wait_listening(self.fleet.boxes[leader])

    def test_concurrent_resends_through_two_entries_run_once(self) -> None:
        self._change_behaviour("terminal-1", seconds=0.2)
        sent = [
            self.pool.submit(self._confirm, f"entry-{1 + number % 2}", "shared")
            for number in range(6)
        ]
        answers = [future.result() for future in sent]
        self.assertEqual([answer.status for answer in answers], [200] * 6)
        self.assertEqual(len({answer.body["request"] for answer in answers}), 1)
        self.assertEqual(self._count_runs()["confirm shared"], 1)

    def test_a_non_repeatable_call_that_is_cut_off_is_unknown_and_not_retried(self) -> None:
        self._change_behaviour("terminal-1", hang_up_every=1)
        first = self._confirm("entry-1", "hang-up")
        self.assertEqual((first.status, first.body["run"]), (502, "unknown"))
        again = self._confirm("entry-2", "hang-up", **{"Damsonlane-Deadline-Ms": "1500"})
        self.assertEqual((again.status, again.body["run"]), (409, "unknown"))
        self.assertEqual(self._count_runs()["confirm hang-up"], 1)

    def test_a_rejected_non_repeatable_call_did_not_run_and_may_be_resent(self) -> None:
        self._change_behaviour("terminal-1", is_refusing=True)
        first = self._confirm("entry-1", "refused")
        self.assertEqual((first.status, first.body["run"]), (503, "no"))
        self.assertEqual(first.headers["retry-after"], "1")
        self.fleet.change_behaviour("terminal-1", is_refusing=False)
        again = self._confirm("entry-2", "refused")
        self.assertEqual((again.status, self._count_runs()["confirm refused"]), (200, 1))

    def test_without_a_quorum_only_repeatable_requests_are_served(self) -> None:
        names = [box.name for box in self.fleet.controls()][:2]
        for name in names:
            self.fleet.processes[name].suspend()
        # Longer than calls take beside load, or admission refuses before control is asked.
        short = {"Damsonlane-Deadline-Ms": "3000"}
        resent = self._confirm("entry-1", "no-quorum", **short)
        first = self._confirm("entry-1", "no-quorum-2", **short, **{"Damsonlane-Resend": "no"})
        lookup = self.fleet.call("entry-1", "lookup", "still here", token=_NORTH)
        for name in names:
            self.fleet.processes[name].resume()
        self.assertEqual((resent.status, resent.body["run"]), (503, "unknown"))
        self.assertEqual((first.status, first.body["run"]), (503, "no"))
        self.assertEqual(lookup.status, 200)
        self.assertEqual(self._count_runs()["confirm no-quorum"], 0)

    def test_an_idempotency_key_belongs_to_one_request_of_one_organisation(self) -> None:
        key = {"Idempotency-Key": "bound"}
        first = self.fleet.call("entry-1", "lookup", "one", token=_NORTH, headers=key)
        other = self.fleet.call("entry-2", "lookup", "two", token=_NORTH, headers=key)
        south = self.fleet.call("entry-2", "lookup", "two", token=_SOUTH, headers=key)
        self.assertEqual((first.status, other.status, south.status), (200, 422, 200))
        self.assertEqual((first.body["output"], south.body["output"]), ("one", "two"))

    # Complete responses.

    def test_faulty_targets_never_cause_a_wrong_response(self) -> None:
        faults: list[dict[str, object]] = [
            {"truncate_every": 3},
            {"cross_every": 3},
            {"hang_up_every": 3},
            {"fail_every": 3},
        ]
        for fault in faults:
            with self.subTest(fault=fault):
                for name in ("encode-1", "generate-1"):
                    self._change_behaviour(name, **fault)
                self._check_outputs()
                for name in ("encode-1", "generate-1"):
                    self.fleet.change_behaviour(name, **dict.fromkeys(fault, 0))

    def _check_outputs(self) -> None:
        texts = [f"question {number} about a hearing" for number in range(20)]
        sent = {
            text: self.pool.submit(self.fleet.call, "entry-1", "whole", text, token=_NORTH)
            for text in texts
        }
        for text, future in sent.items():
            response = future.result()
            if response.status == 200:
                expected = f"On '{text}': A hearing starts at the hour that the registry announced."
                self.assertEqual(response.body["output"], expected)
            else:
                self.assertIn(response.body["run"], ("no", "unknown"))

    def test_an_interrupted_stream_is_marked_incomplete(self) -> None:
        self._change_behaviour("generate-1", truncate_every=1)
        events = self._stream("a line")
        self.assertEqual(
            events[-1], ("end", {"whole": False, "reason": "not-whole", "run": "unknown"})
        )
        self.fleet.change_behaviour("generate-1", truncate_every=0)
        whole = self._stream("a line")
        self.assertEqual((whole[-1][0], whole[-1][1]["whole"]), ("end", True))
        text = "".join(data["text"] for name, data in whole if name == "token")
        self.assertEqual(text, "On 'a line': Nothing was found.")

    def _stream(self, text: str) -> list[tuple[str, dict[str, Any]]]:
        address = self.fleet.boxes["entry-1"].caller_address
        response = urllib3.request(
            "POST",
            f"http://{address}/v1/pipelines/subtitle",
            body=json.dumps({"input": text}),
            headers={"Authorization": f"Bearer {_NORTH}", "Accept": "text/event-stream"},
            retries=False,
            timeout=60,
        )
        events = []
        for block in response.data.decode().strip().split("\n\n"):
            name, data = block.split("\n")
            events.append((name.removeprefix("event: "), json.loads(data.removeprefix("data: "))))
        return events

    # Draining and stopping.

    def test_a_draining_target_gets_no_new_requests(self) -> None:
        """The settings still list the target, as a stale list would."""
        self._change_behaviour("lookup-1", is_leaving=True)
        for entry in ("entry-1", "entry-2"):
            for _ in range(30):
                self.assertEqual(self._look_up(entry).status, 200)
        before = self._count_executions("lookup-1")
        for entry in ("entry-1", "entry-2"):
            targets = {self._look_up(entry).body["stages"][0]["target"] for _ in range(30)}
            self.assertEqual(targets, {"lookup-2"})
        self.assertEqual(self._count_executions("lookup-1"), before)

    def _look_up(self, entry: str) -> Response:
        return self.fleet.call(entry, "lookup", "status", token=_NORTH)

    def _count_executions(self, name: str) -> int:
        return sum(execution["count"] for execution in self.fleet.read_executions(name))

    def test_a_stopping_entry_cuts_off_nothing_in_flight(self) -> None:
        self._change_behaviour("generate-1", token_seconds=1.0, slots=50)
        streams = [self.pool.submit(self._stream, f"line {number}") for number in range(10)]
        plain = [
            self.pool.submit(self.fleet.call, "entry-1", "whole", f"text {number}", token=_NORTH)
            for number in range(30)
        ]

        def are_all_in_flight() -> bool:
            ended: list[object] = [stream.result() for stream in streams if stream.done()]
            ended += [response.result() for response in plain if response.done()]
            self.assertEqual(ended, [], "requests ended before the entry stopped")
            return self._read_in_flight("entry-1") == 40

        wait_until(are_all_in_flight, "forty requests are in flight")
        code = self.fleet.stop("entry-1")
        self._restart("entry-1")
        self.assertEqual(code, 0)
        self.assertEqual({stream.result()[-1][1]["whole"] for stream in streams}, {True})
        self.assertEqual({response.result().status for response in plain}, {200})

    def _read_in_flight(self, entry: str) -> int:
        address = self.fleet.boxes[entry].admin_address
        lines = send("GET", f"http://{address}/metrics").body.splitlines()
        found = [line for line in lines if line.startswith("damsonlane_in_flight ")]
        return int(float(found[0].split()[1])) if found else 0

    # Bad input.

    def test_bad_input_gets_its_problem_type(self) -> None:
        valid = {"input": "text"}
        cases: list[tuple[str, object, dict[str, str], int, str]] = [
            ("whole", b"{", {}, 400, "malformed"),
            ("whole", {"text": "x"}, {}, 400, "malformed"),
            ("whole", {"input": 3}, {}, 400, "malformed"),
            ("whole", {"input": "x", "more": 1}, {}, 400, "malformed"),
            ("whole", {"input": "x" * (3 * 2**20)}, {}, 413, "too-large"),
            ("whole", valid, {"Authorization": "Bearer wrong"}, 401, "unauthorised"),
            ("whole", valid, {"Authorization": ""}, 401, "unauthorised"),
            ("whole", valid, {"Authorization": f"Bearer {_SOUTH}"}, 404, "unknown-pipeline"),
            ("nothing", valid, {}, 404, "unknown-pipeline"),
            ("whole", valid, {"Damsonlane-Deadline-Ms": "-5"}, 504, "deadline-passed"),
            ("whole", valid, {"Damsonlane-Deadline-Ms": "soon"}, 400, "malformed"),
            ("confirm", valid, {}, 400, "key-needed"),
            ("confirm", valid, {"Idempotency-Key": "k" * 300}, 400, "malformed"),
        ]
        for pipeline, body, headers, status, problem in cases:
            with self.subTest(pipeline=pipeline, headers=headers, problem=problem):
                response = self._post(pipeline, body, headers)
                self.assertEqual(response.status, status)
                self.assertEqual(response.body["type"], f"urn:damsonlane:problem:{problem}")
                self.assertEqual(response.body["run"], "no")
        self.assertEqual(self._look_up("entry-1").status, 200)

    def _post(self, pipeline: str, body: object, headers: dict[str, str]) -> Response:
        address = self.fleet.boxes["entry-1"].caller_address
        url = f"http://{address}/v1/pipelines/{pipeline}"
        return send("POST", url, body, {"Authorization": f"Bearer {_NORTH}", **headers})

    def test_a_duplicate_header_is_refused(self) -> None:
        host, _, port = self.fleet.boxes["entry-1"].caller_address.rpartition(":")
        lines = [
            "POST /v1/pipelines/lookup HTTP/1.1",
            f"Host: {host}",
            f"Authorization: Bearer {_NORTH}",
            "Idempotency-Key: one",
            "Idempotency-Key: two",
            "Content-Length: 15",
            "Connection: close",
            "",
            '{"input": "xx"}',
        ]
        with socket.create_connection((host, int(port)), timeout=60) as connection:
            connection.sendall("\r\n".join(lines).encode())
            answer = b"".join(iter(lambda: connection.recv(4096), b"")).decode()
        self.assertIn("400 Bad Request", answer)
        self.assertIn("header Idempotency-Key stands twice", answer)


if __name__ == "__main__":
    unittest.main()
