"""One attempt of a request at one target."""

import asyncio
import itertools
import logging
from collections.abc import Sequence
from dataclasses import replace
from functools import partial
from typing import Final

from damsonlane.routing import HealthSignal
from damsonlane.versions import StreamOrigin
from damsonlaned.attempts import AttemptTurn
from damsonlaned.gateway._attempts import OpenedExchange
from damsonlaned.gateway._input_read_timer import InputReadTimer
from damsonlaned.gateway._target_selector import ChosenTarget
from damsonlaned.http import (
    ConnectionsInUseError,
    HttpResponse,
    IncompleteResponseError,
    NotSentError,
)
from damsonlaned.quarantine import LostTarget
from damsonlaned.requests._events import (
    BlankEventLimit,
    BlankStreamError,
    Event,
    EventSplitter,
    EventTooLargeError,
    read_in_turn,
)
from damsonlaned.requests._failed_attempt import FailedAttempt, find_failure
from damsonlaned.requests._request_parts import RequestParts

_LOG: Final = logging.getLogger(__name__)

#: Seconds from the head of a stream after which an event of it shows that what the request shares
#: with others does not make the target exit: that happens as it begins to write.
WRITING_SECONDS: Final = 1.0


class TargetAttempt:
    """Sends a request to one target and forwards its response.

    Args:
        parts: what serves the request.
        chosen: the target.
        turn: is told of silences, and decides when a part may be forwarded.
    """

    def __init__(self, parts: RequestParts, chosen: ChosenTarget, turn: AttemptTurn) -> None:
        self._call: Final = parts.call
        self._attempts: Final = parts.attempts
        self._stages: Final = parts.stages
        self._results: Final = parts.results
        self._history: Final = parts.history
        self._times: Final = parts.times
        self._response: Final = parts.response
        self._quarantine: Final = parts.quarantine
        self._relay: Final = parts.relay
        self._origins: Final = parts.origins
        self._exit_detector: Final = parts.exit_detector
        self._late_requests: Final = parts.late_requests
        self._turn: Final = turn
        if not self._quarantine.may_copy(chosen.source_address, chosen.version):
            chosen = replace(chosen, source_address="")
        self._chosen: Final = chosen
        #: Whether the target had the request before.
        self._is_repeat = False
        #: Whether it was recorded that the target has been writing for a while.
        self._is_writing_recorded = False

    async def run(self) -> FailedAttempt | None:
        """Make the attempt; return None once the response is complete."""
        self._is_repeat = self._chosen.target in self._history.tried_targets
        self._history.record_attempt(self._chosen.target)
        self._times.record_sent()
        self._begin()
        self._turn.on_resumed = partial(self._resume, self._times.age())
        self._turn.on_given_up = partial(self._record_given_up, self._times.age())
        self._turn.on_withdrawn = self._record_withdrawn
        try:
            failure = await self._send()
            if failure is not None:
                self._log_failure(failure)
                await self._report_loss(failure)
                if self._turn.is_replacement and not failure.was_sent:
                    self._attempts.return_retry(self._call)
            return failure
        finally:
            if not self._turn.is_given_up:
                self._history.record_end()
                self._quarantine.end_attempt()

    def _begin(self) -> None:
        self._quarantine.begin_attempt(self._chosen.version, self._chosen.source_address)

    def _resume(self, sent_age: float) -> None:
        self._begin()
        self._times.record_sent(sent_age)

    async def _report_loss(self, failure: FailedAttempt) -> None:
        """Report a lost response, since the target may have exited under the request."""
        if not failure.is_lost:
            return
        runs = (self._quarantine.make_run(self._times.seconds_since_sent()),)
        if await self._exit_detector.report_broken(LostTarget.of(self._chosen.incarnation), runs):
            await self._quarantine.wait_until_reported()

    def _record_given_up(self, sent_age: float) -> None:
        """Record that a silent target is given up for another one."""
        if self._chosen.placed is not None:
            self._chosen.placed.report_read(None)
        failure = FailedAttempt(detail="the target fell silent", may_have_run=True)
        self._log_failure(failure)
        self._history.record_end()
        self._history.record_failure(may_have_run=True)
        run = self._quarantine.make_run_at(
            self._chosen.version, self._chosen.source_address, self._times.age() - sent_age
        )
        self._exit_detector.report_silent(LostTarget.of(self._chosen.incarnation), (run,))

    def _record_withdrawn(self) -> None:
        """Record that the silent target goes on, which this one was to replace."""
        failure = FailedAttempt(detail="the silent target goes on", may_have_run=True)
        self._log_failure(failure)
        self._history.record_end()
        self._history.record_failure(may_have_run=True)

    # One target.

    async def _send(self) -> FailedAttempt | None:
        try:
            opened = await self._open()
        except NotSentError as error:
            return FailedAttempt(detail=str(error), may_have_run=False, was_sent=False)
        except IncompleteResponseError as error:
            return FailedAttempt(detail=str(error), may_have_run=True, is_lost=True)
        opened.exchange.charge_to(self._response.meter)
        if opened.signals.is_stream and opened.head.status == 200:
            self._turn.replace()
            return await self._forward_stream(opened)
        return await self._forward_whole(opened)

    async def _open(self) -> OpenedExchange:
        """Send the request and wait for the head of the response.

        Raises:
            NotSentError: the request was not sent.
            IncompleteResponseError: it was sent and the connection broke before a response.
        """
        inputs = self._results.value.inputs if self._results.value is not None else ()
        read_timer = InputReadTimer(self._results.release_read)
        on_silent = partial(self._attempts.record_silent, self._chosen)
        try:
            with (
                self._turn.expect(self._history.response_timeout_seconds, on_silent),
                self._relay.watch(self._turn.report_silent),
            ):
                return await self._attempts.open(
                    self._call,
                    self._chosen,
                    inputs,
                    self._history.last_event,
                    read_timer.start,
                    is_repeat=self._is_repeat,
                )
        except ConnectionsInUseError:
            self._attempts.finish_unopened(self._chosen, "neutral")
            raise
        except (NotSentError, IncompleteResponseError):
            self._attempts.finish_unopened(self._chosen, "bad")
            raise
        except BaseException:
            # The caller disconnected or the deadline passed: not a failure of the target.
            self._attempts.finish_unopened(self._chosen, "neutral")
            raise
        finally:
            read_timer.cancel()

    # Whole responses.

    async def _forward_whole(self, opened: OpenedExchange) -> FailedAttempt | None:
        health: HealthSignal = "neutral"
        try:
            body = await opened.exchange.body.read_all()
            if self._response.meter is not None:
                # Otherwise the room would be given away before the response is written.
                self._response.meter.hold(self, len(body))
            health = "good" if opened.head.status < 500 else "bad"
        except IncompleteResponseError as error:
            health = "bad"
            has_run = not opened.signals.has_not_run
            return FailedAttempt(detail=str(error), may_have_run=has_run, is_lost=True)
        finally:
            self._attempts.finish(opened, health)
        try:
            return await self._send_whole(opened, body)
        finally:
            if self._response.meter is not None:
                self._response.meter.record_unread(self, 0)

    async def _send_whole(self, opened: OpenedExchange, body: bytes) -> FailedAttempt | None:
        """Send a complete response, or return why it is none for the caller."""
        head = opened.head
        response = HttpResponse(status=head.status, headers=head.headers, body=body)
        failure = find_failure(
            opened.signals,
            response,
            has_started=self._response.has_started(),
            runs_once=not self._call.route.is_retryable(),
        )
        await self._turn.wait()
        if failure is None:
            self._turn.replace()
            self._results.release()
            if self._response.meter is not None:
                self._response.meter.hold(self, 0)
            self._response.send_response(response)
            if response.status < 300:
                self._quarantine.record_served()
                if self._call.service.engine is None:
                    self._record_duration(self._times.seconds_since_sent())
        return failure

    # Event streams.

    async def _forward_stream(self, opened: OpenedExchange) -> FailedAttempt | None:
        """Forward each complete event as it arrives; return None once the stream is complete."""
        splitter, blank_limit = EventSplitter(), BlankEventLimit()
        health: HealthSignal = "neutral"
        on_silent = partial(self._attempts.record_silent, opened.chosen)
        parts = opened.exchange.body.iter_parts()
        try:
            async for data in read_in_turn(parts, self._turn, self._pause_seconds, on_silent):
                events = splitter.feed(data)
                if blank_limit.count(events):
                    opened.exchange.body.record_progress()
                await self._forward_events(opened, events)
                opened.exchange.record_collected(splitter.pending_bytes)
            if splitter.pending_bytes:
                raise IncompleteResponseError("the stream ended inside an event")
            if not self._response.has_started():
                self._response.start(opened.head)
            self._response.finish()
            if self._history.attempt_count == 1:
                self._record_duration(self._times.seconds_since_first_event())
            self._quarantine.record_served()
            health = "good"
            return None
        except (IncompleteResponseError, EventTooLargeError, BlankStreamError) as error:
            health = "bad"
            return FailedAttempt(detail=str(error), may_have_run=True, is_lost=True)
        finally:
            self._attempts.finish(opened, health)

    def _pause_seconds(self) -> float:
        return self._history.pause_seconds(has_started=self._response.has_started())

    async def _forward_events(self, opened: OpenedExchange, events: Sequence[Event]) -> None:
        """Forward events that arrived together; blank ones begin no response."""
        if not self._response.has_started():
            events = tuple(itertools.dropwhile(lambda event: event.is_blank, events))
        if not events:
            return
        # An event shows that the target has read its inputs, and that it is not silent any more.
        self._results.release()
        if not self._response.has_started():
            self._record_origin(opened)
            self._response.start(opened.head)
            seconds = self._times.record_first_event()
            if opened.chosen.placed is not None:
                opened.chosen.placed.report_read(
                    self._times.seconds_since_sent(), opened.slowness, opened.head_at
                )
            if self._history.attempt_count == 1:
                self._stages.record_first_event(self._call, seconds)
        self._times.record_event()
        self._record_writing(opened)
        await self._response.send(b"".join(event.data for event in events))
        for event in events:
            if event.event_id is not None:
                self._history.last_event = event.event_id

    def _record_writing(self, opened: OpenedExchange) -> None:
        """Record that the target has been writing for a while, if it has."""
        is_long = asyncio.get_running_loop().time() - opened.head_at >= WRITING_SECONDS
        if is_long and not self._is_writing_recorded:
            self._is_writing_recorded = True
            self._quarantine.record_writing()

    def _record_origin(self, opened: OpenedExchange) -> None:
        """Record where the stream began, before its caller has an event of it."""
        chosen = opened.chosen
        origin = StreamOrigin(
            attempt=self._call.first_attempt,
            service=chosen.service,
            version=chosen.version,
            weights=chosen.find_weights(self._call.request.model),
        )
        self._history.origin = origin
        if self._call.route.is_resumable:
            self._origins.record(origin)

    def _record_duration(self, seconds: float) -> None:
        """Record the duration of a complete answer, from which others are forecast."""
        tokens = self._call.request.max_output_tokens
        self._late_requests.record_duration(self._call.route.name, tokens, seconds)

    def _log_failure(self, failure: FailedAttempt) -> None:
        fields = {
            "target": self._chosen.target,
            "reason": failure.detail,
            "may_have_run": failure.may_have_run,
        }
        _LOG.info("attempt failed", extra={**self._call.log_fields(), **fields})
