"""Runs every test of the workspace and gives one verdict.

Tests listed in KNOWN-RED.txt may fail; they are printed, and one that passes
again must be taken off the list.
"""

import argparse
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
KNOWN_RED: Final = ROOT / "KNOWN-RED.txt"
#: Most lines that the list of known failures may have.
MOST_KNOWN: Final = 3


def read_known_red() -> dict[str, str]:
    """Return the tests that are known to fail, each with its line."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MOST_KNOWN:
        sys.exit(f"KNOWN-RED.txt has {len(lines)} lines; {MOST_KNOWN} are allowed")
    return {line.split(",")[0].strip(): line for line in lines}


def collect(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield all tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from collect(item)
        else:
            yield item


def load(pattern: str) -> unittest.TestSuite:
    """Return the tests of all packages whose names contain ``pattern``."""
    chosen = unittest.TestSuite()
    for source in sorted(ROOT.glob("packages/*/src")):
        suite = unittest.TestLoader().discover(str(source), top_level_dir=str(source))
        chosen.addTests(test for test in collect(suite) if pattern in test.id())
    return chosen


def main() -> int:
    """Run the tests and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("pattern", nargs="?", default="", help="run only tests with this in name")
    pattern: str = parser.parse_args().pattern
    result = unittest.TextTestRunner(verbosity=2).run(load(pattern))
    known = read_known_red()
    failed = [test.id() for test, _ in (*result.failures, *result.errors)]
    unexpected = [name for name in failed if name not in known]
    mended = [name for name in known if name not in failed and not pattern]
    for name in failed:
        if name in known:
            print(f"known to fail: {known[name]}")
    for name in mended:
        print(f"passes again, take it off KNOWN-RED.txt: {name}")
    print(f"{result.testsRun - len(failed)} passed, {len(failed)} failed")
    return 1 if unexpected or mended or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
