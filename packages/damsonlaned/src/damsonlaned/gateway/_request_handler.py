"""Handling one request: stages, attempts, and one final answer."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from functools import partial
from typing import Final

from damsonlane.quarantine import BrokenRun
from damsonlane.routing import Health
from damsonlaned.dialects import Dialect
from damsonlaned.gateway._attempt_history import Tries
from damsonlaned.gateway._attempts import Attempts, Opened
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._ended_targets import EndedTargets
from damsonlaned.gateway._events import EventSplitter, EventTooLargeError, StreamSilentError
from damsonlaned.gateway._failed_attempt import Unserved
from damsonlaned.gateway._failure_responder import Endings
from damsonlaned.gateway._final_response import FinalAnswer
from damsonlaned.gateway._limited_places import NoPlace
from damsonlaned.gateway._read_timer import ReadTimer
from damsonlaned.gateway._request_times import RequestTimes
from damsonlaned.gateway._stage_work import StageResults
from damsonlaned.gateway._stages import StageError, StageRunner
from damsonlaned.gateway._target_wait import TargetWait, describe_nowhere
from damsonlaned.gateway._targets import Chosen
from damsonlaned.http import (
    BrokenAnswerError,
    CallerGoneError,
    HttpResponse,
    NotSentError,
    Reply,
)
from damsonlaned.quarantine import LostTarget, Quarantine

_LOG: Final = logging.getLogger(__name__)


class RequestHandler:
    """Takes one request to its final answer.

    Args:
        call: the request.
        reply: where the answer goes.
        attempts: sends to targets.
        stages: makes stages.
        ended: finds out which targets have ended.
        quarantine: keeps requests that end targets from them.
        dialect: writes our own answers.
        entries: returns how many entries share the fleet's budgets.
    """

    def __init__(
        self,
        call: Call,
        reply: Reply,
        attempts: Attempts,
        stages: StageRunner,
        ended: EndedTargets,
        quarantine: Quarantine,
        dialect: Dialect,
        entries: Callable[[], int],
    ) -> None:
        self._call: Final = call
        self._attempts: Final = attempts
        self._stages: Final = stages
        self._ended: Final = ended
        self._quarantine: Final = quarantine
        self._is_stopped = False
        self._entries: Final = entries
        #: Results of its stages; None until they are made.
        self._results: StageResults | None = None
        self._last_event: str | None = None
        self._times: Final = RequestTimes(call.arrived_at)
        self._tries: Final = Tries(call)
        self._answer: Final = FinalAnswer(call.request.request_id, reply, dialect)
        self._endings: Final = Endings(self._answer, self._tries)
        self._wait: Final = TargetWait(
            call, attempts, stages, self._tries, self._answer, self._endings
        )

    @property
    def outcome(self) -> str:
        """How it ended, for logs and metrics."""
        return self._answer.outcome

    async def run(self) -> None:
        """Serve the request, or refuse it truly."""
        self._attempts.note_arrival(self._call)
        try:
            async with asyncio.timeout_at(self._call.due_at) as limit:
                with self._quarantine.watch(self._call.fingerprint, partial(self._stop, limit)):
                    await self._serve()
        except TimeoutError:
            self._end_stopped()
        except StageError as error:
            if not self._end_held():
                self._endings.end_unstaged(error)
        except asyncio.CancelledError:
            self._answer.outcome = "caller-gone"
            raise
        except CallerGoneError:
            self._answer.outcome = "caller-gone"
        finally:
            self._free_results()
            self._log_end()

    # Requests that end targets.

    def _stop(self, limit: asyncio.Timeout) -> None:
        """Stop a request that is held from now on, unless its caller has a part of its answer.

        A target that still has it waiting drops it then, and lives.
        """
        if not self._answer.has_begun() and not limit.expired():
            self._is_stopped = True
            limit.reschedule(asyncio.get_running_loop().time())

    def _end_stopped(self) -> None:
        """End a request whose time is over, or which is held."""
        is_held = self._is_stopped and self._end_held(is_under_way=self._tries.offers > 0)
        if not is_held:
            self._endings.end_late()

    def _end_held(self, *, is_under_way: bool = False) -> bool:
        """End a request that is kept from targets; tell whether it is."""
        held = self._quarantine.find_held(self._call.fingerprint)
        if held is None:
            return False
        self._endings.end_held(held, is_under_way=is_under_way)
        return True

    # Attempts.

    async def _serve(self) -> None:
        # Whatever brings a request to a target passes here: the first offer of a caller's try,
        # the next ones, and streams taken up elsewhere.  In other tries, at other entries, it
        # may have ended targets, which limits for one try never see.
        while not self._end_held() and not await self._wait.ends_request(self._results):
            unserved = await self._try_once()
            if unserved is None:
                return
            self._tries.note_unserved(
                may_have_run=unserved.may_have_run, is_told_off=unserved.is_told_off
            )
            if unserved.needs_inputs:
                self._free_results()
            if unserved.is_nowhere or not self._may_try_again():
                away = self._attempts.find_return_seconds(self._call)
                self._endings.end_unserved(unserved, max(away, unserved.return_seconds))
                return

    async def _try_once(self) -> Unserved | None:
        """Send the request to one target; return None once the caller has its answer."""
        if self._results is None:
            is_begun = self._answer.has_begun()
            self._results = await self._stages.make(self._call, is_begun=is_begun)
            self._times.note_staged()
        chosen = await self._wait.find_place(self._results)
        if isinstance(chosen, NoPlace):
            nowhere = describe_nowhere(chosen)
            self._log_unserved(nowhere)
            return nowhere
        if self._tries.offers == 0:
            self._attempts.count_first(self._call)
        self._tries.note_offer(chosen.target)
        self._times.note_sent()
        unserved = await self._send(chosen)
        if unserved is not None:
            self._log_unserved(unserved, chosen)
            await self._note_loss(unserved, chosen)
        return unserved

    async def _note_loss(self, unserved: Unserved, chosen: Chosen) -> None:
        """Note that a target may not have survived the request."""
        runs = (self._describe_run(),)
        if unserved.loss == "broken":
            if await self._ended.note_broken(LostTarget.of(chosen.named), runs):
                await self._quarantine.settle(self._call.fingerprint)
        elif unserved.loss == "silent":
            self._ended.note_silent(LostTarget.of(chosen.named), runs)

    async def _send(self, chosen: Chosen) -> Unserved | None:
        try:
            opened = await self._open(chosen)
        except NotSentError as error:
            return Unserved(detail=str(error), may_have_run=False)
        except BrokenAnswerError as error:
            return Unserved(detail=str(error), may_have_run=True, loss="broken")
        except TimeoutError:
            detail = "the target did not answer in time"
            return Unserved(detail=detail, may_have_run=True, loss="silent")
        if opened.signs.is_stream and opened.head.status == 200:
            return await self._pass_stream(opened)
        return await self._pass_whole(opened)

    async def _open(self, chosen: Chosen) -> Opened:
        """Send the request and wait for the head of the answer.

        Raises:
            NotSentError: it was not sent.
            BrokenAnswerError: it was sent and no answer came.
            TimeoutError: the target was silent for too long.
        """
        inputs = self._results.inputs if self._results is not None else ()
        reading = ReadTimer(self._free_read_results)
        try:
            async with asyncio.timeout(self._tries.silence_seconds()):
                return await self._attempts.open(
                    self._call, chosen, inputs, self._last_event, reading.start
                )
        except (NotSentError, BrokenAnswerError, TimeoutError):
            self._attempts.finish_unopened(chosen, "bad")
            raise
        except BaseException:
            # The caller left or the deadline came, which says nothing about the target.
            self._attempts.finish_unopened(chosen, "neutral")
            raise
        finally:
            reading.cancel()

    def _may_try_again(self) -> bool:
        """Tell whether the request may be sent to another target, and pay for it."""
        if not self._tries.may_go_on(has_begun=self._answer.has_begun()):
            return False
        return self._attempts.may_repeat(self._call, self._entries())

    # Whole answers.

    async def _pass_whole(self, opened: Opened) -> Unserved | None:
        health: Health = "neutral"
        try:
            body = await opened.exchange.body.read_whole()
            health = "good" if opened.head.status < 500 else "bad"
        except BrokenAnswerError as error:
            health = "bad"
            has_run = not opened.signs.has_not_run
            return Unserved(detail=str(error), may_have_run=has_run, loss="broken")
        finally:
            self._attempts.finish(opened, health)
        head = opened.head
        response = HttpResponse(status=head.status, headers=head.headers, body=body)
        unserved = self._find_failure(opened, response)
        if unserved is None:
            self._free_results()
            self._answer.send_whole(response)
            if response.status < 300:
                self._quarantine.note_served(self._call.fingerprint)
        return unserved

    def _find_failure(self, opened: Opened, response: HttpResponse) -> Unserved | None:
        """Return why a whole answer doesn't serve the caller, or None if it does."""
        if opened.signs.has_not_run:
            return Unserved(
                detail=f"the target turned it away with {response.status}",
                may_have_run=False,
                needs_inputs=response.status == 409,
                is_told_off=opened.signs.says_what_it_takes(),
            )
        if response.status >= 500 or self._answer.has_begun():
            return Unserved(
                detail=f"the target failed with {response.status}",
                may_have_run=True,
                response=response,
            )
        return None

    # Event streams.

    async def _pass_stream(self, opened: Opened) -> Unserved | None:
        """Pass whole events on as they come; return None once the stream is whole."""
        splitter = EventSplitter()
        health: Health = "neutral"
        try:
            async for data in self._parts_in_time(opened):
                for event in splitter.feed(data):
                    await self._pass_event(opened, event.data, event.identity)
            if splitter.rest():
                raise BrokenAnswerError("the stream ended inside an event")
            if not self._answer.has_begun():
                self._answer.start(opened.head)
            self._answer.finish()
            self._quarantine.note_served(self._call.fingerprint)
            health = "good"
            return None
        except (BrokenAnswerError, EventTooLargeError) as error:
            health = "bad"
            return Unserved(detail=str(error), may_have_run=True, loss="broken")
        except StreamSilentError as error:
            health = "bad"
            return Unserved(detail=str(error), may_have_run=True, loss="silent")
        finally:
            self._attempts.finish(opened, health)

    async def _pass_event(self, opened: Opened, data: bytes, identity: str | None) -> None:
        if not self._answer.has_begun():
            # The first event says that the target has read its inputs.
            self._free_results()
            self._answer.start(opened.head)
            seconds = self._times.note_first_event()
            if opened.chosen.placed is not None:
                opened.chosen.placed.note_read(self._times.seconds_since_sent())
            if self._tries.offers == 1:
                self._stages.note_first_event(self._call, seconds)
        self._times.note_event()
        await self._answer.send(data)
        if identity is not None:
            self._last_event = identity

    async def _parts_in_time(self, opened: Opened) -> AsyncIterator[bytes]:
        """Yield the parts of a stream; one that falls silent is broken if it may be resumed."""
        parts = opened.exchange.body.parts()
        while True:
            try:
                pause = self._tries.pause_seconds(has_begun=self._answer.has_begun())
                async with asyncio.timeout(pause):
                    part = await anext(parts)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise StreamSilentError("the stream fell silent") from None
            yield part

    # Results of stages, and the log.

    def _free_read_results(self) -> None:
        """Give up the inputs that the target has read, if others wait for their room.

        Where nobody waits they are kept until the first event, since another target
        needs them if this one fails.
        """
        if self._results is not None and self._stages.is_room_wanted(self._results):
            self._free_results()

    def _free_results(self) -> None:
        if self._results is not None:
            results, self._results = self._results, None
            self._stages.free(results)

    def _describe_run(self) -> BrokenRun:
        """Return what broke off: this request, some time after it was sent."""
        return BrokenRun(
            fingerprint=self._call.fingerprint, seconds=self._times.seconds_since_sent()
        )

    def _log_unserved(self, unserved: Unserved, chosen: Chosen | None = None) -> None:
        fields = {
            "target": chosen.target if chosen is not None else "",
            "reason": unserved.detail,
            "may_have_run": unserved.may_have_run,
        }
        _LOG.info("not served", extra={**self._call.log_fields(), **fields})

    def _log_end(self) -> None:
        call = self._call
        _LOG.info(
            "ended",
            extra={
                **call.log_fields(),
                "outcome": self.outcome,
                "reason": self._answer.detail,
                "seconds": round(self._times.age(), 3),
                "aim_seconds": call.route.aim_seconds,
                "pause_aim_seconds": call.route.pause_seconds,
                **self._times.log_fields(),
                "offers": self._tries.offers,
                "last_event": self._last_event,
            },
        )
