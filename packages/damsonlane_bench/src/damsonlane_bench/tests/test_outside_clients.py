"""Clients outside the limits, at an entry that runs as a process with little memory."""

import resource
import socket
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Final

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.registered_target._events import LARGE_INPUT
from damsonlane_bench.routes_document import make_document
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.tests.client_crowd import (
    Behaviour,
    Crowd,
    ProcessUse,
    make_chunk,
    make_head,
    read_slowly,
    send_parts,
)

#: Resident memory and processor time are those of the process alone.
RUNS_ALONE: Final = True
#: Memory of the entry's machine, in bytes.
MEMORY_BYTES: Final = 96 * 2**20
#: Largest body, in bytes.
BODY_BYTES: Final = 4 * 2**20
#: Descriptors that the entry's process may have.
DESCRIPTORS: Final = 256
#: Descriptors of these that must stay free for targets, other boxes and files.
RESERVED_DESCRIPTORS: Final = 32
#: Clients of most crowds, those that hold up answers, and those that only connect.
CROWD: Final = 48
ANSWER_CROWD: Final = 160
IDLE_CROWD: Final = 400
#: Seconds for which a crowd keeps on before the entry is looked at.
HOLD_SECONDS: Final = 3.0
#: Seconds within which the entry answers an ordinary request that is sent again while refused.
ANSWER_SECONDS: Final = 30.0
#: Requests that a client sends without reading an answer.
PIPELINED: Final = 16
#: Data of a large chunk, in bytes.
CHUNK_BYTES: Final = 64 * 1024
#: Head of a request whose body comes in chunks.
CHUNKED: Final = make_head("/ping/a", "Transfer-Encoding: chunked")
#: A request whose body stops just short of the limit; many chunks are written at once, so that
#: the crowd is not slower than the entry.
ONE_BYTE_CHUNKS: Final = (CHUNKED, *[make_chunk(1) * 4096] * (BODY_BYTES // 4096 - 1))


def make_large_request(path: str) -> bytes:
    """Return a request for a large answer."""
    return make_head(path, f"Content-Length: {len(LARGE_INPUT)}") + LARGE_INPUT.encode()


class OutsideClientsTest(unittest.TestCase):
    fleet: RoutesFleet
    number = 0

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        settings = {
            "capacity": {"cores": 1.0, "memory_bytes": MEMORY_BYTES, "link_bits": 1e9},
        }
        targets = ("desk-1", "desk-2", "model-1", "model-2")
        fleet = RoutesFleet(
            Path(folder),
            controls=("control-1",),
            entries=("entry-1",),
            targets=targets,
            entry_settings={"entry-1": settings},
        )
        cls.fleet = cls.enterClassContext(fleet)
        fleet.start("control-1", is_first_start=True)
        for target in targets:
            service = target.partition("-")[0]
            fleet.start_target(target, service, "plain" if service == "desk" else "engine")
        routes = make_document()["routes"]
        stream = next(route for route in routes if route["name"] == "note")
        long = {**stream, "name": "long", "prefix": "/long/", "stages": []}
        fleet.put_document(1, routes=[*routes, long])

    def setUp(self) -> None:
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        # The process that starts next inherits the limit.
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, limits[1]))
        try:
            self.fleet.start("entry-1")
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        self.process = self.fleet.processes["entry-1"]
        self.addCleanup(self.process.kill)
        self.use = ProcessUse(self.process.pid)
        for path in ("/ping/a", "/long/a"):
            self.check_answered(path)

    def check_answered(self, path: str = "/ping/a") -> None:
        """Check that an ordinary request is answered; a caller sends a refused one again."""

        def is_answered() -> bool:
            type(self).number += 1
            return self.fleet.call("entry-1", path, f"ordinary-{self.number}")[0] == 200

        wait_until(is_answered, "an ordinary request is answered", ANSWER_SECONDS)

    def check_use(self) -> None:
        self.assertTrue(self.process.is_running(), self.process.read_log_tail())
        self.assertLessEqual(self.use.peak_bytes(), MEMORY_BYTES)
        self.assertLessEqual(self.use.count_descriptors(), DESCRIPTORS - RESERVED_DESCRIPTORS)

    def play(self, behave: Behaviour, count: int = CROWD) -> None:
        """Check the entry while a crowd is there, and after it."""
        with Crowd(self.fleet.addresses["entry-1/front"], count, behave):
            time.sleep(HOLD_SECONDS)
            self.check_use()
        self.check_answered()
        self.check_use()

    def test_chunked_bodies_that_stop_short_of_their_end(self) -> None:
        """Guards against bodies that are held without a limit of their sum."""
        chunk = make_chunk(CHUNK_BYTES)
        self.play(send_parts([CHUNKED, *[chunk] * (BODY_BYTES // CHUNK_BYTES - 1)]))

    def test_bodies_in_chunks_of_one_byte(self) -> None:
        """Guards against parts of a body that take many times the memory of their bytes."""
        self.play(send_parts(ONE_BYTE_CHUNKS))

    def test_an_ordinary_request_beside_bodies_in_chunks_of_one_byte(self) -> None:
        """Guards against parsing that takes every turn of the event loop."""
        with Crowd(self.fleet.addresses["entry-1/front"], CROWD, send_parts(ONE_BYTE_CHUNKS)):
            time.sleep(HOLD_SECONDS)
            self.check_answered()
            self.assertTrue(self.process.is_running(), self.process.read_log_tail())

    def test_bodies_whose_announced_length_is_over_the_limit(self) -> None:
        """Guards against bodies that are read although they are refused in any case."""
        head = make_head("/ping/a", f"Content-Length: {2**30}")
        self.play(send_parts([head, b"x" * CHUNK_BYTES], is_endless=True))

    def test_chunked_bodies_without_end(self) -> None:
        """Guards against bodies that are read on and on after they are refused."""
        self.play(send_parts([CHUNKED, make_chunk(CHUNK_BYTES)], is_endless=True))

    def test_whole_answers_that_are_read_slowly(self) -> None:
        """Guards against unsent answers that are held without a limit of their sum."""
        request = make_large_request("/ping/a")

        def behave(connection: socket.socket, is_over: threading.Event) -> None:
            connection.sendall(request)
            read_slowly(connection, is_over)

        self.play(behave, ANSWER_CROWD)

    def test_streams_that_are_not_read(self) -> None:
        """Guards against streams that are held without a limit of their sum."""
        self.play(send_parts([make_large_request("/long/a")]), ANSWER_CROWD)

    def test_pipelined_requests_whose_answers_are_not_read(self) -> None:
        """Guards against requests that are served though the answers before wait to be sent."""
        self.play(send_parts([make_large_request("/ping/a")] * PIPELINED))

    def test_heads_chunk_sizes_and_trailers_without_end(self) -> None:
        """Guards against bytes outside of bodies that are held without a limit."""
        for name, start in (
            ("head", make_head("/ping/a")[:-2] + b"X-More: "),
            ("chunk size", CHUNKED + b"1;"),
            ("trailers", CHUNKED + make_chunk(1) + b"0\r\nX-More: "),
        ):
            with self.subTest(name):
                self.play(send_parts([start, b"x" * 1000], is_endless=True))

    def test_more_idle_connections_than_descriptors(self) -> None:
        """Guards against clients that take the descriptors for targets and other boxes."""
        self.play(send_parts([]), IDLE_CROWD)


if __name__ == "__main__":
    unittest.main()
