"""An entry and its targets in one process, on loopback ports."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace

from damsonlane.cluster import ClusterState, PackedDocument
from damsonlane.codec import encode_bytes
from damsonlane.errors import UnavailableError
from damsonlane.membership import BoxRecord, CapacityShares
from damsonlane.quarantine import InterruptedRequest, QuarantineList, ReleaseRequest
from damsonlane.routes import (
    Organisation,
    PoolProperties,
    Route,
    RoutingDocument,
    Service,
    Stage,
    WeightedService,
)
from damsonlane.settings import LatePolicy
from damsonlane.targets import ServiceVersion, TargetChanges, TargetRecord
from damsonlane_rpc import VersionsView
from damsonlaned.connections import LoanClient
from damsonlaned.dialects import NativeDialect
from damsonlaned.gateway._attempts import Attempts
from damsonlaned.gateway._caller_service import CallerService, HandlerDependencies
from damsonlaned.gateway._exit_detector import ExitDetector
from damsonlaned.gateway._permit_client import PermitClient
from damsonlaned.gateway._placement_client import PlacementClient
from damsonlaned.gateway._pool_client import PoolClient
from damsonlaned.gateway._pool_owners import PoolOwners
from damsonlaned.gateway._prompt_placer import PromptPlacers
from damsonlaned.gateway._stage_runner import StageRunner
from damsonlaned.gateway._target_selector import TargetSelector
from damsonlaned.gateway._view import FleetView
from damsonlaned.http import (
    BufferGuard,
    HttpHead,
    HttpListener,
    HttpRequest,
    HttpResponse,
    ResponseWriter,
)
from damsonlaned.lateness import LateRequests
from damsonlaned.metrics import Metrics
from damsonlaned.quarantine import LostTarget, Quarantine, QuarantineReport
from damsonlaned.relay import ReachMonitor, Relay, RelayClient, RelayService
from damsonlaned.versions import StreamOrigins, TargetFilter

#: Time-out of tests, in seconds.
TEST_TIMEOUT_SECONDS = 20.0
#: The key of the only organisation.
KEY = "florists-key"

#: Path at which targets report their health.
HEALTH_PATH = "/health"

AnswerHandler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]

ROUTE = Route(
    name="ping",
    host="shop.example",
    prefix="/ping/",
    repeat="safe",
    timeout_seconds=2.0,
    aim_seconds=0.2,
    priority=0,
    services=(WeightedService(service="desk", weight=1.0),),
    most_targets=2,
)
DOCUMENT = RoutingDocument(
    version=1,
    routes=(
        ROUTE,
        replace(ROUTE, name="once", prefix="/once/", repeat="once", most_targets=1),
        replace(ROUTE, name="chat", prefix="/chat/", repeat="stream", is_resumable=True),
        replace(ROUTE, name="draft", prefix="/draft/", repeat="stream", most_targets=1),
        replace(ROUTE, name="open", prefix="/open/", is_public=True),
        replace(
            ROUTE,
            name="staged chat",
            prefix="/staged-chat/",
            priority=1,
            repeat="stream",
            is_resumable=True,
            stages=(Stage(service="pool"),),
        ),
        replace(
            ROUTE,
            name="staged",
            prefix="/staged/",
            stages=(Stage(service="pool"), Stage(service="pool", after=(0,))),
        ),
    ),
    services=(
        Service(name="desk", most_connections=20),
        Service(
            name="pool",
            most_connections=20,
            pool=PoolProperties(
                slots=1,
                queue=2,
                batch=4,
                call_seconds=0.1,
                piece_seconds=0.001,
                room_bytes=1_000_000,
                keep_seconds=4.0,
            ),
        ),
    ),
    organisations=(Organisation(name="florists", keys=(KEY,)),),
)


def render(status: int, detail: str) -> HttpResponse:
    return HttpResponse(status=status, body=detail.encode())


def make_box_record(address: str, standing: str = "live") -> BoxRecord:
    return BoxRecord(
        box=address,
        incarnation="i",
        started_at=0.0,
        data_centre="dha",
        address=address,
        standing="live" if standing == "live" else "leaving",
        via="control-1",
    )


class FakeTarget:
    """A target with scripted responses."""

    def __init__(self, name: str, answer: AnswerHandler, service: str = "desk") -> None:
        self.name = name
        self.service = service
        self.requests: list[HttpRequest] = []
        self.gone = asyncio.Event()
        self.address = ""
        self._answer = answer
        self._listener = HttpListener("127.0.0.1:0", self._serve, render_refusal=render)

    async def start(self) -> TargetRecord:
        await self._listener.start()
        self.address = f"127.0.0.1:{self._listener.port()}"
        return TargetRecord(
            target=self.name,
            service=self.service,
            address=self.address,
            data_centre="gulberg",
            slots=4,
            standing="live",
            sequence=1,
        )

    async def stop(self) -> None:
        await self._listener.stop()

    def count_open(self) -> int:
        return self._listener.count_open()

    async def _serve(self, request: HttpRequest, writer: ResponseWriter) -> None:
        if request.path == HEALTH_PATH:
            writer.send_response(HttpResponse(status=200, body=b"healthy"))
            return
        self.requests.append(request)
        try:
            await self._answer(request, writer)
        except asyncio.CancelledError:
            self.gone.set()
            raise


def read_id(request: HttpRequest) -> bytes:
    return (request.find(b"damsonlane-request-id") or "").encode()


async def answer_ok(request: HttpRequest, writer: ResponseWriter) -> None:
    headers = (
        (b"Damsonlane-Request-Id", read_id(request)),
        (b"Signature", b"of the target"),
        (b"Damsonlane-Load", b"1,0,4"),
    )
    writer.send_response(HttpResponse(status=200, headers=headers, body=b"done"))


def answer_with(status: int, *, has_run: bool) -> AnswerHandler:
    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        not_run_header = () if has_run else ((b"Damsonlane-Run-No", b"1"),)
        headers = (
            (b"Damsonlane-Request-Id", read_id(request)),
            (b"Signature", b"s"),
            *not_run_header,
        )
        writer.send_response(HttpResponse(status=status, headers=headers, body=b"no"))

    return answer


async def close_without_answer(request: HttpRequest, writer: ResponseWriter) -> None:
    writer.abort()


async def hang(request: HttpRequest, writer: ResponseWriter) -> None:
    await asyncio.sleep(TEST_TIMEOUT_SECONDS)


def stream_events(first: int, last: int, *, is_cut: bool = False) -> AnswerHandler:
    """Return a handler that streams events.

    Args:
        first: number of the first event, unless the request resumes a stream.
        last: number of the last event.
        is_cut: whether the stream breaks off inside another event after the last one.
    """

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        headers = (
            (b"Damsonlane-Request-Id", read_id(request)),
            (b"Content-Type", b"text/event-stream"),
            (b"Signature", str(first).encode()),
        )
        writer.start(HttpHead(status=200, headers=headers))
        first_number = int(request.find(b"last-event-id") or first - 1) + 1
        for number in range(first_number, last + 1):
            await writer.send(f"id: {number}\ndata: token {number}\n\n".encode())
        if is_cut:
            await writer.send(b"id: 99\nda")
            await asyncio.sleep(0.05)
            writer.abort()
        else:
            writer.finish()

    return answer


def make_piece_handler(address: Callable[[], str], *, seconds: float = 0.0) -> AnswerHandler:
    """Return the handler of a pool target at an address that computes every piece."""

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        body = json.loads(request.body)
        if request.path.endswith("/free"):
            writer.send_response(HttpResponse(status=200))
            return
        await asyncio.sleep(seconds)
        results = [
            {"handle": f"{address()}/{piece['request']}-{piece['stage']}-{piece['piece']}"}
            for piece in body["pieces"]
        ]
        writer.send_response(
            HttpResponse(status=200, body=json.dumps({"pieces": results}).encode())
        )

    return answer


@dataclass(frozen=True, kw_only=True)
class Response:
    """What a caller received."""

    #: The status; 0 when the connection ended without a head.
    status: int
    #: Head and body as received.
    data: bytes

    def is_whole(self) -> bool:
        """Return whether the response is as long as its head announces."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        if b"transfer-encoding: chunked" in head.lower():
            return body.endswith(b"0\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        return length.isdigit() and len(body) == int(length)


class Control:
    """The part of control that counts exits of targets; several entries may share one."""

    def __init__(self) -> None:
        self.state = ClusterState()
        self.is_reachable = True
        self.views: list[FleetView] = []

    async def submit(self, reports: Sequence[QuarantineReport]) -> QuarantineList:
        if not self.is_reachable:
            raise UnavailableError("no quorum")
        for report in reports:
            self.state.apply(report)
        return self._publish()

    def release(self, command: ReleaseRequest) -> None:
        self.state.apply(command)
        self._publish()

    def _publish(self) -> QuarantineList:
        quarantined = self.state.quarantine.list_for_entries()
        for view in self.views:
            view.quarantine.put(quarantined)
        return quarantined


class FakeVersions:
    """The versions that the leader of control confirms; None if it can't be reached."""

    def __init__(self) -> None:
        self.confirmed: Sequence[ServiceVersion] | None = None
        self.document_version = 0

    async def read(self) -> VersionsView | None:
        if self.confirmed is None:
            return None
        return VersionsView(versions=tuple(self.confirmed), document_version=self.document_version)


class Entry:
    """A caller service with a view that the test updates."""

    def __init__(
        self,
        document: RoutingDocument = DOCUMENT,
        *,
        slack: float = 20.0,
        control: Control | None = None,
        address: str = "127.0.0.1:9",
        guard: BufferGuard | None = None,
        fair_shares: bool = False,
        late_policy: LatePolicy = "refuse",
    ) -> None:
        dialect = NativeDialect()
        self.address = address
        self.view = FleetView(dialect)
        self.metrics = Metrics()
        self.reach = ReachMonitor(self.view, address, "gulberg", None, self.metrics)
        self.reach.on_change(lambda _: self.on_reach(self))
        self.view.on_entries(self.reach.follow_entries)
        #: Called with this entry after each change of what it reaches.
        self.on_reach: Callable[[Entry], None] = lambda _: None
        shares = CapacityShares(address, hold_seconds=0.0)
        loop = asyncio.get_running_loop()
        shares.record((make_box_record(address),), loop.time())
        self.view.on_entries(lambda: shares.record(self.view.entries, loop.time()))
        targets = TargetSelector(
            self.view,
            "gulberg",
            lambda: max(1, len(self.view.entries)),
            address,
            shares,
            self.reach,
        )
        self.targets = targets
        self.connections = targets.fleet_connections
        self.reach.reserve_by(self.connections.reserve)
        self.view.on_entries(self.connections.follow_entries)
        self.loans = LoanClient(self.connections, self.view, address, None)
        #: Targets that the entry found to have exited, with the responses lost there.
        self.exits: list[tuple[LostTarget, Sequence[InterruptedRequest]]] = []
        self.exit_detector = ExitDetector(self.view, self._record_exit, self.reach.check)
        self.exit_detector.reserve = self.connections.reserve
        self.control = control or Control()
        self.control.views.append(self.view)
        self.quarantine = Quarantine(self.view.quarantine, self.control.submit)
        self.owners = PoolOwners(
            self.view,
            targets,
            dialect,
            self.metrics,
            self.exit_detector,
            self.quarantine,
            is_reached=self.reach.is_reached,
        )
        self.pools = PoolClient(self.view, self.owners, address, None, dialect.read_result_address)
        self.placers = PromptPlacers(self.view)
        placements = PlacementClient(self.placers, self.pools, address)
        self.pools.on_placements = placements.receive
        permits = PermitClient(self.view, self.pools, address)
        self.pools.on_permits = permits.receive
        target_filter = TargetFilter(self.view)
        self.attempts = Attempts(
            targets, placements, permits, dialect, target_filter, 0.2, 10.0, slack
        )
        self.late_requests = LateRequests(late_policy, self.metrics)
        self.versions = FakeVersions()
        self.origins = StreamOrigins(self.view, address, None, self.metrics, self.versions)
        self.view.on_entries(self.origins.follow_entries)
        self.view.on_change(self.origins.tell_uncertain)
        self.relay_client = RelayClient(self.reach, None, self.metrics)
        self.callers = CallerService(
            HandlerDependencies(
                view=self.view,
                attempts=self.attempts,
                stages=StageRunner(self.pools, lambda handle: "gulberg", self.late_requests),
                exit_detector=self.exit_detector,
                quarantine=self.quarantine,
                dialect=dialect,
                metrics=self.metrics,
                count_entries=lambda: 1,
                fair_shares=fair_shares,
                late_requests=self.late_requests,
                relay=Relay(box=address, reach=self.reach, client=self.relay_client),
                origins=self.origins,
            )
        )
        self.relay_service = RelayService(self.callers.serve_relayed, self.reach)
        self._listener = HttpListener(
            "127.0.0.1:0",
            self.callers.serve,
            render_refusal=self.callers.render_bad_bytes,
            guard=guard,
        )
        self._document = document
        self._revision = 0

    def _record_exit(self, lost: LostTarget, runs: Sequence[InterruptedRequest]) -> None:
        self.exits.append((lost, runs))
        self.quarantine.record_exit(lost, runs)

    async def start(self, *records: TargetRecord) -> None:
        await self._listener.start()
        self.loans.start()
        self.put_document()
        self.put_targets(*records)

    def put_document(self) -> None:
        text = encode_bytes(self._document, RoutingDocument)
        self.view.put_document(PackedDocument.pack(self._document.version, text))

    def replace_document(self, document: RoutingDocument) -> None:
        self._document = document
        self.put_document()

    async def stop(self) -> None:
        await self._listener.stop()
        await self.loans.stop()
        await self.reach.stop()
        self.relay_client.close()
        await self.origins.stop()

    def put_targets(self, *records: TargetRecord) -> None:
        self._revision += 1
        changes = TargetChanges(revision=self._revision, records=records, is_whole=True)
        self.view.put_targets(changes)

    async def send(
        self,
        path: str,
        *,
        headers: str = "",
        deadline_ms: int = 2000,
        key: str = KEY,
        request_id: str = "r1",
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._listener.port())
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
            f"Damsonlane-Request-Id: {request_id}\r\nDamsonlane-Deadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {key}\r\n{headers}\r\n".encode()
        )
        return reader, writer

    async def call(
        self,
        path: str,
        *,
        headers: str = "",
        deadline_ms: int = 2000,
        key: str = KEY,
        request_id: str = "r1",
    ) -> Response:
        reader, writer = await self.send(
            path, headers=headers, deadline_ms=deadline_ms, key=key, request_id=request_id
        )
        data = b""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            try:
                while part := await reader.read(65_536):
                    data += part
            except ConnectionResetError:
                pass
        writer.close()
        status = int(data[9:12]) if data.startswith(b"HTTP/1.1 ") else 0
        return Response(status=status, data=data)
