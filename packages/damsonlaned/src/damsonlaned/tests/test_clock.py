"""Tests that time while a box is suspended counts.

CLOCK_MONOTONIC stops while a box is suspended.  With it, a request is kept beyond its caller's
deadline, a replica reports stale state as fresh, and expired connections and leases count as
valid.
"""

import ast
import asyncio
import time
import unittest
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from unittest import mock

from damsonlaned.gateway.tests.harness import (
    DOCUMENT,
    TEST_TIMEOUT_SECONDS,
    Entry,
    FakeTarget,
    hang,
)

#: Clocks that stop while a box is suspended, and what starts event loops that use them.
FORBIDDEN = {"time.monotonic", "time.perf_counter", "asyncio.run"}
#: Packages whose processes run on boxes.
PACKAGES = ("damsonlane", "damsonlane_rpc", "damsonlaned", "damsonlane_platform")
#: The module that is exempt, since it creates the event loop.
EXEMPT = "clock.py"
#: Seconds for which the box of a test is suspended.
SUSPENDED_SECONDS = 3_600.0


class SuspendableClock:
    """Replaces `time.clock_gettime`; while suspended, only CLOCK_BOOTTIME advances."""

    def __init__(self) -> None:
        self._suspended_seconds = 0.0
        self._read = time.clock_gettime

    def suspend(self) -> None:
        self._suspended_seconds += SUSPENDED_SECONDS

    def read(self, clock_id: int) -> float:
        return self._read(clock_id) + (
            self._suspended_seconds if clock_id == time.CLOCK_BOOTTIME else 0.0
        )


class SuspensionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = SuspendableClock()
        patch = mock.patch("time.clock_gettime", self.clock.read)
        patch.start()
        self.addCleanup(patch.stop)

    def test_a_deadline_passes_while_the_box_is_suspended(self) -> None:
        from damsonlaned import clock

        self.assertEqual(clock.run(self._suspend_during_request()), 504)

    async def _suspend_during_request(self) -> int:
        routes = tuple(
            replace(route, timeout_seconds=SUSPENDED_SECONDS / 2, most_targets=1)
            for route in DOCUMENT.routes
        )
        entry = Entry(replace(DOCUMENT, routes=routes))
        target = FakeTarget("desk-1", hang)
        await entry.start(await target.start())
        reader, writer = await entry.send("/once/a", deadline_ms=int(SUSPENDED_SECONDS * 500))
        while not target.requests:
            await asyncio.sleep(0.005)
        self.clock.suspend()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            status = int((await reader.readline())[9:12])
        writer.close()
        await target.stop()
        await entry.stop()
        return status


class SourcesTest(unittest.TestCase):
    def test_no_module_uses_a_clock_that_stops_during_suspension(self) -> None:
        found = [f"{path}:{line}" for path in _list_sources() for line in _find_forbidden(path)]
        self.assertEqual(found, [])


def _list_sources() -> Iterator[Path]:
    root = Path(__file__).resolve().parents[5]
    for package in PACKAGES:
        for folder in (root / "packages" / package, root / "platform"):
            for path in sorted(folder.glob(f"src/{package}/**/*.py")):
                if "tests" not in path.parts and path.name != EXEMPT:
                    yield path


def _find_forbidden(path: Path) -> Iterator[int]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute) and ast.unparse(node) in FORBIDDEN:
            yield node.lineno


if __name__ == "__main__":
    unittest.main()
