"""A target that sends heartbeats, says when it leaves, and counts what it ran."""

import asyncio
import itertools
import json
import logging
import os
import secrets
import signal
import time
from dataclasses import replace
from typing import Final, Literal

from damsonlane.codec import encode_bytes
from damsonlane.targets import TargetRecord
from damsonlaned.http import (
    ConnectionPool,
    HttpHead,
    HttpListener,
    HttpRequest,
    HttpResponse,
    IncompleteResponseError,
    NotSentError,
    ResponseWriter,
)

_LOG: Final = logging.getLogger(__name__)

#: What a target does: one answer, a stream of events, or pieces of stages.
Kind = Literal["plain", "engine", "pool"]

#: Seconds between heartbeats.
HEARTBEAT_SECONDS: Final = 0.5
#: Seconds for which one heartbeat may take.
_CALL_SECONDS: Final = 1.0
#: Seconds of work of a plain request, and of a call to a pool.
_WORK_SECONDS: Final = 0.02
#: Events of a stream, and the seconds between them.
EVENTS: Final = 20
_EVENT_SECONDS: Final = 0.05
#: Body of a request, and key of the material of pieces, that no target survives.
DEADLY: Final = "end the target"
#: Seconds from the beginning of such a run until the process ends.
_DYING_SECONDS: Final = 0.05
#: Exit code of a process that ended so.
_DEAD: Final = 70
#: Signals at which a target turns away what comes and asks for rest, and at which it says in
#: its answers that it leaves.
REST_SIGNAL: Final = signal.SIGUSR1
LEAVING_SIGNAL: Final = signal.SIGUSR2
#: Signals at which a target names the next of `LIMITS`, and at which it names none any more.
LIMIT_SIGNAL: Final = signal.SIGRTMIN
LIMIT_END_SIGNAL: Final = signal.SIGRTMIN + 1
#: Rate limits that a target names one after the other: what the header says, and the requests a
#: second that it means; None where it means nothing.
LIMITS: Final[tuple[tuple[str, float | None], ...]] = (
    ("2", 2.0),
    ("0.5", 0.5),
    ("8", 8.0),
    ("many", None),
    ("3, 1.5", 1.5),
    ("0", 0.0),
    ("-1", None),
    ("0.05", 0.05),
    ("1e9", 1e9),
)
#: Seconds of rest that a target asks for, and for which it turns away what comes.
REST_SECONDS: Final = 1.5
#: Seconds for which a leaving target goes on serving.
_LEAVING_SECONDS: Final = 1.5


class RegisteredTarget:
    """One stand-in.

    Args:
        service: its service.
        kind: what it does.
        address: where it listens.
        registries: addresses of control that take heartbeats.
    """

    def __init__(self, service: str, kind: Kind, address: str, registries: list[str]) -> None:
        self._kind: Final = kind
        self._registries = registries
        self._record = TargetRecord(
            target=f"{service}-{secrets.token_hex(4)}",
            service=service,
            address=address,
            data_centre="fukuoka-a",
            slots=4,
            standing="live",
            sequence=0,
        )
        self._listener: Final = HttpListener(address, self._serve, render_refusal=_render)
        self._beating: asyncio.Task[None] | None = None
        self._rests_until = 0.0
        self._says_leaving = False
        self._limits = itertools.cycle(LIMITS)
        self._limit = ""
        self._rate: float | None = None
        self._has_named = False
        #: Ids of the requests that ran here, in order.
        self.ran: list[str] = []

    async def start(self) -> None:
        """Listen and send heartbeats."""
        await self._listener.start()
        self._beating = asyncio.create_task(self._beat())

    def ask_for_rest(self) -> None:
        """Turn away what comes for a while, and ask for rest."""
        self._rests_until = time.monotonic() + REST_SECONDS

    def name_limit(self) -> None:
        """Name the next rate limit in each answer from now on."""
        self._limit, self._rate = next(self._limits)
        self._has_named = True

    def end_limit(self) -> None:
        """Name no rate limit any more."""
        self._limit, self._rate = "", None

    def say_leaving(self) -> None:
        """Say in each answer that it leaves, whether control knows it or not."""
        self._says_leaving = True

    async def leave(self) -> None:
        """Say that it leaves, serve on for a while, and stop."""
        if self._beating is not None:
            self._beating.cancel()
        self._record = self._record.with_standing("leaving")
        await self._say("PUT")
        await asyncio.sleep(_LEAVING_SECONDS)
        await self._say("DELETE")
        await self._listener.stop()

    async def _beat(self) -> None:
        while True:
            await self._say("PUT")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _say(self, method: str) -> None:
        """Send the record to the first registry that takes it."""
        self._record = replace(self._record, sequence=self._record.sequence + 1)
        request = HttpRequest(
            method=method,
            target=f"/v1/targets/{self._record.target}",
            headers=((b"Host", b"control"),),
            body=encode_bytes(self._record, TargetRecord) if method == "PUT" else b"",
        )
        for address in self._registries:
            if await self._call(address, request):
                return
        _LOG.warning("no registry took the heartbeat", extra={"target": self._record.target})

    async def _call(self, address: str, request: HttpRequest) -> bool:
        pool = ConnectionPool(address, 1)
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                exchange = await pool.send(request, _CALL_SECONDS)
                try:
                    head = await exchange.read_head()
                    await exchange.body.read_all()
                finally:
                    exchange.finish()
        except (NotSentError, IncompleteResponseError, TimeoutError):
            return False
        finally:
            pool.close()
        return head.status == 200

    # Requests.

    async def _serve(self, request: HttpRequest, reply: ResponseWriter) -> None:
        if request.path == "/ran":
            reply.send_response(HttpResponse(status=200, body=json.dumps(self.ran).encode()))
            return
        is_resting = time.monotonic() < self._rests_until
        self._tell_arrival(request, is_resting=is_resting)
        if is_resting:
            reply.send_response(HttpResponse(status=503, headers=self._refusal_headers(request)))
        elif self._kind != "pool" and request.find(b"damsonlane-target") != self._record.target:
            # Also a deadly request: what is meant for another target never runs here.
            reply.send_response(HttpResponse(status=421))
        elif _is_deadly(request, self._kind):
            _tell_run(request, is_deadly=True)
            await asyncio.sleep(_DYING_SECONDS)
            os._exit(_DEAD)
        elif self._kind == "pool":
            await self._make_pieces(request, reply)
        elif self._kind == "engine":
            await self._stream(request, reply)
        else:
            await asyncio.sleep(_WORK_SECONDS)
            self._note(request)
            reply.send_response(
                HttpResponse(status=200, headers=self._headers(request), body=b"ok")
            )

    def _tell_arrival(self, request: HttpRequest, *, is_resting: bool) -> None:
        """Write to the log what came, and what its sender is told."""
        line = {
            "came": request.find(b"damsonlane-request-id") or "",
            "target": self._record.target,
            "rest": REST_SECONDS if is_resting else 0.0,
            "leaves": self._says_leaving,
            "at": time.time(),
        }
        print(json.dumps(line), flush=True)

    def _refusal_headers(self, request: HttpRequest) -> tuple[tuple[bytes, bytes], ...]:
        return (
            *self._headers(request),
            (b"Damsonlane-Run-No", b"1"),
            (b"Retry-After", str(REST_SECONDS).encode()),
        )

    async def _make_pieces(self, request: HttpRequest, reply: ResponseWriter) -> None:
        if request.path == "/v1/pieces/free":
            reply.send_response(HttpResponse(status=200, headers=self._headers(request)))
            return
        await asyncio.sleep(_WORK_SECONDS)
        pieces = [
            {"handle": f"{self._record.address}/{secrets.token_hex(6)}"}
            for _ in json.loads(request.body)["pieces"]
        ]
        body = json.dumps({"pieces": pieces}).encode()
        reply.send_response(HttpResponse(status=200, headers=self._headers(request), body=body))

    async def _stream(self, request: HttpRequest, reply: ResponseWriter) -> None:
        self._note(request)
        headers = (*self._headers(request), (b"Content-Type", b"text/event-stream"))
        reply.start(HttpHead(status=200, headers=headers))
        first = int(request.find(b"last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            await reply.send(f"id: {number}\ndata: token {number}\n\n".encode())
        reply.finish()

    def _note(self, request: HttpRequest) -> None:
        self.ran.append(request.find(b"damsonlane-request-id") or "")
        _tell_run(request)

    def _headers(self, request: HttpRequest) -> tuple[tuple[bytes, bytes], ...]:
        request_id = request.find(b"damsonlane-request-id") or ""
        leaving = ((b"Damsonlane-Leaving", b"1"),) if self._says_leaving else ()
        if self._has_named:
            self._tell_naming(request_id)
        limit = ((b"Damsonlane-Rate-Limit", self._limit.encode()),) if self._limit else ()
        return (
            (b"Damsonlane-Request-Id", request_id.encode()),
            (b"Served-By", self._record.target.encode()),
            *leaving,
            *limit,
        )

    def _tell_naming(self, request_id: str) -> None:
        """Write to the log what the head of an answer says of the rate limit."""
        line = {
            "named": request_id,
            "target": self._record.target,
            "rate": self._rate,
            "at": time.time(),
        }
        print(json.dumps(line), flush=True)


def _tell_run(request: HttpRequest, *, is_deadly: bool = False) -> None:
    """Write to the log what begins to run; memory would be lost with the process."""
    request_id = request.find(b"damsonlane-request-id") or ""
    line = {"ran": request_id, "deadly": is_deadly, "at": time.time()}
    print(json.dumps(line), flush=True)


def _is_deadly(request: HttpRequest, kind: Kind) -> bool:
    """Tell whether the target does not survive what it is to run."""
    if kind != "pool":
        return request.body == DEADLY.encode()
    is_call = request.path == "/v1/pieces"
    return is_call and any(
        piece["material_key"] == DEADLY for piece in json.loads(request.body)["pieces"]
    )


def _render(status: int, detail: str) -> HttpResponse:
    return HttpResponse(status=status, body=detail.encode())
