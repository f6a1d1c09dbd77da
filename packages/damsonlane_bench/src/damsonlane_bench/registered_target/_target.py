"""A target that sends heartbeats, announces draining, back-off and rate limits, and logs runs."""

import asyncio
import json
import os
import secrets
import time
from pathlib import Path
from typing import Final, Literal

from damsonlane.targets import TargetRecord
from damsonlane_bench.registered_target._announcements import BACKOFF_SECONDS, Announcements
from damsonlane_bench.registered_target._connections import ConnectionLimit
from damsonlane_bench.registered_target._crashes import CRASH_DELAY_SECONDS, Crash, find_crash
from damsonlane_bench.registered_target._events import (
    EVENT_COUNT,
    LARGE_ANSWER_BYTES,
    LARGE_INPUT,
    render_event,
)
from damsonlane_bench.registered_target._load import ReportedLoad
from damsonlane_bench.registered_target._registration import Registration
from damsonlane_bench.registered_target._rejections import Rejections
from damsonlane_bench.registered_target._run_log import log_arrival, log_fall, log_run, log_wait
from damsonlane_bench.registered_target._senders import Senders
from damsonlaned.http import (
    HttpHead,
    HttpListener,
    HttpRequest,
    HttpResponse,
    ResponseWriter,
)

#: What a target serves: single responses, streams of events, or pieces of stages.
TargetKind = Literal["plain", "engine", "pool"]

#: Path of the health check.
HEALTH_PATH: Final = "/health"
#: Duration of a plain request and of a call to a pool, in seconds.
_WORK_SECONDS: Final = 0.02
#: Seconds between the events of a stream.
_EVENT_SECONDS: Final = 0.05
#: Exit code of a process that exits at `CRASH_INPUT`.
_CRASH_EXIT_CODE: Final = 70
#: Exit code of a process that rejected more than it bears.
_FALL_EXIT_CODE: Final = 71
#: Seconds from which the wait of a target for one part of a stream to be taken is logged.
_LOGGED_WAIT_SECONDS: Final = 0.5
#: Seconds between checks whether a cut has ended.
_CUT_POLL_SECONDS: Final = 0.05


class RegisteredTarget:
    """A stand-in for a target.

    Args:
        service: name of its service.
        kind: what it serves.
        address: IP address and port at which it listens.
        registries: addresses of control replicas for heartbeats.
        reports_load: whether responses report its load.
        senders: file that names the processes of entries, and those that are cut off.
        version: version of its software, which its events name; empty if it reports none.
        connections: most connections that it takes; 0 for any number.
    """

    def __init__(
        self,
        service: str,
        kind: TargetKind,
        address: str,
        registries: list[str],
        *,
        reports_load: bool = False,
        senders: Path | None = None,
        version: str = "",
        connections: int = 0,
    ) -> None:
        self._senders: Final = Senders(senders, int(address.rpartition(":")[2]))
        self._kind: Final = kind
        self._record: Final = TargetRecord(
            target=f"{service}-{secrets.token_hex(4)}",
            service=service,
            address=address,
            data_centre="fukuoka-a",
            slots=4,
            standing="live",
            sequence=0,
            version=version,
        )
        self._registration: Final = Registration(self._record, registries)
        self._connections: Final = ConnectionLimit(connections, lambda: self._listener.count_open())
        self._listener: Final = HttpListener(
            address, self._serve, render_refusal=_render, gate=self._connections
        )
        self._backoff_until = 0.0
        #: Load of this target; its slow periods have effect even if it is not reported.
        self.load: Final = ReportedLoad(self._record.slots)
        #: Rejections for lack of room, while it announces a limit of them.
        self.rejections: Final = Rejections(self._record.slots)
        self._announcements: Final = Announcements(
            self._record.target, self.load, self.rejections, reports_load=reports_load
        )
        #: Set unless the target is silent.
        self._may_send: Final = asyncio.Event()
        self._may_send.set()
        #: Ids of the requests that ran, in order.
        self.ran: list[str] = []

    async def start(self) -> None:
        """Start listening and sending heartbeats."""
        await self._listener.start()
        self._registration.start()

    def request_backoff(self) -> None:
        """Reject requests for a while, with a back-off."""
        self._backoff_until = time.monotonic() + BACKOFF_SECONDS

    def announce_next_rate_limit(self) -> None:
        """Announce the next rate limit in each response from now on."""
        self._announcements.announce_next_rate_limit()

    def end_rate_limit(self) -> None:
        """Announce no rate limit from now on."""
        self._announcements.end_rate_limit()

    def announce_draining(self) -> None:
        """Announce draining in each response, whether or not control replicas know of it."""
        self._announcements.is_draining = True

    def fall_silent(self) -> None:
        """Send nothing from now on, but for health checks and heartbeats."""
        self._may_send.clear()

    def end_silence(self) -> None:
        """Go on with all responses."""
        self._may_send.set()

    async def drain(self) -> None:
        """Report that it is draining, continue to serve for a while, deregister and stop."""
        await self._registration.leave()
        await self._listener.stop()

    # Requests.

    async def _serve(self, request: HttpRequest, reply: ResponseWriter) -> None:
        sender = self._senders.find(reply.peer_port)
        came_at = time.monotonic()
        while (form := self._senders.find_cut(sender)) is not None:
            if form == "reset":
                reply.abort()
                return
            await asyncio.sleep(_CUT_POLL_SECONDS)
        self.load.running += 1
        try:
            await self._handle(request, reply, sender, time.monotonic() - came_at)
        finally:
            self.load.running -= 1

    async def _handle(
        self, request: HttpRequest, reply: ResponseWriter, sender: str, held_seconds: float
    ) -> None:
        if request.path == HEALTH_PATH:
            reply.send_response(HttpResponse(status=200, body=b"healthy"))
            return
        if request.path == "/ran":
            reply.send_response(HttpResponse(status=200, body=json.dumps(self.ran).encode()))
            return
        if request.path == "/connections":
            counts = (self._connections.peak, self._connections.reset_count)
            reply.send_response(HttpResponse(status=200, body=json.dumps(counts).encode()))
            return
        is_backing_off = time.monotonic() < self._backoff_until
        log_arrival(
            request.find(b"damsonlane-request-id") or "",
            self._record.target,
            backoff_seconds=BACKOFF_SECONDS if is_backing_off else 0.0,
            is_draining=self._announcements.is_draining,
            sender=sender,
            held_seconds=held_seconds,
        )
        if self.rejections.rejects(self.load.running):
            self._reject(request, reply)
        elif is_backing_off:
            reply.send_response(
                HttpResponse(status=503, headers=self._announcements.make_backoff_headers(request))
            )
        elif self._kind != "pool" and not self._is_addressed(request):
            # Checked first: a request for another target never runs here, not even a crashing one.
            reply.send_response(HttpResponse(status=421))
        elif (crash := find_crash(request, is_pool=self._kind == "pool")) is not None:
            await self._exit_under(request, reply, crash)
        elif self._kind == "pool":
            await self._compute_pieces(request, reply)
        elif self._kind == "engine":
            await self._stream(request, reply)
        else:
            await asyncio.sleep(_WORK_SECONDS * self.load.slowness)
            self._record_run(request)
            await self._may_send.wait()
            is_large = request.body.startswith(LARGE_INPUT.encode())
            body = b"." * LARGE_ANSWER_BYTES if is_large else b"ok"
            reply.send_response(
                HttpResponse(
                    status=200, headers=self._announcements.make_headers(request), body=body
                )
            )

    async def _exit_under(self, request: HttpRequest, reply: ResponseWriter, crash: Crash) -> None:
        await asyncio.sleep(crash.read_seconds)
        log_run(request.find(b"damsonlane-request-id") or "", is_crash=True)
        if crash.has_event:
            headers = (
                *self._announcements.make_headers(request),
                (b"Content-Type", b"text/event-stream"),
            )
            reply.start(HttpHead(status=200, headers=headers))
            number = int(request.find(b"last-event-id") or 0) + 1
            await reply.send(render_event(number, "", self._record.version).encode())
        await asyncio.sleep(CRASH_DELAY_SECONDS)
        os._exit(_CRASH_EXIT_CODE)

    def _is_addressed(self, request: HttpRequest) -> bool:
        """Return whether a request is for this incarnation of this target."""
        start = request.find(b"damsonlane-target-start") or str(self._record.start)
        is_own_name = request.find(b"damsonlane-target") == self._record.target
        return is_own_name and start == str(self._record.start)

    def _reject(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Reject a request for lack of room, and exit if that is more than this target bears."""
        if self.rejections.record_rejection():
            log_fall(self._record.target)
            os._exit(_FALL_EXIT_CODE)
        headers = (*self._announcements.make_headers(request), (b"Damsonlane-Run-No", b"1"))
        reply.send_response(HttpResponse(status=503, headers=headers))

    async def _compute_pieces(self, request: HttpRequest, reply: ResponseWriter) -> None:
        if request.path == "/v1/pieces/free":
            reply.send_response(
                HttpResponse(status=200, headers=self._announcements.make_headers(request))
            )
            return
        await asyncio.sleep(_WORK_SECONDS * self.load.slowness)
        pieces = [
            {"handle": f"{self._record.address}/{secrets.token_hex(6)}"}
            for _ in json.loads(request.body)["pieces"]
        ]
        await self._may_send.wait()
        body = json.dumps({"pieces": pieces}).encode()
        reply.send_response(
            HttpResponse(status=200, headers=self._announcements.make_headers(request), body=body)
        )

    async def _stream(self, request: HttpRequest, reply: ResponseWriter) -> None:
        self._record_run(request)
        headers = (
            *self._announcements.make_headers(request),
            (b"Content-Type", b"text/event-stream"),
        )
        await self._may_send.wait()
        reply.start(HttpHead(status=200, headers=headers))
        first = int(request.find(b"last-event-id") or 0) + 1
        request_id = request.find(b"damsonlane-request-id") or ""
        large_request = request_id if request.body.startswith(LARGE_INPUT.encode()) else ""
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(_EVENT_SECONDS * self.load.slowness)
            event = render_event(number, large_request, self._record.version)
            await self._may_send.wait()
            await self._send_event(reply, event, request_id)
        reply.finish()

    async def _send_event(self, reply: ResponseWriter, event: str, request_id: str) -> None:
        """Send one event, and log for how long this target had to wait if it was long."""
        began_at = time.monotonic()
        try:
            await reply.send(event.encode())
        finally:
            seconds = time.monotonic() - began_at
            if seconds >= _LOGGED_WAIT_SECONDS:
                log_wait(request_id, self._record.target, seconds)

    def _record_run(self, request: HttpRequest) -> None:
        request_id = request.find(b"damsonlane-request-id") or ""
        self.ran.append(request_id)
        log_run(request_id)


def _render(status: int, detail: str) -> HttpResponse:
    return HttpResponse(status=status, body=detail.encode())
