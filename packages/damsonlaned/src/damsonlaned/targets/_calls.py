"""Calls to targets, and the interface of the protocols in which they are made."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Generator
from typing import Final

import urllib3

from damsonlane.records import dataclass
from damsonlane.requests import AttemptKey, AttemptResult
from damsonlane.routing import LoadReport
from damsonlaned.targets._attempt_keys import find_attempt_key
from damsonlaned.targets._connections import (
    REJECTING_STATUSES,
    SENT_ERRORS,
    UNSENT_ERRORS,
    Connections,
    LateError,
    TargetAnnouncement,
    drain,
    is_first_response,
    read_announcement,
    read_load,
)


@dataclass(frozen=True, kw_only=True)
class TargetCall:
    """The input of one attempt at a target."""

    #: Address of the target.
    address: str
    #: Identifies the attempt.
    key: AttemptKey
    #: Input of the stage.
    text: str
    #: Name of the model; empty unless the target is an engine.
    model: str
    #: Deadline of the attempt, by the monotonic clock, in seconds.
    deadline_at: float


@dataclass(frozen=True, kw_only=True)
class TargetReply:
    """The outcome of a call."""

    #: The result.
    result: AttemptResult
    #: The load that the target reported, or None.
    load_report: LoadReport | None = None
    #: Whether the connection failed during the attempt; the target may have exited.
    is_interrupted: bool = False


class TargetProtocol(ABC):
    """A protocol of targets; subclasses make request bodies and parse successful responses."""

    #: Path of the requests.
    path: str

    def call(
        self,
        connections: Connections,
        call: TargetCall,
        on_announcement: Callable[[TargetAnnouncement], None] = lambda _: None,
    ) -> Generator[str, None, TargetReply]:
        """Send an attempt, yield its output as it arrives, and return the outcome.

        Args:
            connections: connections to targets.
            call: the attempt.
            on_announcement: called with the announcements in the response headers, before the body
                is read.

        Yields:
            Parts of the output, where the protocol streams it.

        Returns:
            The outcome, also of an attempt that failed.
        """
        try:
            response = connections.post(
                call.address, self.path, self.make_body(call), call.deadline_at
            )
        except UNSENT_ERRORS as error:
            return _make_failure("unsent", error)
        except SENT_ERRORS as error:
            return _make_failure("failed", error)
        on_announcement(read_announcement(response))
        try:
            return (yield from self._read_response(response, call))
        except (*SENT_ERRORS, ValueError, KeyError, TypeError) as error:
            response.close()
            return _make_failure("failed", error)

    @abstractmethod
    def make_body(self, call: TargetCall) -> dict[str, object]:
        """Return the JSON body of the request."""

    @abstractmethod
    def read_result(
        self, response: urllib3.BaseHTTPResponse, call: TargetCall
    ) -> Generator[str, None, AttemptResult]:
        """Read a successful response, yielding its output where the protocol streams it.

        Raises:
            ValueError, KeyError, TypeError: the response is invalid.
            OSError, HTTPError: the connection failed, or the deadline passed.
        """

    def _read_response(
        self, response: urllib3.BaseHTTPResponse, call: TargetCall
    ) -> Generator[str, None, TargetReply]:
        report = read_load(response)
        if response.status == 200:
            result = yield from self.read_result(response, call)
            response.release_conn()
            is_broken = result.outcome == "failed" and result.answers is None
            return TargetReply(result=result, load_report=report, is_interrupted=is_broken)
        is_draining = read_announcement(response).is_draining
        is_first = is_first_response(response)
        connection = response.connection
        key = find_attempt_key(drain(response, call.deadline_at))
        is_own = key == call.key or (key is None and is_first)
        if not is_own and connection is not None:
            # The response to this attempt may follow.
            connection.close()
        is_rejected = response.status in REJECTING_STATUSES and is_own
        result = AttemptResult(
            answers=None,
            outcome="refused" if is_rejected else "failed",
            is_leaving=is_draining,
            fault=f"the target answered with status {response.status}"
            + ("" if is_own else ", not to this attempt"),
        )
        return TargetReply(result=result, load_report=report)


#: All protocols by the kind that settings name.
TARGET_PROTOCOLS: Final[dict[str, TargetProtocol]] = {}


def register_protocol(name: str) -> Callable[[type[TargetProtocol]], type[TargetProtocol]]:
    """Register a protocol under the kind that settings name.

    Args:
        name: the kind of service.
    """

    def register(protocol: type[TargetProtocol]) -> type[TargetProtocol]:
        TARGET_PROTOCOLS[name] = protocol()
        return protocol

    return register


def _make_failure(outcome: str, error: Exception) -> TargetReply:
    error_name = type(error).__name__
    if outcome == "unsent":
        result = AttemptResult(answers=None, outcome="unsent", fault=f"not reached ({error_name})")
    else:
        result = AttemptResult(answers=None, outcome="failed", fault=f"broke off ({error_name})")
        return TargetReply(result=result, is_interrupted=not isinstance(error, LateError))
    return TargetReply(result=result)
