"""Calls to targets, whatever their kind."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Final

import urllib3

from damsonlane.requests import AttemptKey, AttemptResult
from damsonlane.routing import LoadReport
from damsonlaned.targets._connections import (
    REFUSING_STATUSES,
    SENT_FAULTS,
    UNSENT_FAULTS,
    Connections,
    LateError,
    TargetNotice,
    read_load,
    read_notice,
)


@dataclass(frozen=True, kw_only=True)
class TargetCall:
    """One attempt, ready to be sent."""

    #: Address of the target.
    address: str
    #: Names the attempt.
    key: AttemptKey
    #: Input of the stage.
    text: str
    #: Model to ask for; empty unless the target is an engine.
    model: str
    #: When the attempt must be over, on the monotonic clock, in seconds.
    due_at: float


@dataclass(frozen=True, kw_only=True)
class TargetReply:
    """What came of a call."""

    #: The result.
    result: AttemptResult
    #: The load that the target reported, if it did.
    report: LoadReport | None = None
    #: Whether the connection broke under the attempt, which the target may not have survived.
    is_broken: bool = False


class TargetKind(ABC):
    """Speaks one target protocol; subclasses read the body of a good response."""

    #: Path to which requests are posted.
    path: str

    def call(
        self,
        connections: Connections,
        call: TargetCall,
        on_notice: Callable[[TargetNotice], None] = lambda _: None,
    ) -> Generator[str, None, TargetReply]:
        """Send an attempt, yield pieces of its output as they come, return the outcome.

        Args:
            connections: connections to targets.
            call: the attempt.
            on_notice: told what the head of the answer says, whatever becomes of its body.
        """
        try:
            response = connections.post(call.address, self.path, self.make_body(call), call.due_at)
        except UNSENT_FAULTS as error:
            return _fault("unsent", error)
        except SENT_FAULTS as error:
            return _fault("failed", error)
        on_notice(read_notice(response))
        try:
            return (yield from self._receive(response, call))
        except (*SENT_FAULTS, ValueError, KeyError, TypeError) as error:
            response.close()
            return _fault("failed", error)

    @abstractmethod
    def make_body(self, call: TargetCall) -> dict[str, object]:
        """Return the body of the request."""

    @abstractmethod
    def read_result(
        self, response: urllib3.BaseHTTPResponse, call: TargetCall
    ) -> Generator[str, None, AttemptResult]:
        """Read a good response, yielding pieces of output where they come one by one."""

    def _receive(
        self, response: urllib3.BaseHTTPResponse, call: TargetCall
    ) -> Generator[str, None, TargetReply]:
        report = read_load(response)
        if response.status == 200:
            result = yield from self.read_result(response, call)
            response.release_conn()
            is_broken = result.outcome == "failed" and result.answers is None
            return TargetReply(result=result, report=report, is_broken=is_broken)
        is_leaving = read_notice(response).is_leaving
        response.drain_conn()
        response.release_conn()
        is_refused = response.status in REFUSING_STATUSES
        result = AttemptResult(
            answers=None,
            outcome="refused" if is_refused else "failed",
            is_leaving=is_leaving,
            fault=f"the target answered with status {response.status}",
        )
        return TargetReply(result=result, report=report)


#: All kinds by the name that settings use.
KINDS: Final[dict[str, TargetKind]] = {}


def target_kind(name: str) -> Callable[[type[TargetKind]], type[TargetKind]]:
    """Register a kind of target under the name that settings use."""

    def register(kind: type[TargetKind]) -> type[TargetKind]:
        KINDS[name] = kind()
        return kind

    return register


def _fault(outcome: str, error: Exception) -> TargetReply:
    name = type(error).__name__
    if outcome == "unsent":
        result = AttemptResult(answers=None, outcome="unsent", fault=f"not reached ({name})")
    else:
        result = AttemptResult(answers=None, outcome="failed", fault=f"broke off ({name})")
        return TargetReply(result=result, is_broken=not isinstance(error, LateError))
    return TargetReply(result=result)
