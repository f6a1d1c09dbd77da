"""What counts seconds goes on while a box is suspended.

A box may be suspended for seconds, as a whole.  The clock by which the event loop and the
threads reckoned, CLOCK_MONOTONIC, stands still meanwhile, so whatever was due by it came late
by all that time: a request was kept beyond its caller's deadline and handed on with more time
than its caller had left, a replica called its state as new as before, and connections and
leases that were long over counted as good.  CLOCK_BOOTTIME counts that time.

Found by reading, after a request that ended targets showed that a box acts on what it believes
of others: 65 places read CLOCK_MONOTONIC, 44 of them through the loop.
"""

import ast
import asyncio
import time
import unittest
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from unittest import mock

from damsonlaned.gateway.tests.harness import DOCUMENT, PATIENCE, Entry, StandIn, hang

#: Clocks that stand still while a box is suspended, and what makes loops that use them.
STANDING_STILL = {"time.monotonic", "time.perf_counter", "asyncio.run"}
#: Packages whose processes run on boxes.
PACKAGES = ("damsonlane", "damsonlane_rpc", "damsonlaned", "damsonlane_platform")
#: The one module that may: it makes the loop.
CLOCK = "clock.py"
#: Seconds for which the box of a test is suspended.
SUSPENDED = 3_600.0


class SuspendedBox:
    """Lets time pass that only CLOCK_BOOTTIME counts."""

    def __init__(self) -> None:
        self._passed = 0.0
        self._read = time.clock_gettime

    def suspend(self) -> None:
        self._passed += SUSPENDED

    def read(self, which: int) -> float:
        return self._read(which) + (self._passed if which == time.CLOCK_BOOTTIME else 0.0)


class SuspendedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.box = SuspendedBox()
        patch = mock.patch("time.clock_gettime", self.box.read)
        patch.start()
        self.addCleanup(patch.stop)

    def test_a_request_ends_at_its_deadline_though_its_box_was_suspended(self) -> None:
        from damsonlaned import clock

        self.assertEqual(clock.run(self._hold_a_request()), 504)

    async def _hold_a_request(self) -> int:
        routes = tuple(
            replace(route, timeout_seconds=SUSPENDED / 2, most_targets=1)
            for route in DOCUMENT.routes
        )
        entry = Entry(replace(DOCUMENT, routes=routes))
        target = StandIn("desk-1", hang)
        await entry.start(await target.start())
        reader, writer = await entry.send("/once/a", deadline_ms=int(SUSPENDED * 500))
        while not target.requests:
            await asyncio.sleep(0.005)
        self.box.suspend()
        async with asyncio.timeout(PATIENCE):
            status = int((await reader.readline())[9:12])
        writer.close()
        await target.stop()
        await entry.stop()
        return status


class SourcesTest(unittest.TestCase):
    def test_no_module_counts_seconds_by_a_clock_that_stands_still(self) -> None:
        found = [f"{path}:{line}" for path in _list_sources() for line in _list_lines(path)]
        self.assertEqual(found, [])


def _list_sources() -> Iterator[Path]:
    root = Path(__file__).resolve().parents[5]
    for package in PACKAGES:
        for folder in (root / "packages" / package, root / "platform"):
            for path in sorted(folder.glob(f"src/{package}/**/*.py")):
                if "tests" not in path.parts and path.name != CLOCK:
                    yield path


def _list_lines(path: Path) -> Iterator[int]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute) and ast.unparse(node) in STANDING_STILL:
            yield node.lineno


if __name__ == "__main__":
    unittest.main()
