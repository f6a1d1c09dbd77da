"""Streams that callers take up at an entry which has missed a new version of the targets."""

import itertools
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.registered_target._events import list_versions
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.tests.streams import Stream, try_stream

#: The entry that is out of step, and the one at which streams begin meanwhile.
LATE, CURRENT = "entry-1", "entry-2"
ENGINES = ("model-1", "model-2")
#: Streams of the new version that are taken up at the late entry.
STREAM_COUNT = 6
#: Callers that begin streams at the same time, so that both engines get some.
CALLER_COUNT = 24
#: Events that a caller has when its stream breaks off.
SEEN_COUNT = 3


class EntryOutOfStepTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = self.enterContext(
            RoutesFleet(Path(folder), entries=(LATE, CURRENT), targets=ENGINES)
        )
        for control in self.fleet.controls:
            self.fleet.start(control, is_first_start=True)
        for entry in self.fleet.entries:
            self.fleet.start(entry)
        self.fleet.start_target("model-1", "model", "engine", version="v1")
        self.fleet.put_document(1)
        wait_until(lambda: all(map(self.serves, self.fleet.entries)), "both entries serve")

    def test_an_entry_that_was_suspended_joins_two_versions(self) -> None:
        """Guards against a list of versions that looks fresh because it was read late."""
        self.fleet.processes[LATE].suspend()
        self.fleet.start_target("model-2", "model", "engine", version="v2")
        streams = self.begin_at_new_version()
        for name in (CURRENT, *self.fleet.controls):
            self.fleet.processes[name].suspend()
        with ThreadPoolExecutor(len(streams)) as callers:
            tries = [callers.submit(self.take_up, stream) for stream in streams]
            self.fleet.processes[LATE].resume()
            taken_up = [one.result() for one in tries]
        self.assertNotIn({"v1"}, [list_versions(stream.body) for stream in taken_up])
        self.assertLessEqual({stream.status for stream in taken_up if not stream.body}, {503})

    def begin_at_new_version(self) -> list[Stream]:
        """Begin streams until some have begun at the new version, and return these."""
        streams: list[Stream] = []
        with ThreadPoolExecutor(CALLER_COUNT) as callers:
            for number in itertools.count():
                if len(streams) >= STREAM_COUNT:
                    break
                names = [f"begin-{number}-{caller}" for caller in range(CALLER_COUNT)]
                begun = callers.map(self.begin, names)
                streams += [one for one in begun if list_versions(one.body) == {"v2"}]
        return streams

    def begin(self, name: str) -> Stream:
        return try_stream(self.fleet, CURRENT, name, limit=SEEN_COUNT)

    def take_up(self, stream: Stream) -> Stream:
        return try_stream(self.fleet, LATE, f"{stream.attempt}-again", begun=stream)

    def serves(self, entry: str) -> bool:
        """Return whether an entry has just sent a whole stream."""
        name = f"probe-{time.monotonic_ns()}"
        return self.fleet.is_ready(entry) and try_stream(self.fleet, entry, name).is_complete


if __name__ == "__main__":
    unittest.main()
