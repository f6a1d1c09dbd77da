"""The list of known failures, as the runner of all tests reads it."""

import importlib.util
import sys
import unittest
from pathlib import Path
from types import ModuleType

import damsonlane_bench

_PROGRAM = Path(damsonlane_bench.__file__).parents[4] / "tools" / "run_tests.py"


def load_program() -> ModuleType:
    """Return the runner, which is no part of a package."""
    spec = importlib.util.spec_from_file_location("run_tests", _PROGRAM)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    # Data classes look their module up.
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


class KnownFailuresTest(unittest.TestCase):
    def setUp(self) -> None:
        self.program = load_program()

    def list_problems(self, text: str, ran: list[str], failed: list[str]) -> list[str]:
        known = self.program.read_known_failures(text)
        problems: list[str] = self.program.list_problems(known, ran, failed, is_whole=True)
        return problems

    def test_a_listed_test_may_fail_and_no_other(self) -> None:
        problems = self.list_problems("a.b, make test, issue 1\n", ["a.b", "a.c"], ["a.b", "a.c"])
        self.assertEqual(problems, ["FAILED: a.c"])

    def test_a_listed_test_must_exist_and_fail(self) -> None:
        text = "a.b, make test\na.c, now and then\na.d, make test\n"
        problems = self.list_problems(text, ["a.b", "a.c"], [])
        self.assertEqual(len(problems), 2)
        self.assertIn("passes again", problems[0])
        self.assertIn("does not exist", problems[1])

    def test_entries_of_commands_are_no_tests(self) -> None:
        text = "run: bash review/2/run.sh, no seed, issue 66\na.b, make test\n"
        known = self.program.read_known_failures(text)
        self.assertEqual(len(known.commands), 1)
        self.assertEqual(list(known.tests), ["a.b"])
        self.assertEqual(self.list_problems(text, ["a.b"], ["a.b"]), [])

    def test_the_number_of_tests_is_bounded_whatever_commands_are_listed(self) -> None:
        text = "".join(f"a.{number}, make test\n" for number in range(4))
        with self.assertRaises(ValueError):
            self.program.read_known_failures(text)
        self.program.read_known_failures("run: a\nrun: b\n" + text.replace("a.3, make test\n", ""))


if __name__ == "__main__":
    unittest.main()
