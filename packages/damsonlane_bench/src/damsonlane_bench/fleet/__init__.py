"""Fleets of real processes for tests, measurements and the demonstration."""

from damsonlane_bench.fleet._certificates import KeyMaker
from damsonlane_bench.fleet._fleet import Box, CommandResult, Fleet
from damsonlane_bench.fleet._http import Response, send
from damsonlane_bench.fleet._ports import take_address
from damsonlane_bench.fleet._processes import Process, find_program
from damsonlane_bench.fleet._waiting import DEFAULT_TIMEOUT_SECONDS, StuckError, wait_until

__all__ = [
    "DEFAULT_TIMEOUT_SECONDS",
    "Box",
    "CommandResult",
    "Fleet",
    "KeyMaker",
    "Process",
    "Response",
    "StuckError",
    "find_program",
    "send",
    "take_address",
    "wait_until",
]
