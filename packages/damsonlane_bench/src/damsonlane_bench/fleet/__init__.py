"""Fleets of real processes for tests, measurements and the demonstration."""

from damsonlane_bench.fleet._certificates import CertificateIssuer
from damsonlane_bench.fleet._fleet import Box, CommandResult, Fleet
from damsonlane_bench.fleet._http import Response, send
from damsonlane_bench.fleet._ports import allocate_address
from damsonlane_bench.fleet._processes import Process, find_program
from damsonlane_bench.fleet._waiting import DEFAULT_TIMEOUT_SECONDS, WaitTimeoutError, wait_until

__all__ = [
    "DEFAULT_TIMEOUT_SECONDS",
    "Box",
    "CertificateIssuer",
    "CommandResult",
    "Fleet",
    "Process",
    "Response",
    "WaitTimeoutError",
    "allocate_address",
    "find_program",
    "send",
    "wait_until",
]
