"""HTTP interface of control for targets and operators: heartbeats, documents, evacuations."""

import asyncio
import logging
import secrets
import time
from collections.abc import Mapping
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.cluster import Command, DocumentRecorded, PackedDocument, ReplaceDocument
from damsonlane.errors import SettingsError, UnavailableError
from damsonlane.evacuation import EvacuateDataCentre, EvacuationRecorded, RestoreDataCentre
from damsonlane.quarantine import EXIT_WINDOW_SECONDS, ForgetTargetExits
from damsonlane.routes import check_document
from damsonlane.targets import (
    MarkTargetsSilent,
    RegisterTarget,
    RemoveTarget,
    TargetRecord,
    find_record_error,
)
from damsonlane.warmup import WarmupChanges
from damsonlane_rpc import (
    REPORT_HEARTBEATS,
    ControlClient,
    Done,
    HeartbeatReport,
    HeartbeatReportReply,
    NotLeader,
)
from damsonlaned.control._group_manager import GroupManager
from damsonlaned.control._heartbeat_tracker import HeartbeatTracker
from damsonlaned.control._known_services import KnownServices
from damsonlaned.control._leader_client import LeaderClient
from damsonlaned.control._node import ControlNode
from damsonlaned.control._service import REGISTRY
from damsonlaned.dialects import (
    BadRequestError,
    Deregistration,
    Dialect,
    Evacuate,
    Heartbeat,
    PutDocument,
    ReadDocument,
    Refusal,
    Restore,
)
from damsonlaned.http import BufferGuard, HttpListener, HttpRequest, HttpResponse, ResponseWriter
from damsonlaned.logs import LogRateLimiter
from damsonlaned.tasks import start_task, stop_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds after which a caller that was refused for lack of a quorum should retry.
RETRY_AFTER_SECONDS: Final = 0.3
#: Number of missed heartbeats after which a target counts as silent.
SILENT_HEARTBEATS: Final = 5
#: Seconds between checks for silent targets.
CHECK_INTERVAL_SECONDS: Final = 1.0
#: Seconds between two log lines about invalid calls.
INVALID_CALL_LOG_SECONDS: Final = 1.0
#: Characters of an invalid call that are logged.
MAX_LOGGED_CALL_LENGTH: Final = 120
#: Time-out of a report of received heartbeats to the leader, in seconds.
REPORT_TIMEOUT_SECONDS: Final = 0.85


class Registry:
    """Serves heartbeats of targets, and documents and evacuations of operators, over HTTP.

    Args:
        node: the control node.
        group: decides whether the group accepts commands.
        client: reaches the leader from a replica that does not lead.
        dialect: parses and renders the calls of targets and operators.
        address: address to listen at.
        heartbeat_seconds: time between heartbeats of a target.
        data_centres: names of the data centres that can be evacuated; empty for any.
        guard: limits the bytes that are buffered for callers; None without a limit.
    """

    def __init__(
        self,
        node: ControlNode,
        group: GroupManager,
        client: ControlClient,
        dialect: Dialect,
        address: str,
        heartbeat_seconds: float,
        data_centres: tuple[str, ...] = (),
        guard: BufferGuard | None = None,
    ) -> None:
        self._node: Final = node
        self._data_centres: Final = frozenset(data_centres)
        self._services: Final = KnownServices(dialect)
        self._warmups: Final = WarmupChanges()
        self._invalid_call_log: Final = LogRateLimiter(INVALID_CALL_LOG_SECONDS)
        self._leader: Final = LeaderClient(node, group, client)
        self._dialect: Final = dialect
        self._port: Final = address.rpartition(":")[2]
        self._client: Final = client
        self._heartbeats: Final = HeartbeatTracker(SILENT_HEARTBEATS * heartbeat_seconds)
        self._check_task: asyncio.Task[None] | None = None
        self._listener: Final = HttpListener(
            address, self._serve_http, render_refusal=self._render_refusal, guard=guard
        )

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of calls from other replicas, by path."""
        return {REPORT_HEARTBEATS.path: REPORT_HEARTBEATS.handler(self._serve_report)}

    async def start(self) -> None:
        """Start listening.

        Raises:
            StorageError: the address can't be used.
        """
        await self._listener.start()
        self._check_task = start_task(self._check_targets(), "checks for silent targets")

    async def stop(self, ends_at: float = 0.0) -> None:
        """Complete the calls in progress, then stop.

        Args:
            ends_at: time until which they may take, by the loop's clock.
        """
        if self._check_task is not None:
            await stop_task(self._check_task)
        if cut := await self._listener.drain(ends_at):
            _LOG.warning("calls cut", extra={"count": cut})
        await self._listener.stop()

    # Calls.

    async def _serve_http(self, request: HttpRequest, reply: ResponseWriter) -> None:
        reply.send_response(await self._answer(request))

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            call = self._dialect.read_control_call(request)
        except BadRequestError as error:
            return self._refuse_invalid(request, str(error))
        try:
            match call:
                case Heartbeat(record=record):
                    error_text = self._find_record_error(record)
                    if error_text:
                        return self._refuse_invalid(request, error_text)
                    return await self._record_heartbeat(record)
                case Deregistration():
                    return await self._remove_target(call)
                case Evacuate() | Restore():
                    return await self._commit_evacuation(call)
                case PutDocument(text=text):
                    return await self._commit_document(text)
                case ReadDocument():
                    return await self._read_document()
                case None:
                    return self._refuse(404, f"there is no call {request.method} {request.path}")
        except UnavailableError as error:
            return self._refuse(503, str(error), retry_after_seconds=RETRY_AFTER_SECONDS)

    def _find_record_error(self, record: TargetRecord) -> str:
        """Return the error in the record of a heartbeat, or an empty string.

        A new target must belong to a service of the document in force: no request would reach
        it otherwise, and it would take the address of another target.  A known target may have
        lost its service, and is accepted so that it can announce that it is draining.
        """
        document = self._node.state.documents.document
        is_known = self._node.state.targets.find(record.target) is not None
        if not is_known and not self._services.has(document, record.service):
            return f"there is no service {record.service!r:.80}"
        return find_record_error(record)

    async def _record_heartbeat(self, record: TargetRecord) -> HttpResponse:
        known = self._node.state.targets.find(record.target)
        now = self._node.now()
        if known is None or record.start >= known.start:
            self._heartbeats.record(record.target, now)
        if known is None or self._is_change(record, known):
            await self._leader.submit(RegisterTarget(record=record))
            self._warmups.record(record, now)
            _LOG.info(
                "target recorded",
                extra={
                    "target": record.target,
                    "service": record.service,
                    "address": record.address,
                    "standing": record.standing,
                    "sequence": record.sequence,
                    "start": record.start,
                    "target_version": record.version,
                    "cold_seconds": record.cold_seconds,
                },
            )
        return self._dialect.render_heartbeat_reply(self._find_leader_http_address())

    def _is_change(self, record: TargetRecord, known: TargetRecord) -> bool:
        if record.start != known.start:
            return record.start > known.start
        if record.sequence <= known.sequence or known.standing == "leaving":
            return False
        if record.version != known.version:
            _LOG.warning(
                "target reports another version without a restart",
                extra={
                    "target": record.target,
                    "before": known.version,
                    "target_version": record.version,
                },
            )
            return True
        unchanged = (known.standing, known.address, known.service, known.slots, known.models)
        reported = (record.standing, record.address, record.service, record.slots, record.models)
        if reported != unchanged:
            return True
        return self._warmups.is_change(record, known, self._node.now())

    def _find_leader_http_address(self) -> str:
        """Return the address at which the leader receives heartbeats, or an empty string.

        Targets are directed there, so that the leader receives the heartbeats of all of them.
        """
        address = self._leader.address()
        return f"{address.rpartition(':')[0]}:{self._port}" if address else ""

    async def _remove_target(self, departure: Deregistration) -> HttpResponse:
        target = departure.target
        if not self._node.state.targets.is_removed(target):
            await self._leader.submit(RemoveTarget(target=target, start=departure.start))
            _LOG.info("target removed", extra={"target": target, "start": departure.start})
        self._heartbeats.forget(target)
        return HttpResponse(status=200)

    async def _commit_evacuation(self, change: Evacuate | Restore) -> HttpResponse:
        """Commit an evacuation or its end; acknowledge it once a quorum has it on disk."""
        name = change.data_centre
        is_restored = isinstance(change, Restore)
        # An evacuated data centre can be restored even if the settings no longer list it.
        evacuated = self._node.state.evacuations.list_for_entries().data_centres
        if self._data_centres and name not in {*self._data_centres, *evacuated}:
            _LOG.warning("evacuation refused", extra={"data_centre": name})
            return self._refuse(404, f"there is no data centre {name!r:.80}")
        reply = await self._leader.submit(_make_command(change))
        is_changed = isinstance(reply, EvacuationRecorded) and reply.is_changed
        fields = {"data_centre": name, "restored": is_restored, "changed": is_changed}
        _LOG.info("evacuation accepted", extra=fields)
        return HttpResponse(status=200)

    async def _commit_document(self, text: bytes) -> HttpResponse:
        try:
            document = self._dialect.read_document(text)
            findings = check_document(document)
            if findings:
                raise SettingsError(findings)
        except SettingsError as error:
            _LOG.warning("document refused", extra={"findings": str(error)})
            return self._refuse(400, str(error))
        in_force = self._node.state.documents.document.version
        if document.version > in_force:
            packed = PackedDocument.pack(document.version, text)
            reply = await self._leader.submit(ReplaceDocument(document=packed))
            in_force = reply.version if isinstance(reply, DocumentRecorded) else in_force
        _LOG.info("document accepted", extra={"version": document.version, "in_force": in_force})
        return HttpResponse(status=200)

    async def _read_document(self) -> HttpResponse:
        document = await self._leader.read_document()
        if document.version == 0:
            return self._refuse(503, "there is no document yet", RETRY_AFTER_SECONDS)
        headers = ((b"Content-Type", b"application/json"),)
        return HttpResponse(status=200, headers=headers, body=document.unpack())

    # Heartbeats and silent targets.

    async def _check_targets(self) -> None:
        """Commit silent targets if this replica leads, else report heartbeats to the leader."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            try:
                if self._leader.is_local():
                    await self._mark_silent()
                    await self._remove_old_exits()
                else:
                    await self._report_heartbeats()
            except UnavailableError as error:
                _LOG.info("check of targets failed", extra={"fault": str(error)})

    async def _report_heartbeats(self) -> None:
        """Report to the leader the targets whose heartbeats arrived here since the last check.

        A target stays with the replica that answers it, so the leader would otherwise count
        as silent a target that sends all its heartbeats to another replica.
        """
        targets = self._heartbeats.take_unreported()
        if targets:
            await self._client.report_heartbeats(targets, REPORT_TIMEOUT_SECONDS)

    async def _serve_report(self, stream: Stream[HeartbeatReport, HeartbeatReportReply]) -> None:
        """Record, at the leader, the targets whose heartbeats another replica received."""
        request = await stream.recv_message()
        if request is None:
            return
        if not self._leader.is_local():
            outcome = NotLeader(leader=self._leader.address())
            await stream.send_message(HeartbeatReportReply(outcome=outcome))
            return
        for target in request.targets:
            self._heartbeats.record(target, self._node.now())
        await stream.send_message(HeartbeatReportReply(outcome=Done()))

    async def _mark_silent(self) -> None:
        """Commit, at the leader, the targets that became silent."""
        now = self._node.now()
        self._heartbeats.mark_leader(now)
        names = tuple(
            record.target
            for record in self._node.state.targets.records()
            if record.standing == "live" and self._heartbeats.is_silent(record.target, now)
        )
        if names:
            await self._leader.submit(MarkTargetsSilent(targets=names))
            _LOG.warning("targets marked as silent", extra={"targets": names})

    async def _remove_old_exits(self) -> None:
        """Remove, at the leader, exits of targets that are too old to count."""
        now = time.time()
        if self._node.state.quarantine.has_expired_exits(now):
            await self._leader.submit(ForgetTargetExits(before=now - EXIT_WINDOW_SECONDS))

    # Refusals.

    def _refuse_invalid(self, request: HttpRequest, error_text: str) -> HttpResponse:
        """Refuse an invalid call; log at most one a second, with the number of omitted ones."""
        omitted = self._invalid_call_log.admit(self._node.now())
        if omitted is not None:
            call = f"{request.method} {request.path}"[:MAX_LOGGED_CALL_LENGTH]
            _LOG.warning(
                "invalid call refused",
                extra={"call": call, "fault": error_text, "left_out": omitted},
            )
        return self._refuse(400, error_text)

    def _refuse(
        self, status: int, detail: str, retry_after_seconds: float | None = None
    ) -> HttpResponse:
        refusal = Refusal(status=status, detail=detail, retry_after_seconds=retry_after_seconds)
        return self._dialect.render_refusal(refusal, "")

    def _render_refusal(self, status: int, detail: str) -> HttpResponse:
        return self._refuse(status, detail)


def _make_command(change: Evacuate | Restore) -> Command:
    """Return the command for a call of an operator."""
    kind = EvacuateDataCentre if isinstance(change, Evacuate) else RestoreDataCentre
    return kind(
        data_centre=change.data_centre,
        call=secrets.token_hex(6),
        operator=REGISTRY,
        at=round(time.time(), 3),
    )
