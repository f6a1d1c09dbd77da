"""The calls that a control box serves."""

import asyncio
import contextlib
import hashlib
import logging
import random
import time
from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.agreement import Envelope, Members
from damsonlane.cluster import ChangeSettings, Command
from damsonlane.errors import AgreementError, NotLeaderError, UnavailableError
from damsonlane.evacuation import EvacuateDataCentre, RestoreDataCentre
from damsonlane.quarantine import NoteTargetEnd, ReleaseRequest
from damsonlane.settings import Operator
from damsonlane_rpc import (
    ADD,
    EXCHANGE,
    FOUND,
    QUERY,
    REMOVE,
    STATUS,
    SUBMIT,
    TOKEN_FIELD,
    WATCH,
    AddRequest,
    BoxesQuery,
    BoxesView,
    ChangeQuery,
    ChangeView,
    CostsQuery,
    CostsView,
    Denied,
    DocumentQuery,
    DocumentView,
    Done,
    EvacuationsQuery,
    EvacuationsView,
    ExchangeEnd,
    Forbidden,
    FoundRequest,
    GroupReply,
    HistoryQuery,
    HistoryView,
    NotLeader,
    QuarantineQuery,
    QuarantineView,
    QueryReply,
    QueryRequest,
    RemoveRequest,
    Service,
    SettingsQuery,
    SettingsView,
    StatusReply,
    StatusRequest,
    SubmitReply,
    SubmitRequest,
    Submitted,
    Unconfirmed,
    WatchReport,
    WatchUpdate,
)
from damsonlaned.control._node import ControlNode

_LOG: Final = logging.getLogger(__name__)

#: Who is written into the history while there are no operators.
ANYONE: Final = "anyone"
#: Who is written into orders that came to the address of control for targets and operators.
#: Any replica takes them, and passes them on to the leader.
REGISTRY: Final = "registry"
#: Entries that a box is told of.
PEERS_TOLD: Final = 4
#: The group of a box that belongs to none.
_EMPTY_MEMBERS: Final = Members(voters=())


class ControlService:
    """Serves operators and entries from a control node."""

    def __init__(self, node: ControlNode) -> None:
        self._node: Final = node

    def service(self, more: Mapping[str, Handler]) -> Service:
        """Return these calls and more in the form grpclib expects."""
        return Service(
            {
                **more,
                SUBMIT.path: SUBMIT.handler(self.submit),
                QUERY.path: QUERY.handler(self.query),
                STATUS.path: STATUS.handler(self.status),
                FOUND.path: FOUND.handler(self.found),
                ADD.path: ADD.handler(self.add),
                REMOVE.path: REMOVE.handler(self.remove),
                WATCH.path: WATCH.handler(self.watch),
                EXCHANGE.path: EXCHANGE.handler(self.exchange),
            }
        )

    async def submit(self, stream: Stream[SubmitRequest, SubmitReply]) -> None:
        """Commit commands."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._submit(stream, request))

    async def query(self, stream: Stream[QueryRequest, QueryReply]) -> None:
        """Answer a read with current state."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._query(stream, request))

    async def status(self, stream: Stream[StatusRequest, StatusReply]) -> None:
        """Say how this box is."""
        if await stream.recv_message() is not None:
            await stream.send_message(self._status())

    async def found(self, stream: Stream[FoundRequest, GroupReply]) -> None:
        """Found a group."""
        if await stream.recv_message() is None:
            return
        try:
            self._node.found()
            reply = GroupReply(outcome=Done())
        except AgreementError as error:
            reply = GroupReply(outcome=Denied(detail=str(error)))
        await stream.send_message(reply)

    async def add(self, stream: Stream[AddRequest, GroupReply]) -> None:
        """Admit a replica."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._change_group(stream, request))

    async def remove(self, stream: Stream[RemoveRequest, GroupReply]) -> None:
        """Remove a replica."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._change_group(stream, request))

    async def exchange(self, stream: Stream[Envelope, ExchangeEnd]) -> None:
        """Take envelopes from another replica."""
        async for envelope in stream:
            self._node.receive(envelope)
        await stream.send_message(ExchangeEnd())

    async def watch(self, stream: Stream[WatchReport, WatchUpdate]) -> None:
        """Push settings to a box as they change, and note what it has in force."""
        report = await stream.recv_message()
        if report is None:
            return
        self._node.watchers.note(report, self._node.now())
        sender = asyncio.create_task(self._push(stream, report.version))
        try:
            async for report in stream:
                self._node.watchers.note(report, self._node.now())
                await stream.send_message(self._heartbeat(report.version))
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sender

    async def _push(self, stream: Stream[WatchReport, WatchUpdate], version: int) -> None:
        live = 0
        revisions = (-1, -1)
        while True:
            state = self._node.state
            held = state.quarantine.list_for_entries()
            limits = state.rate_limits.list_all()
            is_same = state.settings.version <= version and state.membership.live() == live
            if not is_same or (held.revision, limits.revision) != revisions:
                live = state.membership.live()
                revisions = (held.revision, limits.revision)
                update = make_update(self._node, version)
                update = replace(update, quarantine=held, rate_limits=limits)
                version = update.version
                await stream.send_message(update)
            else:
                await self._node.watchers.wait()

    def _heartbeat(self, version: int) -> WatchUpdate:
        return WatchUpdate(
            version=version,
            is_current=self._node.is_current(),
            live_entries=self._node.state.membership.live(),
            peers=_sample_peers(self._node),
        )

    async def _submit(
        self, stream: Stream[SubmitRequest, SubmitReply], request: SubmitRequest
    ) -> SubmitReply:
        operator = self._authenticate(stream)
        commands = tuple(_sign(command, operator) for command in request.commands)
        changes = any(map(_needs_editor, request.commands))
        if changes and not self._may_change(operator):
            return SubmitReply(outcome=Forbidden(detail="an editor's token is needed"))
        try:
            return SubmitReply(outcome=Submitted(replies=await self._node.submit(commands)))
        except NotLeaderError as error:
            return SubmitReply(outcome=NotLeader(leader=error.leader))
        except UnavailableError:
            return SubmitReply(outcome=Unconfirmed())

    async def _query(
        self, stream: Stream[QueryRequest, QueryReply], request: QueryRequest
    ) -> QueryReply:
        try:
            await self._node.confirm()
        except NotLeaderError as error:
            return QueryReply(outcome=NotLeader(leader=error.leader))
        except UnavailableError:
            return QueryReply(outcome=Unconfirmed())
        is_settings = isinstance(request.query, SettingsQuery | DocumentQuery)
        if self._operators() and not self._authenticate(stream) and not is_settings:
            return QueryReply(outcome=Forbidden(detail="an operator's token is needed"))
        return self._answer(request)

    def _answer(self, request: QueryRequest) -> QueryReply:
        state = self._node.state
        settings = state.settings
        match request.query:
            case SettingsQuery():
                view = SettingsView(version=settings.version, document=settings.document)
                return QueryReply(outcome=view)
            case DocumentQuery():
                return QueryReply(outcome=DocumentView(document=state.documents.document))
            case HistoryQuery(limit=limit):
                return QueryReply(outcome=HistoryView(changes=settings.history()[-limit:]))
            case ChangeQuery(change=change):
                return QueryReply(outcome=ChangeView(reply=settings.answer_to(change)))
            case BoxesQuery():
                return QueryReply(outcome=BoxesView(boxes=state.membership.records()))
            case EvacuationsQuery():
                evacuations = state.evacuations.evacuations()
                return QueryReply(outcome=EvacuationsView(evacuations=evacuations))
            case QuarantineQuery():
                return QueryReply(
                    outcome=QuarantineView(quarantine=state.quarantine.list_for_entries())
                )
            case CostsQuery():
                return QueryReply(
                    outcome=CostsView(
                        totals=state.costs.totals(), endings=state.costs.burn.counts()
                    )
                )

    def _change_group(
        self,
        stream: Stream[AddRequest, GroupReply] | Stream[RemoveRequest, GroupReply],
        request: AddRequest | RemoveRequest,
    ) -> GroupReply:
        if not self._may_change(self._authenticate(stream)):
            return GroupReply(outcome=Forbidden(detail="an editor's token is needed"))
        try:
            if isinstance(request, AddRequest):
                self._node.add(request.replica, request.address)
            else:
                self._node.remove(request.replica)
        except NotLeaderError as error:
            return GroupReply(outcome=NotLeader(leader=error.leader))
        except AgreementError as error:
            return GroupReply(outcome=Denied(detail=str(error)))
        return GroupReply(outcome=Done())

    def _status(self) -> StatusReply:
        node = self._node
        replica = node.replica
        return StatusReply(
            box=node.settings.name,
            role="control",
            replica=node.identity.replica,
            cluster=node.identity.cluster,
            standing=replica.standing if replica else "waiting to be admitted",
            term=replica.term if replica else 0,
            leader=replica.leader_address() if replica else "",
            commit=replica.commit if replica else 0,
            last_index=replica.last_index if replica else 0,
            version=node.state.settings.version,
            members=replica.members if replica else _EMPTY_MEMBERS,
            boxes=node.watchers.statuses(node.now()),
        )

    # Operators.

    def _operators(self) -> dict[str, Operator]:
        return dict(self._node.state.settings.tree.operators)

    def _authenticate(
        self,
        stream: Stream[SubmitRequest, SubmitReply]
        | Stream[QueryRequest, QueryReply]
        | Stream[AddRequest, GroupReply]
        | Stream[RemoveRequest, GroupReply],
    ) -> str:
        """Return the operator's name, or an empty string."""
        metadata = stream.metadata
        token = metadata.get(TOKEN_FIELD, "") if metadata is not None else ""
        digest = hashlib.sha256(str(token).encode()).hexdigest()
        for name, operator in self._operators().items():
            if operator.token_digest == digest:
                return name
        return ""

    def _may_change(self, operator: str) -> bool:
        operators = self._operators()
        if not operators:
            return True
        return operator in operators and operators[operator].role == "editor"


def make_update(node: ControlNode, version: int) -> WatchUpdate:
    """Return what takes a box from a version to the current one."""
    settings = node.state.settings
    changes = settings.changes_after(version) if version else None
    document = settings.document if changes is None else None
    return WatchUpdate(
        version=settings.version,
        changes=changes or (),
        document=document,
        is_current=node.is_current(),
        live_entries=node.state.membership.live(),
        peers=_sample_peers(node),
    )


def _sample_peers(node: ControlNode) -> tuple[str, ...]:
    """Return some entries' addresses, enough to pass settings on without knowing all."""
    addresses = [record.address for record in node.state.membership.records()]
    return tuple(random.sample(addresses, min(PEERS_TOLD, len(addresses))))


def _needs_editor(command: Command) -> bool:
    """Tell whether a command comes from an operator and changes what all boxes do."""
    if isinstance(command, EvacuateDataCentre | RestoreDataCentre):
        return command.operator != REGISTRY
    return isinstance(command, ChangeSettings | ReleaseRequest)


def _sign(command: Command, operator: str) -> Command:
    """Write the authenticated operator and the time into an operator's command.

    Ends of targets are dated here too, since entries' clocks differ by more than replicas'.
    """
    if isinstance(command, NoteTargetEnd):
        fingerprints = [run.fingerprint for run in command.runs]
        fields = {"target": command.target, "start": command.start}
        _LOG.info("end of target told", extra={**fields, "fingerprints": fingerprints})
        return replace(command, at=round(time.time(), 3))
    if not _needs_editor(command):
        return command
    assert isinstance(
        command, ChangeSettings | EvacuateDataCentre | RestoreDataCentre | ReleaseRequest
    )
    return replace(command, operator=operator or ANYONE, at=round(time.time(), 3))
