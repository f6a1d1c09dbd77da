"""The address of control for targets and operators."""

import asyncio
import logging
import secrets
import time
from collections.abc import Mapping
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.cluster import Command, DocumentNoted, PackedDocument, ReplaceDocument
from damsonlane.coldness import ColdNews
from damsonlane.errors import SettingsError, UnavailableError
from damsonlane.evacuation import EvacuateDataCentre, EvacuationNoted, RestoreDataCentre
from damsonlane.quarantine import COUNTED_SECONDS, ForgetTargetEnds
from damsonlane.routes import check_document
from damsonlane.targets import (
    RegisterTarget,
    RemoveTarget,
    SilenceTargets,
    TargetRecord,
    find_record_fault,
)
from damsonlane_rpc import HEARD, ControlClient, Done, HeardReply, HeardRequest, NotLeader
from damsonlaned.control._group import GroupRepairer
from damsonlaned.control._heard import HeardTargets
from damsonlaned.control._known_services import KnownServices
from damsonlaned.control._leader import Leader
from damsonlaned.control._node import ControlNode
from damsonlaned.control._service import REGISTRY
from damsonlaned.dialects import (
    BadRequestError,
    Departure,
    Dialect,
    Evacuate,
    Heartbeat,
    PutDocument,
    ReadDocument,
    Refusal,
    Restore,
)
from damsonlaned.http import HttpRequest, HttpResponse, Reply, WebListener
from damsonlaned.logs import LineBound
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds after which a caller that was refused for want of a quorum should come back.
RETRY_SECONDS: Final = 0.3
#: Heartbeats that may be missing before a target counts as silent.
SILENT_HEARTBEATS: Final = 5
#: Seconds between looks for silent targets.
LOOK_SECONDS: Final = 1.0
#: Seconds between two lines of the log about calls that can't be understood.
BAD_LINES_SECONDS: Final = 1.0
#: Characters of such a call that are logged.
MOST_CALL_TEXT: Final = 120
#: Seconds for which telling the leader which targets were heard may take.
TELL_SECONDS: Final = 0.85


class Registry:
    """Takes heartbeats and documents.

    Args:
        node: the control node.
        group: tells whether the group takes orders.
        client: reaches the leader from a replica that does not lead.
        dialect: how targets and operators speak.
        address: where to listen.
        heartbeat_seconds: time between heartbeats of a target.
        data_centres: names of those that there are; empty where any is taken.
    """

    def __init__(
        self,
        node: ControlNode,
        group: GroupRepairer,
        client: ControlClient,
        dialect: Dialect,
        address: str,
        heartbeat_seconds: float,
        data_centres: tuple[str, ...] = (),
    ) -> None:
        self._node: Final = node
        self._data_centres: Final = frozenset(data_centres)
        self._services: Final = KnownServices(dialect)
        self._cold: Final = ColdNews()
        self._bad_lines: Final = LineBound(BAD_LINES_SECONDS)
        self._leader: Final = Leader(node, group, client)
        self._dialect: Final = dialect
        self._port: Final = address.rpartition(":")[2]
        self._client: Final = client
        self._heard: Final = HeardTargets(SILENT_HEARTBEATS * heartbeat_seconds)
        self._looking: asyncio.Task[None] | None = None
        self._listener: Final = WebListener(
            address, self._serve, render_refusal=self._render_bad_bytes
        )

    def handlers(self) -> Mapping[str, Handler]:
        """Return the calls that other replicas make."""
        return {HEARD.path: HEARD.handler(self._take_heard)}

    async def start(self) -> None:
        """Start listening.

        Raises:
            StorageError: the address can't be had.
        """
        await self._listener.start()
        self._looking = start_task(self._look(), "looking for silent targets")

    async def stop(self) -> None:
        """Stop listening."""
        if self._looking is not None:
            self._looking.cancel()
        await self._listener.stop()

    # Calls.

    async def _serve(self, request: HttpRequest, reply: Reply) -> None:
        reply.send_whole(await self._answer(request))

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            call = self._dialect.read_control_call(request)
        except BadRequestError as error:
            return self._refuse_bad(request, str(error))
        try:
            match call:
                case Heartbeat(record=record):
                    fault = self._find_fault(record)
                    if fault:
                        return self._refuse_bad(request, fault)
                    return await self._take_heartbeat(record)
                case Departure():
                    return await self._take_departure(call)
                case Evacuate() | Restore():
                    return await self._take_evacuation(call)
                case PutDocument(text=text):
                    return await self._take_document(text)
                case ReadDocument():
                    return await self._read_document()
                case None:
                    return self._refuse(404, f"there is no call {request.method} {request.path}")
        except UnavailableError as error:
            return self._refuse(503, str(error), retry_after_seconds=RETRY_SECONDS)

    def _find_fault(self, record: TargetRecord) -> str:
        """Return what is wrong with what a target says of itself, or an empty string.

        A service that the document in force doesn't have would never be used, and the target
        would take the address of another one; a target that is known stays whatever happens
        to its service, so that it can say that it leaves.
        """
        document = self._node.state.documents.document
        is_known = self._node.state.targets.find(record.target) is not None
        if not is_known and not self._services.has(document, record.service):
            return f"there is no service {record.service!r:.80}"
        return find_record_fault(record)

    async def _take_heartbeat(self, record: TargetRecord) -> HttpResponse:
        known = self._node.state.targets.find(record.target)
        now = self._node.now()
        if known is None or record.start >= known.start:
            self._heard.note(record.target, now)
        if known is None or self._says_something_new(record, known):
            await self._leader.submit(RegisterTarget(record=record))
            self._cold.note(record, now)
            _LOG.info(
                "target noted",
                extra={
                    "target": record.target,
                    "service": record.service,
                    "address": record.address,
                    "standing": record.standing,
                    "sequence": record.sequence,
                    "start": record.start,
                    "cold_seconds": record.cold_seconds,
                },
            )
        return self._dialect.render_heartbeat_reply(self._next_address())

    def _says_something_new(self, record: TargetRecord, known: TargetRecord) -> bool:
        if record.start != known.start:
            return record.start > known.start
        if record.sequence <= known.sequence or known.standing == "leaving":
            return False
        same = (known.standing, known.address, known.service, known.slots)
        if (record.standing, record.address, record.service, record.slots) != same:
            return True
        return self._cold.is_news(record, known, self._node.now())

    def _next_address(self) -> str:
        """Return where the leader takes heartbeats, so that it hears of every target."""
        address = self._leader.address()
        return f"{address.rpartition(':')[0]}:{self._port}" if address else ""

    async def _take_departure(self, departure: Departure) -> HttpResponse:
        target = departure.target
        if not self._node.state.targets.is_gone(target):
            await self._leader.submit(RemoveTarget(target=target, start=departure.start))
            _LOG.info("target gone", extra={"target": target, "start": departure.start})
        self._heard.forget(target)
        return HttpResponse(status=200)

    async def _take_evacuation(self, order: Evacuate | Restore) -> HttpResponse:
        """Commit an order about a data centre; it is acknowledged once a quorum has it on disk."""
        name = order.data_centre
        is_restored = isinstance(order, Restore)
        # What is evacuated may be restored whatever the settings name by now.
        held = self._node.state.evacuations.list_for_entries().data_centres
        if self._data_centres and name not in {*self._data_centres, *held}:
            _LOG.warning("evacuation refused", extra={"data_centre": name})
            return self._refuse(404, f"there is no data centre {name!r:.80}")
        reply = await self._leader.submit(_make_order(order))
        is_changed = isinstance(reply, EvacuationNoted) and reply.is_changed
        fields = {"data_centre": name, "restored": is_restored, "changed": is_changed}
        _LOG.info("evacuation accepted", extra=fields)
        return HttpResponse(status=200)

    async def _take_document(self, text: bytes) -> HttpResponse:
        try:
            document = self._dialect.read_document(text)
            findings = check_document(document)
            if findings:
                raise SettingsError(findings)
        except SettingsError as error:
            _LOG.warning("document refused", extra={"findings": str(error)})
            return self._refuse(400, str(error))
        held = self._node.state.documents.document.version
        if document.version > held:
            packed = PackedDocument.pack(document.version, text)
            reply = await self._leader.submit(ReplaceDocument(document=packed))
            held = reply.version if isinstance(reply, DocumentNoted) else held
        _LOG.info("document accepted", extra={"version": document.version, "in_force": held})
        return HttpResponse(status=200)

    async def _read_document(self) -> HttpResponse:
        document = await self._leader.read_document()
        if document.version == 0:
            return self._refuse(503, "there is no document yet", RETRY_SECONDS)
        headers = ((b"Content-Type", b"application/json"),)
        return HttpResponse(status=200, headers=headers, body=document.unpack())

    # Silent targets.

    async def _look(self) -> None:
        """Note silent targets where this replica leads, and tell the leader otherwise."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            try:
                if self._leader.is_here():
                    await self._silence()
                    await self._forget_ends()
                else:
                    await self._tell_leader()
            except UnavailableError as error:
                _LOG.info("targets heard or silent not noted", extra={"fault": str(error)})

    async def _tell_leader(self) -> None:
        """Tell the leader which targets were heard here since the last look.

        A target keeps to the replica that answers it, so one that never turns to
        the leader would count as silent there.
        """
        heard = self._heard.follow()
        if heard:
            await self._client.tell_heard(heard, TELL_SECONDS)

    async def _take_heard(self, stream: Stream[HeardRequest, HeardReply]) -> None:
        """Note, at the leader, the targets that another replica heard."""
        request = await stream.recv_message()
        if request is None:
            return
        if not self._leader.is_here():
            outcome = NotLeader(leader=self._leader.address())
            await stream.send_message(HeardReply(outcome=outcome))
            return
        for target in request.targets:
            self._heard.note(target, self._node.now())
        await stream.send_message(HeardReply(outcome=Done()))

    async def _silence(self) -> None:
        """Note, at the leader, the targets that were not heard for long."""
        now = self._node.now()
        self._heard.lead(now)
        names = tuple(
            record.target
            for record in self._node.state.targets.records()
            if record.standing == "live" and self._heard.is_silent(record.target, now)
        )
        if names:
            await self._leader.submit(SilenceTargets(targets=names))
            _LOG.warning("targets silent", extra={"targets": names})

    async def _forget_ends(self) -> None:
        """Forget, at the leader, ends of targets that count no more."""
        now = time.time()
        if self._node.state.quarantine.is_forgetful_at(now):
            await self._leader.submit(ForgetTargetEnds(before=now - COUNTED_SECONDS))

    # Refusals.

    def _refuse_bad(self, request: HttpRequest, fault: str) -> HttpResponse:
        """Refuse what can't be understood; a writer that goes on gets a line a second."""
        left_out = self._bad_lines.admit(self._node.now())
        if left_out is not None:
            call = f"{request.method} {request.path}"[:MOST_CALL_TEXT]
            _LOG.warning(
                "call not understood", extra={"call": call, "fault": fault, "left_out": left_out}
            )
        return self._refuse(400, fault)

    def _refuse(
        self, status: int, detail: str, retry_after_seconds: float | None = None
    ) -> HttpResponse:
        refusal = Refusal(status=status, detail=detail, retry_after_seconds=retry_after_seconds)
        return self._dialect.render_refusal(refusal, "")

    def _render_bad_bytes(self, status: int, detail: str) -> HttpResponse:
        return self._refuse(status, detail)


def _make_order(order: Evacuate | Restore) -> Command:
    """Return the command for an operator's order."""
    kind = EvacuateDataCentre if isinstance(order, Evacuate) else RestoreDataCentre
    return kind(
        data_centre=order.data_centre,
        call=secrets.token_hex(6),
        operator=REGISTRY,
        at=round(time.time(), 3),
    )
