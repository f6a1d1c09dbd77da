"""Run all tests of the workspace.

Test modules run in parallel, each in a process of its own.  Tests listed in
KNOWN-RED.txt may fail; they are printed.  One that passes again fails the run
until it is taken off the list, unless its entry marks it as flaky.
"""

import argparse
import io
import multiprocessing
import sys
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
KNOWN_RED: Final = ROOT / "KNOWN-RED.txt"
#: Marks the entry of a flaky test in the list of known failures.
FLAKY_MARKER: Final = "now and then"
#: Most entries that the list of known failures may have.
MAX_KNOWN_FAILURES: Final = 3
#: Test modules that run in parallel; many of them start processes of their own.
DEFAULT_JOBS: Final = 4


@dataclass(frozen=True, kw_only=True)
class ModuleResult:
    """Result of the tests of one module."""

    #: Name of the module.
    module: str
    #: Number of tests that ran.
    ran: int
    #: Names of the tests that failed.
    failed: tuple[str, ...]
    #: Output of the test runner.
    report: str
    #: Duration, in seconds.
    seconds: float


def read_known_red() -> dict[str, str]:
    """Return the known failures: each test with its entry."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_FAILURES:
        sys.exit(f"KNOWN-RED.txt has {len(lines)} lines; {MAX_KNOWN_FAILURES} are allowed")
    return {line.split(",")[0].strip(): line for line in lines}


def list_modules() -> list[str]:
    """Return the names of all test modules."""
    sources = sorted([*ROOT.glob("packages/*/src"), ROOT / "platform" / "src"])
    return [
        ".".join(path.relative_to(source).with_suffix("").parts)
        for source in sources
        for path in sorted(source.glob("**/tests/test_*.py"))
    ]


def collect(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield all tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from collect(item)
        else:
            yield item


def run_module(module: str, pattern: str) -> ModuleResult:
    """Run the tests of a module whose names contain ``pattern``."""
    started_at = time.monotonic()
    loaded = unittest.defaultTestLoader.loadTestsFromName(module)
    suite = unittest.TestSuite(test for test in collect(loaded) if pattern in test.id())
    output = io.StringIO()
    result = unittest.TextTestRunner(stream=output, verbosity=2).run(suite)
    failed = tuple(test.id() for test, _ in (*result.failures, *result.errors))
    failed += tuple(test.id() for test in result.unexpectedSuccesses)
    return ModuleResult(
        module=module,
        ran=result.testsRun,
        failed=failed,
        report=output.getvalue() if result.testsRun or failed else "",
        seconds=time.monotonic() - started_at,
    )


def run_all(pattern: str, jobs: int) -> list[ModuleResult]:
    """Run all modules in parallel and print the report of each one that has finished."""
    context = multiprocessing.get_context("spawn")
    results: list[ModuleResult] = []
    with ProcessPoolExecutor(jobs, mp_context=context, max_tasks_per_child=1) as pool:
        futures = [pool.submit(run_module, module, pattern) for module in list_modules()]
        for future in as_completed(futures):
            result = future.result()
            results.append(result)
            if result.report:
                print(f"== {result.module} ({result.seconds:.1f} s)\n{result.report}")
    return results


def main() -> int:
    """Run the tests and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "pattern", nargs="?", default="", help="run only tests whose names contain this"
    )
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS, help="modules run in parallel")
    arguments = parser.parse_args()
    results = run_all(arguments.pattern, arguments.jobs)
    known = read_known_red()
    ran = sum(result.ran for result in results)
    failed = [name for result in results for name in result.failed]
    unexpected = [name for name in failed if name not in known]
    not_flaky = [name for name, line in known.items() if FLAKY_MARKER not in line]
    fixed = [name for name in not_flaky if name not in failed and not arguments.pattern]
    for name in failed:
        print(f"known to fail: {known[name]}" if name in known else f"FAILED: {name}")
    for name in known.keys() - set(failed) - set(not_flaky):
        print(f"known to fail now and then, passed: {known[name]}")
    for name in fixed:
        print(f"passes again, take it off KNOWN-RED.txt: {name}")
    print(f"{ran - len(failed)} passed, {len(failed)} failed")
    return 1 if unexpected or fixed or ran == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
