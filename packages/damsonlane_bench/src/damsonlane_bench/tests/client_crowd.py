"""Clients of an entry that do not keep to the limits, and what its process holds for them."""

import contextlib
import itertools
import re
import socket
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

from damsonlane_bench.routes_document import CALLER_KEY

#: Longest time in seconds for which a read or write blocks before the end of the crowd is noticed.
_STEP_SECONDS: Final = 1.0
#: Seconds after which a client whose connection was closed connects again.
_PAUSE_SECONDS: Final = 0.25
#: Receive buffer of clients, in bytes: most of an answer stays with the entry.
_RECEIVE_BYTES: Final = 4096

#: What a client does with its connection until it is closed.
Behaviour = Callable[[socket.socket, threading.Event], None]


class Crowd:
    """Clients that all behave alike and connect again if they are closed; a context manager.

    Args:
        address: host and port that they connect to.
        count: number of clients.
        behave: what each does; the event is set once the crowd ends.
    """

    def __init__(self, address: str, count: int, behave: Behaviour) -> None:
        host, _, port = address.rpartition(":")
        self._address: Final = (host, int(port))
        self._behave: Final = behave
        self._is_over: Final = threading.Event()
        self._threads: Final = [threading.Thread(target=self._run) for _ in range(count)]

    def __enter__(self) -> "Crowd":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while not self._is_over.is_set():
            with contextlib.suppress(OSError), socket.socket() as connection:
                connection.settimeout(_STEP_SECONDS)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
                connection.connect(self._address)
                self._behave(connection, self._is_over)
            self._is_over.wait(_PAUSE_SECONDS)


def make_head(path: str, *headers: str) -> bytes:
    """Return the head of a POST request with a valid key."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: shop.example",
        f"Authorization: Bearer {CALLER_KEY}",
        f"Damsonlane-Request-Id: crowd-{time.monotonic_ns()}-{threading.get_ident()}",
        "Damsonlane-Deadline-Ms: 8000",
        *headers,
    ]
    return "\r\n".join((*lines, "", "")).encode()


def make_chunk(size: int) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def send_parts(parts: Sequence[bytes], *, is_endless: bool = False) -> Behaviour:
    """Return the behaviour that sends parts and then stalls, or sends the last one on and on."""

    def behave(connection: socket.socket, is_over: threading.Event) -> None:
        for part in itertools.chain(parts, itertools.repeat(parts[-1]) if is_endless else ()):
            rest = memoryview(part)
            while rest and not is_over.is_set():
                with contextlib.suppress(TimeoutError):
                    rest = rest[connection.send(rest) :]
            if is_over.is_set():
                return
        is_over.wait()

    return behave


def read_slowly(connection: socket.socket, is_over: threading.Event) -> None:
    """Read 4 KB a second."""
    while not is_over.wait(0.25):
        with contextlib.suppress(TimeoutError):
            if not connection.recv(1024):
                return


class ProcessUse:
    """What a process holds.

    Args:
        pid: its id.
    """

    def __init__(self, pid: int) -> None:
        self._folder: Final = Path("/proc") / str(pid)

    def peak_bytes(self) -> int:
        """Return the largest resident size so far, in bytes."""
        match = re.search(r"VmHWM:\s+(\d+) kB", (self._folder / "status").read_text())
        assert match is not None
        return int(match[1]) * 1024

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(list((self._folder / "fd").iterdir()))
