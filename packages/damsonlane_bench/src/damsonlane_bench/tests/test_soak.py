"""Plans of the soak, the checks of its guarantees, and one short run."""

import os
import socket
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from damsonlane.codec import decode_bytes, encode_text
from damsonlane_bench.registered_target import write_senders
from damsonlane_bench.registered_target._events import render_stream
from damsonlane_bench.registered_target._load import IMPLAUSIBLE_ENDINGS, ReportedLoad
from damsonlane_bench.registered_target._rejections import Rejections
from damsonlane_bench.registered_target._senders import Senders
from damsonlane_bench.soak import (
    ANNOUNCEMENT_KINDS,
    CROWD_KINDS,
    CUT_KINDS,
    ENTRY_KINDS,
    LOAD_KINDS,
    PROCESS_FAULT_KINDS,
    RATE_LIMIT_KINDS,
    REJECTION_KINDS,
    REPLACEMENT_KINDS,
    SILENCE_KINDS,
    SURGE_KINDS,
    FleetSize,
    Parts,
    Plan,
    SoakRun,
    draw_plan,
)
from damsonlane_bench.soak._checks import COMPLETE_STREAM, SHARED_PART_NAME
from damsonlane_bench.soak._evaluation import find_violations
from damsonlane_bench.soak._guarantees import GUARANTEES
from damsonlane_bench.soak._observations import (
    Arrival,
    CallerResponse,
    FaultEvent,
    Observations,
    RateLimitAnnouncement,
    StalledRead,
    TargetRun,
    TargetWait,
    VersionRead,
    read_target_runs,
)
from damsonlane_bench.soak._parts import ORGANISATIONS

#: Any free port.
LOOPBACK = ("127.0.0.1", 0)
#: Seed of the short run.
SEED = 7
#: Names of guarantees that several tests check.
RATE_LIMIT = "all entries together stay within the rate limit of a target"
ANNOUNCEMENT = "an entry sends nothing to a target that announced back-off or draining"
#: Length of the short run, in seconds.
SECONDS = 14.0
#: Process faults of seed 109: time, kind and process.
SEED_109_FAULTS = [
    (0.39, "power", ""),
    (0.46, "hang-up", "entry-2"),
    (0.89, "stop", "entry-1"),
    (1.61, "kill", "desk-2"),
    (1.83, "kill", "model-2"),
    (2.29, "stop", "entry-1"),
    (2.3, "kill", "encode-1"),
    (3.39, "hang-up", "entry-1"),
    (4.71, "power", ""),
    (5.25, "hang-up", "control-1"),
    (5.28, "power", ""),
    (5.44, "kill", "entry-1"),
    (6.33, "freeze", "encode-2"),
    (6.7, "kill", "encode-1"),
    (7.49, "freeze", "control-1"),
    (8.27, "hang-up", "control-3"),
    (8.58, "kill", "model-1"),
    (9.4, "stop", "entry-2"),
    (12.42, "stop", "entry-1"),
    (12.53, "hang-up", "control-1"),
    (14.29, "stop", "entry-1"),
]


class FragileTargetTest(unittest.TestCase):
    def test_a_target_fails_with_more_rejections_than_it_bears(self) -> None:
        rejections = Rejections(slots=4)
        self.assertFalse(rejections.rejects(60))
        rejections.announce_next()
        self.assertEqual((rejections.rejects(5), rejections.rejects(6)), (False, True))
        self.assertEqual([rejections.record_rejection() for _ in range(3)], [False, False, True])

    def test_more_failures_than_allowed_are_a_violation(self) -> None:
        observations = Observations()
        observations.rejection_limits.append(2)
        for falls, violations in ((2, 0), (3, 1)):
            observations.falls = falls
            self.assertEqual(len(find_violations(observations, ())), violations)


class SendersTest(unittest.TestCase):
    def test_the_sender_of_a_request_is_found_by_its_process(self) -> None:
        with (
            socket.create_server(("127.0.0.1", 0)) as server,
            tempfile.TemporaryDirectory() as name,
        ):
            path = Path(name) / "senders.json"
            senders = Senders(path, server.getsockname()[1])
            with socket.create_connection(server.getsockname()) as connection:
                port = connection.getsockname()[1]
                self.assertEqual(senders.find(port), "")
                write_senders(path, {"entry-1": os.getpid()}, {"entry-1": "hang"})
                self.assertEqual(senders.find(port), "entry-1")
                self.assertEqual(senders.find_cut("entry-1"), "hang")
                self.assertIsNone(senders.find_cut("entry-2"))


class PlanTest(unittest.TestCase):
    def test_equal_seeds_give_equal_plans(self) -> None:
        plan = draw_plan(3, 20.0)
        self.assertEqual(draw_plan(3, 20.0), plan)
        self.assertNotEqual(draw_plan(4, 20.0).faults, plan.faults)
        self.assertEqual(decode_bytes(encode_text(plan, Plan), Plan), plan)

    def test_announcements_do_not_change_the_process_faults_of_a_seed(self) -> None:
        """Stored seeds must reproduce the runs in which they found faults."""
        faults = draw_plan(109, 20.0).faults
        process_faults = [fault for fault in faults if fault.kind in PROCESS_FAULT_KINDS]
        self.assertEqual(
            [(fault.at, fault.kind, fault.process) for fault in process_faults], SEED_109_FAULTS
        )

    def test_faults_affect_all_processes_of_a_larger_fleet(self) -> None:
        size = FleetSize(controls=5, entries=9, targets=7)
        plans = [draw_plan(seed, 60.0, size) for seed in range(50)]
        faults = [fault for plan in plans for fault in plan.faults]
        surging = {fault.process for fault in faults if fault.kind in SURGE_KINDS}
        self.assertEqual(surging, set(ORGANISATIONS))
        drawn = {fault.process for fault in faults if fault.kind not in SURGE_KINDS} - {""}
        targets = {target.name for target in size.list_targets()}
        self.assertEqual(drawn, {*size.list_controls(), *size.list_entries(), *targets})
        self.assertEqual(decode_bytes(encode_text(plans[0], Plan), Plan), plans[0])

    def test_fifty_seeds_cover_all_kinds_and_have_overlapping_faults(self) -> None:
        plans = [draw_plan(seed, 20.0) for seed in range(50)]
        kinds = {fault.kind for plan in plans for fault in plan.faults}
        self.assertEqual(
            kinds,
            {
                *PROCESS_FAULT_KINDS,
                *ANNOUNCEMENT_KINDS,
                *RATE_LIMIT_KINDS,
                *LOAD_KINDS,
                *SURGE_KINDS,
                *CROWD_KINDS,
                *CUT_KINDS,
                *REJECTION_KINDS,
                *REPLACEMENT_KINDS,
                *SILENCE_KINDS,
                *ENTRY_KINDS,
            },
        )
        overlapping = sum(
            later.at < earlier.at + earlier.seconds
            for plan in plans
            for earlier, later in zip(plan.faults, plan.faults[1:], strict=False)
        )
        self.assertGreater(overlapping, 50)

    def test_seeds_without_reported_load_have_no_faults_of_load(self) -> None:
        """A part that is off must not act: a failure could not be attributed to it."""
        plans = [draw_plan(seed, 20.0) for seed in range(50)]
        on = [plan for plan in plans if plan.parts.has_reported_load]
        self.assertTrue(0 < len(on) < len(plans))
        kinds = {fault.kind for plan in plans if plan not in on for fault in plan.faults}
        self.assertFalse(kinds & set(LOAD_KINDS))

    def test_a_stored_plan_without_parts_switches_none_on(self) -> None:
        """Plans of failures found before a part existed must still play as they did."""
        stored = b'{"seed": 1, "seconds": 2.0, "faults": []}'
        self.assertEqual(decode_bytes(stored, Plan).parts, Parts())

    def test_capacities_of_entries_differ(self) -> None:
        """With equal capacities, owners are chosen as without any, and the part tests nothing."""
        drawn = [draw_plan(seed, 20.0).parts.capacities for seed in range(50)]
        self.assertEqual({len(set(capacities)) for capacities in drawn}, {0, 2})


class ReportedLoadTest(unittest.TestCase):
    def test_periods_begin_and_end_independently(self) -> None:
        """The end of an implausible report must not end a slow period that overlaps it."""
        load = ReportedLoad(4)
        load.running = 6
        load.begin_slow_period()
        self.assertEqual(load.render(), "4,2,4,250")
        for ending in IMPLAUSIBLE_ENDINGS:
            load.begin_implausible_reports()
            self.assertEqual(load.render(), f"4,2,4,{ending}")
        load.end_implausible_reports()
        self.assertEqual(load.render(), "4,2,4,250")
        load.end_slow_period()
        self.assertEqual(load.render(), "4,2,4,100")


class CheckTest(unittest.TestCase):
    """Each guarantee is violated alone, and no other check reports a violation."""

    def setUp(self) -> None:
        self.observations = Observations()
        self.runs = [_run("refund-1"), _run("chat-1"), _run("ping-1")]
        self._respond("refund-1", 200, "ok")
        self._respond("chat-1", 200, COMPLETE_STREAM)

    def _respond(
        self, request: str, status: int, body: str = "", *, is_complete: bool = True
    ) -> None:
        route = request.partition("-")[0]
        response = CallerResponse(
            request=request, route=route, status=status, is_complete=is_complete, body=body
        )
        self.observations.record_response(response)

    def _find(self) -> list[str]:
        return [violation.guarantee for violation in find_violations(self.observations, self.runs)]

    def test_no_violation(self) -> None:
        self._respond("chat-1", 200, COMPLETE_STREAM[:40], is_complete=False)
        self._respond("refund-2", 503)
        self.observations.record_version_read(VersionRead(acknowledged=3, returned=3))
        self.assertEqual(self._find(), [])

    def test_a_request_that_runs_twice(self) -> None:
        self.runs.append(_run("refund-1"))
        self.assertEqual(self._find(), ["a non-repeatable request runs at most once"])

    def test_a_refused_request_that_ran(self) -> None:
        self._respond("refund-1", 503)
        self.assertEqual(self._find(), ["a refused request did not run"])

    def test_a_response_to_a_request_that_never_ran(self) -> None:
        self._respond("refund-9", 200, "ok")
        self.assertEqual(self._find(), ["a response is complete and belongs to its request"])

    def test_a_stream_with_duplicate_or_missing_events(self) -> None:
        first, second = COMPLETE_STREAM.split("\n\n")[:2]
        for body in (f"{first}\n\n{first}\n\n", f"{second}\n\n", f"{first}\n\n"):
            with self.subTest(body=body):
                self.setUp()
                self._respond("chat-1", 200, body)
                self.assertIn("a response is complete and belongs to its request", self._find())

    def test_a_read_of_an_older_version(self) -> None:
        self.observations.record_version_read(VersionRead(acknowledged=3, returned=2))
        self.assertEqual(
            self._find(), ["a read returns no older version than the acknowledged one"]
        )

    def test_a_crash_request_that_is_not_quarantined(self) -> None:
        self.runs += [_run("ping-2", at=float(at), is_crash=True) for at in (0, 1, 2, 3, 4)]
        self.assertEqual(self._find(), [])
        self.runs += [_run("ping-2", at=float(at), is_crash=True) for at in (6, 7, 8, 9)]
        self.assertEqual(self._find(), ["a request that crashes targets is quarantined"])
        self.observations.fault_events.append(FaultEvent(process="control-1", at=5.5))
        self.assertEqual(self._find(), [])

    def _arrive(
        self,
        entry: str,
        *times: float,
        backoff_seconds: float = 0.0,
        draining: bool = False,
        held_seconds: float = 0.0,
    ) -> None:
        for at in times:
            self.observations.arrivals.append(
                Arrival(
                    request=f"ping-1@{entry}" if entry else "",
                    target="desk-1",
                    backoff_seconds=backoff_seconds,
                    is_draining=draining,
                    at=at,
                    held_seconds=held_seconds,
                )
            )

    def test_requests_that_a_cut_held_back_count_from_when_they_were_sent(self) -> None:
        self._arrive("entry-1", 10.0, backoff_seconds=1.5)
        self._arrive("entry-1", 11.0, 11.1, 11.2, 11.3, 11.4, held_seconds=0.9)
        self.assertEqual(self._find(), [])
        self._arrive("entry-1", 11.0, 11.1, 11.2, 11.3, 11.4, held_seconds=0.1)
        self.assertEqual(self._find(), [ANNOUNCEMENT])

    def test_requests_to_a_target_that_backs_off(self) -> None:
        self._arrive("entry-1", 10.0, backoff_seconds=1.5)
        self._arrive("entry-1", 10.1, 10.2, 10.4, 10.6, 11.4, 11.6, 11.7)
        self._arrive("entry-2", 10.6, 10.7, 10.8, 10.9)
        self.assertEqual(self._find(), [])
        self._arrive("entry-1", 10.9)
        self.assertEqual(self._find(), [ANNOUNCEMENT])
        self.observations.fault_events.append(FaultEvent(process="entry-2", at=10.5))
        self.assertEqual(self._find(), [ANNOUNCEMENT])
        self.observations.fault_events.append(FaultEvent(process="entry-1", at=10.5))
        self.assertEqual(self._find(), [])

    def test_requests_to_a_draining_target(self) -> None:
        self._arrive("entry-1", 10.0, draining=True)
        self._arrive("entry-1", 11.0, 11.5, 11.9, 15.0, 20.0)
        self.assertEqual(self._find(), [])
        self._arrive("entry-1", 30.0)
        self.assertEqual(self._find(), [ANNOUNCEMENT])

    def test_calls_to_a_pool_target_that_backs_off(self) -> None:
        self._arrive("", 10.0, backoff_seconds=1.5)
        self._arrive("", 10.6, 10.7, 10.8, 10.9, 11.0)
        self.assertEqual(self._find(), [])
        self._arrive("", 11.1)
        self.assertEqual(self._find(), [ANNOUNCEMENT])

    def test_calls_to_a_pool_target_whose_back_off_has_passed_for_one_of_two_owners(self) -> None:
        """The owner that received the back-off first may send again while the other one may not."""
        for at in (5.951, 6.157):
            self._arrive("", at, backoff_seconds=1.5)
        self._arrive("", 7.485, 7.517, 7.554, 7.563, 7.602, 7.626, 7.688)
        self.assertEqual(self._find(), [])
        self._arrive("", 6.7, 6.8, 6.9, 7.0, 7.1, 7.2)
        self.assertEqual(self._find(), [ANNOUNCEMENT])

    def _announce_rate_limit(self, entry: str, rate: float | None, at: float) -> None:
        request = f"ping-1@{entry}" if entry else ""
        self.observations.rate_limits.append(
            RateLimitAnnouncement(request=request, target="desk-1", rate=rate, at=at)
        )

    def test_two_entries_that_exceed_a_rate_limit_together(self) -> None:
        """One request per second allows 11 in the window; neither entry alone sends as many."""
        for entry in ("entry-1", "entry-2"):
            self._announce_rate_limit(entry, 1.0, 10.0)
            self._arrive(entry, 14.0, 14.5, 15.0, 15.5, 16.0)
        self._arrive("entry-1", 16.5)
        self.assertEqual(self._find(), [])
        self._arrive("entry-2", 16.6)
        self.assertEqual(self._find(), [RATE_LIMIT])
        # A higher rate was announced in between, or none.
        for rate in (2.0, None):
            self._announce_rate_limit("entry-1", rate, 15.2)
            self.assertEqual(self._find(), [])
            self.observations.rate_limits.pop()
        # A restarted entry has lost the announcement; a suspended target gets all requests at once.
        for process in ("entry-2", "desk-2"):
            self.observations.fault_events.append(FaultEvent(process=process, at=14.6))
            self.assertEqual(self._find(), [])
            self.observations.fault_events.pop()
        self.assertEqual(self._find(), [RATE_LIMIT])

    def test_an_entry_that_received_no_rate_limit(self) -> None:
        self._announce_rate_limit("entry-1", 1.0, 10.0)
        self._arrive("entry-2", *(14.0 + step / 10 for step in range(30)))
        self.assertEqual(self._find(), [])
        self._announce_rate_limit("entry-2", 1.0, 14.0)
        self.assertEqual(self._find(), [RATE_LIMIT])

    def test_calls_to_a_pool_target_that_exceed_its_rate_limit(self) -> None:
        self._announce_rate_limit("", 0.5, 10.0)
        self._arrive("", *(14.0 + step / 10 for step in range(8)))
        self.assertEqual(self._find(), [])
        self._arrive("", 14.9)
        self.assertEqual(self._find(), [RATE_LIMIT])

    def test_bytes_of_another_stream(self) -> None:
        """Guards against delivery of buffered bytes of one caller to another one."""
        own = render_stream("chat-1")
        cases = ((own, True, 0), (own[:9000], False, 0), (own[:9000], True, 1))
        other = own[:9000] + render_stream("chat-2")[9000:]
        for body, is_complete, count in (*cases, (other, False, 1)):
            with self.subTest(length=len(body), is_complete=is_complete):
                self.observations.stalled_reads[:] = [
                    StalledRead(request="chat-1", status=200, is_complete=is_complete, body=body)
                ]
                name = "a caller that stops reading receives only its own stream"
                self.assertEqual(self._find(), [name] * count)

    def test_a_target_that_waits_for_a_caller(self) -> None:
        """Guards against a reader that holds its target for longer than the entry allows."""
        for seconds in (4.9, 5.1):
            self.observations.target_waits.append(
                TargetWait(request="chat-1@entry-1", target="model-ab", seconds=seconds, at=20.0)
            )
        name = "a caller that stops reading does not hold up its target"
        self.assertEqual(self._find(), [name])
        for process in ("entry-1", "model-2"):
            self.observations.fault_events[:] = [FaultEvent(process=process, at=16.0)]
            self.assertEqual(self._find(), [])
        self.observations.fault_events[:] = [FaultEvent(process="entry-2", at=16.0)]
        self.assertEqual(self._find(), [name])

    def test_a_caller_that_is_held_up(self) -> None:
        """Guards against other callers that wait for one which stops reading."""
        for seconds in (5.4, 5.6):
            self.observations.record_response(
                CallerResponse(
                    request="ping-1@entry-1",
                    route="ping",
                    status=0,
                    is_complete=False,
                    body="",
                    seconds=seconds,
                    at=20.0,
                )
            )
        self.assertEqual(self._find(), ["a caller without a stream is not held up"])
        self.observations.fault_events.append(FaultEvent(process="entry-1", at=16.0))
        self.assertEqual(self._find(), [])

    def test_an_organisation_that_is_served_less_than_the_others(self) -> None:
        """Guards against a surge of one organisation that displaces another one."""
        for organisation, served in (("florists", 100), ("bakers", 20)):
            for number in range(100):
                self.observations.record_response(
                    CallerResponse(
                        request="ping-1",
                        route="ping",
                        status=200 if number < served else 503,
                        is_complete=True,
                        body="",
                        organisation=organisation,
                    )
                )
        self.assertEqual(self._find(), [])
        for index, response in enumerate(self.observations.responses):
            if response.organisation == "bakers" and index % 2 == 0:
                self.observations.responses[index] = replace(response, status=503)
        name = "no organisation is served less than a quarter as often as all of them"
        self.assertEqual(self._find(), [name])

    def test_a_part_of_prompts_that_is_not_quarantined(self) -> None:
        request = f"chat-{SHARED_PART_NAME}0-1@entry-1"
        self.runs += [_run(request, at=float(at), is_crash=True) for at in range(6)]
        self.assertEqual(self._find(), [])
        self.runs += [_run(request, at=float(at), is_crash=True) for at in (8, 9, 10, 11)]
        self.assertEqual(self._find(), ["a part of prompts that crashes engines is quarantined"])

    def test_an_unexpected_exit(self) -> None:
        self.observations.unexpected_exits.append("entry-1 exited by itself")
        self.assertEqual(self._find(), ["control replicas and entries do not exit by themselves"])

    def test_every_guarantee_is_tested(self) -> None:
        self.assertEqual(len(GUARANTEES), 16)

    def test_target_runs_are_read_from_logs(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "desk-1.log"
            log.write_text('{"ran": "r", "deadly": true, "at": 1.5}\nanother line\n')
            self.assertEqual(list(read_target_runs([log])), [_run("r", at=1.5, is_crash=True)])


class RunTest(unittest.TestCase):
    def test_a_short_run_violates_no_guarantee(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            plan = draw_plan(SEED, SECONDS)
            result = SoakRun(plan, Path(folder)).run()
        self.assertEqual(result.violations, (), plan)
        self.assertGreater(result.statuses.get(200, 0), 0)


def _run(request: str, *, at: float = 0.0, is_crash: bool = False) -> TargetRun:
    return TargetRun(request=request, is_crash=is_crash, at=at)


if __name__ == "__main__":
    unittest.main()
