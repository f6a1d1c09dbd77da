"""Passes one request on, if this entry does not reach its targets."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Final, Protocol

from damsonlane.records import dataclass
from damsonlane.versions import StreamOrigin
from damsonlane_rpc import RelayPart
from damsonlaned.attempts import AttemptTurn
from damsonlaned.dialects import PROMISE_STATUSES
from damsonlaned.http import HttpResponse
from damsonlaned.relay._client import RelayClient, RelayFailure
from damsonlaned.relay._messages import RelayedRequest, decode_body, read_head
from damsonlaned.relay._reach_monitor import CHECK_SECONDS, ReachMonitor

if TYPE_CHECKING:
    from damsonlaned.gateway._call import Call
    from damsonlaned.requests._attempt_history import AttemptHistory
    from damsonlaned.requests._final_response import FinalResponse

#: Times that one request is passed on: again if the first entry is lost.
MAX_RELAYS: Final = 2
#: Time reserved for the way of the response from the other entry, in seconds.
TRANSIT_SECONDS: Final = 0.02


class Event(Protocol):
    """A complete event of a stream."""

    @property
    def data(self) -> bytes:
        """The event as received."""

    @property
    def event_id(self) -> str | None:
        """Its id, or None."""


@dataclass(frozen=True, kw_only=True)
class Relay:
    """What passing on requests depends on."""

    #: Name of this box.
    box: str
    #: Which services this box reaches.
    reach: ReachMonitor
    #: Passes requests on.
    client: RelayClient


class RequestRelay:
    """Decides whether a request is passed on, and passes it on.

    A request is passed on whole and once: the other entry decides everything about it, and this
    one only copies its response.

    Args:
        relay: passes requests on.
        call: the request.
        history: its attempts so far.
        response: the response to its caller.
        split: returns the complete events in the bytes of a stream.
        record_origin: records where a stream began, before its caller has an event of it.
    """

    def __init__(
        self,
        relay: Relay,
        call: "Call",
        history: "AttemptHistory",
        response: "FinalResponse",
        split: Callable[[bytes], Iterable[Event]],
        record_origin: Callable[[StreamOrigin], None],
    ) -> None:
        self._record_origin: Final = record_origin
        self._relay: Final = relay
        self._call: Final = call
        self._history: Final = history
        self._response: Final = response
        self._split: Final = split
        self._count = 0
        #: Whether the request is passed on next to find out whether another entry gets a response.
        self._is_comparison = False

    def is_due(self) -> bool:
        """Return whether the request is passed on next, rather than sent to a target."""
        reach = self._relay.reach
        service = self._call.service.name
        if not self._may_be_passed_on():
            return False
        if self._is_comparison:
            return True
        if reach.is_reached(service):
            return self._must_compare_first()
        # The trial may be lost, so it must be a request that can be repeated.
        return not (self._call.route.is_retryable() and reach.admit_trial(service))

    def is_useful(self) -> bool:
        """Return whether another entry may get a response that this one does not get."""
        route = self._call.route
        if not self._may_be_passed_on() or not route.is_retryable():
            return False
        is_resumable = route.is_resumable or not self._response.has_started()
        return is_resumable and not self._relay.reach.is_reached(self._call.service.name)

    def _must_compare_first(self) -> bool:
        """Return whether the request is passed on without an attempt of this entry.

        A request that must run once could not be passed on after one, and without a health check
        nothing else would show whether the path or the targets are at fault.
        """
        is_new = self._history.attempt_count == 0 and not self._call.route.is_retryable()
        return is_new and self._relay.reach.is_suspect(self._call.service.name)

    async def may_follow(self, *, may_have_run: bool) -> bool:
        """Return whether the request may be passed on after an attempt that failed.

        Args:
            may_have_run: whether the request may have run at any attempt.
        """
        route = self._call.route
        is_started = self._response.has_started()
        if not self._may_be_passed_on() or (may_have_run and not route.is_retryable()):
            return False
        if is_started and not route.is_resumable:
            return False
        service = self._call.service.name
        # A request that may have run and can't be sent elsewhere gains nothing by an early end.
        may_wait = may_have_run and not self._history.may_retry(has_started=is_started)
        seconds = max(CHECK_SECONDS, self._call.remaining()) if may_wait else CHECK_SECONDS
        if not await self._relay.reach.check(service, seconds):
            return True
        # Only the response to another entry tells whether the path is at fault.
        self._is_comparison = self._relay.reach.is_suspect(service)
        return self._is_comparison

    async def run(self, turn: AttemptTurn) -> RelayFailure | None:
        """Pass the request on; return None once the response is complete.

        Args:
            turn: is told of silences, and decides when a part may be forwarded.
        """
        self._count += 1
        self._is_comparison = False
        earlier_runs = self._history.count_runs()
        self._history.record_relay()
        call = self._call
        request = RelayedRequest(
            box=self._relay.box,
            http=call.request.http,
            version=call.table.version,
            elapsed_seconds=asyncio.get_running_loop().time() - call.arrived_at + TRANSIT_SECONDS,
            is_resumed=self._response.has_started(),
            last_event_id=self._history.last_event,
            origin=self._history.origin,
            earlier_runs=earlier_runs,
        )
        copier = _ResponseCopier(
            self._relay.reach,
            call.service.name,
            self._response,
            self._split,
            turn,
            self._history,
            self._record_origin,
            may_have_run=earlier_runs > 0,
        )
        failure = await self._relay.client.serve(
            request, call.service.name, call.request.request_id, copier.take, turn
        )
        if failure is None and copier.fault:
            return RelayFailure(detail=copier.fault, may_have_run=True)
        if failure is None:
            self._response.outcome = "passed-on"
        return failure

    @contextlib.contextmanager
    def watch(self, on_unreached: Callable[[], None]) -> Iterator[None]:
        """Call a function if the service is found not to be reached, unless that is of no use."""
        if not self._may_be_passed_on() or not self._call.route.is_retryable():
            yield
            return
        with self._relay.reach.watch(self._call.service.name, on_unreached):
            yield

    def _may_be_passed_on(self) -> bool:
        if self._call.relayed_by or self._count >= MAX_RELAYS:
            return False
        # The first time does not count: the target that has the request may not be reached.
        return self._count == 0 or self._history.count_runs() < self._call.route.most_targets


class _ResponseCopier:
    """Copies the response of one other entry to the caller."""

    def __init__(
        self,
        reach: ReachMonitor,
        service: str,
        response: "FinalResponse",
        split: Callable[[bytes], Iterable[Event]],
        turn: AttemptTurn,
        history: "AttemptHistory",
        record_origin: Callable[[StreamOrigin], None],
        *,
        may_have_run: bool,
    ) -> None:
        self._record_origin: Final = record_origin
        self._may_have_run: Final = may_have_run
        self._reach: Final = reach
        self._service: Final = service
        self._response: Final = response
        self._split: Final = split
        self._turn: Final = turn
        self._history: Final = history
        #: Why the response is of no use to the caller, or an empty string.
        self.fault = ""

    async def take(self, part: RelayPart) -> None:
        """Copy a part of the response."""
        await self._turn.wait()
        if 0 < part.status < 500:
            self._reach.record_served_elsewhere(self._service)
        if part.is_whole:
            self._take_whole(part)
            return
        self._turn.replace()
        if part.origin is not None and self._history.origin is None:
            self._history.origin = part.origin
            self._record_origin(part.origin)
        if part.status and not self._response.has_started():
            self._response.start(read_head(part))
        if part.body:
            for event in self._split(decode_body(part.body)):
                if event.event_id:
                    self._history.last_event = event.event_id
                await self._response.send(event.data)
        if part.is_last:
            self._response.finish()

    def _take_whole(self, part: RelayPart) -> None:
        if self._response.has_started():
            self.fault = f"the other entry could not resume the stream: {part.status}"
            return
        if self._may_have_run and part.status in PROMISE_STATUSES:
            # Its promise does not hold for the runs before.
            self.fault = f"the other entry refused the request: {part.status}"
            return
        if self._turn.is_replacement and part.status >= 500:
            self.fault = f"the other entry failed: {part.status}"
            return
        self._turn.replace()
        head = read_head(part)
        self._response.send_response(
            HttpResponse(status=head.status, headers=head.headers, body=decode_body(part.body))
        )
