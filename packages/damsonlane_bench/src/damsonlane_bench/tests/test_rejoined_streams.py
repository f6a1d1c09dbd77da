"""Streams that callers take up again after all entries were killed at once."""

import contextlib
import http.client
import re
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.registered_target._events import (
    EVENT_COUNT,
    list_versions,
    render_stream,
    strip_versions,
)
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.tests.streams import Stream, try_stream

ENTRIES = ("entry-1", "entry-2", "entry-3")
ENGINES = {"model-1": "v1", "model-2": "v1", "model-3": "v2", "model-4": "v2"}
STREAM_COUNT = 24
#: Events that a caller has when its stream breaks off.
SEEN_COUNT = 3
#: Streams that must go on, of those whose version serves.
GO_ON_SHARE = 0.9
#: Tries of one caller, and seconds between them.
TRIES = 8
PAUSE_SECONDS = 0.4
_IS_LEADER = re.compile(rb"^damsonlane_is_leader\S* 1", re.MULTILINE)


class RejoinedStreamsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = self.enterContext(
            RoutesFleet(Path(folder), entries=ENTRIES, targets=tuple(ENGINES))
        )
        for control in self.fleet.controls:
            self.fleet.start(control, is_first_start=True)
        for entry in ENTRIES:
            self.fleet.start(entry)
        for engine, version in ENGINES.items():
            self.fleet.start_target(engine, "model", "engine", version=version)
        self.fleet.put_document(1)
        wait_until(self._are_versions_served, "all entries serve both versions")

    def test_streams_go_on_after_all_entries_were_killed(self) -> None:
        streams = self._begin_all()
        self._restart_entries()
        self._check(self._take_up_all(streams))

    def test_streams_go_on_after_all_entries_and_the_leader_were_killed(self) -> None:
        streams = self._begin_all()
        self._kill_leader()
        self._restart_entries()
        self._check(self._take_up_all(streams))

    def test_streams_of_a_version_that_has_left_are_refused(self) -> None:
        streams = self._begin_all()
        for engine in ("model-1", "model-2"):
            self.fleet.processes[engine].terminate()
            self.fleet.processes[engine].wait()
        self._restart_entries()
        ended = self._take_up_all(streams)
        left = [stream for stream in ended if list_versions(stream.body) == {"v1"}]
        self.assertTrue(all(stream.status == 503 for stream in left), left)
        self._check([stream for stream in ended if stream not in left])

    def _check(self, streams: list[Stream]) -> None:
        """Check that streams went on at the version that began them."""
        for stream in streams:
            self.assertEqual(len(list_versions(stream.body)), 1, stream)
            self.assertTrue(render_stream().startswith(strip_versions(stream.body)), stream)
        whole = [stream for stream in streams if stream.body.count("\n\n") == EVENT_COUNT]
        statuses = [stream.status for stream in streams]
        self.assertGreaterEqual(len(whole), GO_ON_SHARE * len(streams), statuses)

    def _begin_all(self) -> list[Stream]:
        streams = [
            try_stream(
                self.fleet, ENTRIES[number % len(ENTRIES)], f"begin-{number}", limit=SEEN_COUNT
            )
            for number in range(STREAM_COUNT)
        ]
        self.assertEqual({stream.status for stream in streams}, {200})
        self.assertEqual({*map(len, map(list_versions, (s.body for s in streams)))}, {1})
        return streams

    def _restart_entries(self) -> None:
        for entry in ENTRIES:
            self.fleet.processes[entry].kill()
        for entry in ENTRIES:
            self.fleet.start(entry)
        wait_until(self._are_versions_served, "all entries serve again")

    def _kill_leader(self) -> None:
        leading = [name for name in self.fleet.controls if self._is_leader(name)]
        for name in leading:
            self.fleet.processes[name].kill()
        self.assertEqual(len(leading), 1)

    def _is_leader(self, control: str) -> bool:
        address = self.fleet.addresses[f"{control}/admin"]
        connection = http.client.HTTPConnection(address, timeout=2.0)
        with contextlib.closing(connection):
            connection.request("GET", "/metrics")
            return bool(_IS_LEADER.search(connection.getresponse().read()))

    def _are_versions_served(self) -> bool:
        """Return whether every entry has just sent a stream of a version that serves."""
        name = f"probe-{time.monotonic_ns()}"
        return all(
            self.fleet.is_ready(entry)
            and try_stream(self.fleet, entry, f"{name}-{entry}").is_complete
            for entry in ENTRIES
        )

    def _take_up_all(self, streams: list[Stream]) -> list[Stream]:
        """Take streams up again at the same time, each as its caller does."""
        with ThreadPoolExecutor(len(streams)) as callers:
            return list(callers.map(self._take_up, streams))

    def _take_up(self, stream: Stream) -> Stream:
        """Take a stream up again at one entry after another."""
        for number in range(TRIES):
            entry = ENTRIES[number % len(ENTRIES)]
            tried = try_stream(self.fleet, entry, f"{stream.attempt}-again-{number}", begun=stream)
            stream = replace(
                stream,
                body=stream.body + tried.body,
                status=tried.status,
                is_complete=tried.is_complete,
            )
            if stream.is_complete:
                break
            time.sleep(PAUSE_SECONDS)
        return stream


if __name__ == "__main__":
    unittest.main()
