"""Clients outside the limits, at every listener but the one for callers of routes."""

import asyncio
import contextlib
import http.client
import itertools
import json
import os
import re
import resource
import socket
import ssl
import struct
import tempfile
import threading
import time
import unittest
import zlib
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Iterator
from pathlib import Path
from typing import Any, ClassVar, Final

from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from grpclib.const import Cardinality

from damsonlane.settings import TlsFiles
from damsonlane_bench.fleet import Fleet, Process, WaitTimeoutError, wait_until
from damsonlane_bench.routes_document import make_document
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.settings_trees import digest_token, make_pipeline, make_services
from damsonlane_rpc import (
    CALL_ERRORS,
    STATUS,
    SUBMIT,
    StatusRequest,
    make_client_context,
    open_channel,
)

#: Resident memory is that of the process alone.
RUNS_ALONE: Final = True
#: Memory of the machine of each process, in bytes, as its settings declare it.
MEMORY_BYTES: Final = 128 * 2**20
_CAPACITY: Final = {"cores": 1.0, "memory_bytes": MEMORY_BYTES, "link_bits": 1e9}
#: Descriptors that a process may have.
DESCRIPTORS: Final = 256
#: Descriptors of these that stay free for files and other connections.
RESERVED_DESCRIPTORS: Final = 32
#: Clients that only connect.
IDLE_CROWD: Final = 400
#: Clients of other crowds.
CROWD: Final = 48
#: Largest body of a request within the limits, in bytes.
BODY_BYTES: Final = 4 * 2**20
#: Bytes that an unfinished body lacks.
LACKING_BYTES: Final = 64 * 2**10
#: Longest time for which a crowd acts before the process is looked at, in seconds.
HOLD_SECONDS: Final = 2.5
#: Time over which a process must hardly use the processor to count as idle, in seconds.
IDLE_SECONDS: Final = 0.25
#: Time in which an ordinary call is sent again until it is answered, in seconds.
ANSWER_SECONDS: Final = 20.0
#: Threads that serve callers of pipelines, and clients that would hold them all.
THREADS: Final = 4
THREAD_CROWD: Final = 12
TOKEN: Final = "north-token"

#: Bytes that a client sends, one part after the other.
Parts = Callable[[], Iterable[bytes]]


class Crowd:
    """Clients that send parts, read nothing and keep their connections open.

    Args:
        address: host and port that they connect to.
        count: number of clients.
        parts: returns what each of them sends.
        pause: seconds between two parts.
    """

    def __init__(self, address: str, count: int, parts: Parts, pause: float = 0.0) -> None:
        host, _, port = address.rpartition(":")
        self._address: Final = (host, int(port))
        self._parts: Final = parts
        self._pause: Final = pause
        self._is_over: Final = threading.Event()
        self._threads: Final = [threading.Thread(target=self._run) for _ in range(count)]
        self._finished = 0

    def __enter__(self) -> "Crowd":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def wait(self) -> None:
        """Wait until all have sent everything or were disconnected, for a limited time."""
        with contextlib.suppress(WaitTimeoutError):
            wait_until(lambda: self._finished == len(self._threads), "all sent", HOLD_SECONDS)

    def _run(self) -> None:
        with socket.socket() as connection:
            connection.settimeout(HOLD_SECONDS)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            with contextlib.suppress(OSError):
                connection.connect(self._address)
                connection.settimeout(0.25)
                self._send(connection)
            self._finished += 1
            self._is_over.wait()

    def _send(self, connection: socket.socket) -> None:
        for part in self._parts():
            rest = memoryview(part)
            while rest and not self._is_over.is_set():
                with contextlib.suppress(TimeoutError):
                    rest = rest[connection.send(rest) :]
            if self._is_over.wait(self._pause):
                return


def send_chunks(method: str, path: str, size: int, total: int, *headers: str) -> Parts:
    """Return the parts of a chunked body without an end.

    Args:
        method: method of the request.
        path: its path.
        size: data of each chunk, in bytes.
        total: data of all chunks, in bytes.
        headers: further headers.
    """
    head = make_head(method, path, "Transfer-Encoding: chunked", *headers)
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    # Small chunks are sent together, since a client must not be slower than the process.
    together = max(1, 2**16 // len(chunk))
    count = total // size // together
    return lambda: itertools.chain([head], itertools.repeat(chunk * together, count))


def make_head(method: str, path: str, *headers: str) -> bytes:
    """Return the head of a request."""
    return "\r\n".join((f"{method} {path} HTTP/1.1", "Host: box", *headers, "", "")).encode()


def repeat_byte(head: bytes) -> Parts:
    """Return parts that send a head at once and single bytes after it without end."""
    return lambda: itertools.chain([head], itertools.repeat(b"x"))


def send_call(address: str, method: str, path: str, body: bytes = b"", **headers: str) -> int:
    """Send a request once and return its status; 0 without a response."""
    connection = http.client.HTTPConnection(address, timeout=ANSWER_SECONDS)
    try:
        connection.request(method, path, body=body or None, headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


@contextlib.contextmanager
def limit_descriptors() -> Iterator[None]:
    """Limit the descriptors of processes that are started meanwhile."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


def read_peak_bytes(process: Process) -> int:
    """Return the largest resident size of a process so far, in bytes."""
    match = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{process.pid}/status").read_text())
    assert match is not None
    return int(match[1]) * 1024


def read_processor_seconds(process: Process) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class ListenerTestCase(unittest.TestCase):
    """Checks of the process at which a crowd is sent."""

    process: Process

    def check_crowd(self, crowd: Crowd, call: Callable[[], bool]) -> None:
        """Check the process while a crowd holds its connections, and afterwards.

        Args:
            crowd: the crowd.
            call: sends an ordinary call and returns whether it was answered.
        """
        with crowd:
            crowd.wait()
            self.wait_idle()
            self.check_process()
            wait_until(call, "an ordinary call is answered beside the crowd", ANSWER_SECONDS)
            self.check_process()
        wait_until(call, "an ordinary call is answered", ANSWER_SECONDS)
        self.check_process()

    def wait_idle(self) -> None:
        """Wait until the process has handled what it received, for a limited time."""
        with contextlib.suppress(WaitTimeoutError):
            wait_until(self._is_idle, "the process is idle", HOLD_SECONDS)

    def _is_idle(self) -> bool:
        before = read_processor_seconds(self.process)
        time.sleep(IDLE_SECONDS)
        return read_processor_seconds(self.process) - before < 0.1 * IDLE_SECONDS

    def check_process(self) -> None:
        """Check that the process lives within its memory and descriptors."""
        self.assertTrue(self.process.is_running(), "the process ended")
        descriptors = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
        self.assertLessEqual(descriptors, DESCRIPTORS - RESERVED_DESCRIPTORS)
        self.assertLess(read_peak_bytes(self.process), MEMORY_BYTES)


class RoutesListenerTestCase(ListenerTestCase):
    """One control replica, which runs with little memory and few descriptors."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        settings: dict[str, dict[str, Any]] = {
            name: {"capacity": _CAPACITY} for name in ("control-1", "entry-1")
        }
        self.fleet = self.enterContext(
            RoutesFleet(
                Path(folder), ("control-1",), ("entry-1",), targets=(), entry_settings=settings
            )
        )
        # A group of one replica forms at once.
        seeds = [self.find_address("internal")]
        settings["control-1"]["founding"] = {
            "seeds": seeds,
            "is_first_start": True,
            "lost_boxes": 0,
        }
        with limit_descriptors():
            self.fleet.start("control-1")
        self.process = self.fleet.processes["control-1"]
        self.version = 0
        wait_until(self.call_control, "control serves")

    def find_address(self, purpose: str, name: str = "control-1") -> str:
        """Return an address of a process."""
        return self.fleet.addresses[f"{name}/{purpose}"]

    def call_control(self) -> bool:
        """Send a document, which is committed, and a heartbeat."""
        self.version += 1
        document = json.dumps({**make_document(), "version": self.version}).encode()
        address = self.find_address("front")
        heartbeat = {
            "target": "desk-1",
            "service": "desk",
            "address": "127.0.0.1:9",
            "data_centre": "fukuoka-a",
            "slots": 1,
            "standing": "live",
            "sequence": self.version,
        }
        return (
            send_call(address, "PUT", "/v1/routes", document) == 200
            and send_call(address, "PUT", "/v1/targets/desk-1", json.dumps(heartbeat).encode())
            == 200
        )

    def call_metrics(self) -> bool:
        """Read the metrics."""
        return send_call(self.find_address("admin"), "GET", "/metrics") == 200


class RegistryTest(RoutesListenerTestCase):
    def test_unfinished_documents(self) -> None:
        parts = send_chunks("PUT", "/v1/routes", 64 * 2**10, BODY_BYTES - LACKING_BYTES)
        crowd = Crowd(self.find_address("front"), CROWD, parts)
        self.check_crowd(crowd, self.call_control)

    def test_documents_in_chunks_of_one_byte(self) -> None:
        parts = send_chunks("PUT", "/v1/routes", 1, 256 * 2**10)
        crowd = Crowd(self.find_address("front"), CROWD, parts)
        self.check_crowd(crowd, self.call_control)

    def test_documents_that_nobody_reads(self) -> None:
        routes = make_document()["routes"]
        more = [{**routes[0], "name": f"r{n}", "prefix": f"/r{n}/"} for n in range(1000)]
        self.fleet.put_document(100, routes=[*routes, *more])
        requests = make_head("GET", "/v1/routes") * 400
        crowd = Crowd(self.find_address("front"), 8, lambda: [requests])
        self.check_crowd(crowd, self.call_control)

    def test_idle_connections(self) -> None:
        crowd = Crowd(self.find_address("front"), IDLE_CROWD, list)
        self.check_crowd(crowd, self.call_control)


class AdminTest(RoutesListenerTestCase):
    def test_unfinished_bodies(self) -> None:
        parts = send_chunks("POST", "/metrics", 64 * 2**10, BODY_BYTES - LACKING_BYTES)
        crowd = Crowd(self.find_address("admin"), CROWD, parts)
        self.check_crowd(crowd, self.call_metrics)

    def test_metrics_that_nobody_reads(self) -> None:
        requests = make_head("GET", "/metrics") * 4000
        crowd = Crowd(self.find_address("admin"), 8, lambda: [requests])
        self.check_crowd(crowd, self.call_metrics)

    def test_idle_connections(self) -> None:
        crowd = Crowd(self.find_address("admin"), IDLE_CROWD, list)
        self.check_crowd(crowd, self.call_metrics)


class ReadinessTest(RoutesListenerTestCase):
    def test_unfinished_bodies(self) -> None:
        with limit_descriptors():
            self.fleet.start("entry-1")
        self.process = self.fleet.processes["entry-1"]
        wait_until(self.call_ready, "the entry is ready")
        parts = send_chunks("POST", "/readyz", 64 * 2**10, BODY_BYTES - LACKING_BYTES)
        crowd = Crowd(self.find_address("ready", "entry-1"), CROWD, parts)
        self.check_crowd(crowd, self.call_ready)

    def call_ready(self) -> bool:
        """Ask whether the entry is ready."""
        return self.fleet.is_ready("entry-1")


#: Called by a client that has sent everything, to keep its streams open.
Hold = Callable[[], Awaitable[None]]
#: What one client does with a connection for calls between boxes.
CallSender = Callable[[Channel, Hold], Coroutine[Any, Any, None]]


class InternalListenerTest(RoutesListenerTestCase):
    """Boxes that present a valid certificate, and clients that present none."""

    def test_handshakes_without_end(self) -> None:
        crowd = Crowd(self.find_address("internal"), IDLE_CROWD, list)
        self.check_crowd(crowd, self.call_status)

    def test_messages_without_end(self) -> None:
        self.check_calls(
            4, lambda channel, hold: send_message(channel, hold, 2**32 - 1, 64 * 2**20)
        )

    def test_unfinished_messages(self) -> None:
        size = BODY_BYTES
        lacking = size - LACKING_BYTES
        self.check_calls(CROWD, lambda channel, hold: send_message(channel, hold, size, lacking))

    def test_message_that_is_large_once_decompressed(self) -> None:
        compressor = zlib.compressobj(1)
        spaces = b" " * 2**20
        data = b"".join(compressor.compress(spaces) for _ in range(256)) + compressor.flush()
        self.check_calls(
            1, lambda channel, hold: send_message(channel, hold, len(data), len(data), data)
        )

    def test_streams_without_messages(self) -> None:
        self.check_calls(8, open_streams)

    def check_calls(self, count: int, send: CallSender) -> None:
        """Check the process while clients have sent calls and keep their connections."""
        asyncio.run(self._check_calls(count, send))

    async def _check_calls(self, count: int, send: CallSender) -> None:
        context = self.make_context()
        channels = [open_channel(self.find_address("internal"), context) for _ in range(count)]
        finished = 0

        async def hold() -> None:
            nonlocal finished
            finished += 1
            await asyncio.Event().wait()

        tasks = [asyncio.ensure_future(send(channel, hold)) for channel in channels]
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2 * HOLD_SECONDS):
                    while finished + sum(task.done() for task in tasks) < count:
                        await asyncio.sleep(0.02)
            await asyncio.to_thread(self.wait_idle)
            self.check_process()
            await asyncio.to_thread(
                wait_until, self.call_status, "a call is answered beside them", ANSWER_SECONDS
            )
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for channel in channels:
                channel.close()
        await asyncio.to_thread(wait_until, self.call_status, "a call is answered", ANSWER_SECONDS)
        self.check_process()

    def make_context(self) -> ssl.SSLContext:
        """Return a context with the certificate of a box."""
        settings = json.loads((self.fleet.folder / "control-1.json").read_text())
        return make_client_context(TlsFiles(**settings["tls"]))

    def call_status(self) -> bool:
        """Ask the replica for its status, and commit a document."""
        return asyncio.run(self._call_status()) and self.call_control()

    async def _call_status(self) -> bool:
        channel = open_channel(self.find_address("internal"), self.make_context())
        try:
            await STATUS.unary(channel)(StatusRequest(), timeout=ANSWER_SECONDS)
        except CALL_ERRORS:
            return False
        else:
            return True
        finally:
            channel.close()


async def send_message(
    channel: Channel, hold: Hold, announced: int, size: int, data: bytes = b""
) -> None:
    """Send a message and keep its stream open.

    Args:
        channel: the connection.
        hold: waits until the client should end.
        announced: length of the message as announced, in bytes.
        size: bytes of it that are sent.
        data: these bytes; empty for zeros.
    """
    with contextlib.suppress(*CALL_ERRORS):
        async with open_stream(channel) as stream:
            await stream.send_request()
            raw = stream._stream
            await raw.send_data(struct.pack(">?I", False, announced))
            part = 2**20
            for start in range(0, size, part):
                length = min(part, size - start)
                await raw.send_data(data[start : start + part] or bytes(length))
            await hold()


async def open_streams(channel: Channel, hold: Hold) -> None:
    """Open as many streams as a connection may have, and send no message on them."""
    with contextlib.suppress(*CALL_ERRORS):
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(100):
                stream = await stack.enter_async_context(open_stream(channel))
                await stream.send_request()
            await hold()


def open_stream(channel: Channel) -> "ClientStream[Any, Any]":
    """Return a stream of a call that every control replica serves."""
    return channel.request(SUBMIT.path, Cardinality.STREAM_STREAM, SUBMIT.request, SUBMIT.reply)


class PipelinesTest(ListenerTestCase):
    """An entry that serves pipelines with threads, started for each test."""

    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        settings = {"capacity": _CAPACITY, "body_limit": BODY_BYTES}
        cls.fleet = Fleet(Path(folder), controls=1, entries=1, box_settings=settings)
        cls.addClassCleanup(cls.fleet.stop_all)
        cls.fleet.start_standin("lookup-1")
        cls.fleet.start_control_group()
        cls.fleet.wait_standins()
        pipelines = {"lookup": make_pipeline("lookup")}
        tree = {
            "services": make_services(cls.fleet.standins, "fukuoka-a"),
            "organisations": {
                "north": {"token_digests": [digest_token(TOKEN)], "pipelines": pipelines}
            },
        }
        cls.fleet.apply_settings(tree)

    def start_entry(self, threads: int) -> str:
        """Start the entry and return its address for callers."""
        box = self.fleet.boxes["entry-1"]
        settings = json.loads(box.settings_file.read_text())
        box.settings_file.write_text(json.dumps({**settings, "caller_threads": threads}))
        with limit_descriptors():
            self.process = self.fleet.start("entry-1")
        self.addCleanup(self.fleet.kill, "entry-1")
        self.fleet.wait_ready(box)
        wait_until(self.call_pipeline, "the entry serves")
        return box.caller_address

    def call_pipeline(self) -> bool:
        """Send an ordinary request."""
        address = self.fleet.boxes["entry-1"].caller_address
        body = json.dumps({"input": "hello"}).encode()
        path = "/v1/pipelines/lookup"
        return send_call(address, "POST", path, body, Authorization=f"Bearer {TOKEN}") == 200

    def make_head(self, *headers: str) -> bytes:
        """Return the head of a request with a valid token."""
        return make_head("POST", "/v1/pipelines/lookup", f"Authorization: Bearer {TOKEN}", *headers)

    def test_announced_bodies_of_unknown_callers(self) -> None:
        head = make_head("POST", "/v1/pipelines/lookup", f"Content-Length: {2**30}")
        parts = [head, *([bytes(2**20)] * 64)]
        crowd = Crowd(self.start_entry(THREADS), THREADS, lambda: parts)
        self.check_crowd(crowd, self.call_pipeline)

    def test_announced_bodies_over_the_limit(self) -> None:
        parts = [self.make_head(f"Content-Length: {2**30}"), *([bytes(2**20)] * 64)]
        crowd = Crowd(self.start_entry(THREADS), THREADS, lambda: parts)
        self.check_crowd(crowd, self.call_pipeline)

    def test_unfinished_bodies(self) -> None:
        head = self.make_head(f"Content-Length: {BODY_BYTES}")
        parts = [head, b"x" * (BODY_BYTES - LACKING_BYTES)]
        crowd = Crowd(self.start_entry(2 * CROWD), CROWD, lambda: parts)
        self.check_crowd(crowd, self.call_pipeline)

    def test_chunked_bodies(self) -> None:
        parts = send_chunks(
            "POST", "/v1/pipelines/lookup", 64 * 2**10, 2 * BODY_BYTES, f"Authorization: {TOKEN}"
        )
        crowd = Crowd(self.start_entry(THREADS), CROWD, parts)
        self.check_crowd(crowd, self.call_pipeline)

    def test_bodies_sent_byte_by_byte(self) -> None:
        parts = repeat_byte(self.make_head("Content-Length: 1000"))
        crowd = Crowd(self.start_entry(THREADS), THREAD_CROWD, parts, pause=0.5)
        self.check_crowd(crowd, self.call_pipeline)

    def test_heads_sent_byte_by_byte(self) -> None:
        parts = repeat_byte(b"POST /v1/pipelines/lookup HTTP/1.1\r\nHost: ")
        crowd = Crowd(self.start_entry(THREADS), THREAD_CROWD, parts, pause=0.5)
        self.check_crowd(crowd, self.call_pipeline)

    def test_idle_connections(self) -> None:
        crowd = Crowd(self.start_entry(THREADS), IDLE_CROWD, list)
        self.check_crowd(crowd, self.call_pipeline)


if __name__ == "__main__":
    unittest.main()
