"""Calls that a control box serves to operators, boxes and other replicas."""

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

from damsonlane.cluster import ChangeSettings, Command
from damsonlane.consensus import Envelope, Members
from damsonlane.errors import GroupChangeError, NotLeaderError, UnavailableError
from damsonlane.evacuation import EvacuateDataCentre, RestoreDataCentre
from damsonlane.quarantine import RecordTargetExit, ReleaseRequest
from damsonlane.settings import Operator
from damsonlane_rpc import (
    ADD_REPLICA,
    EXCHANGE,
    FOUND_GROUP,
    QUERY,
    READ_VERSIONS,
    REMOVE_REPLICA,
    STATUS,
    SUBMIT,
    TOKEN_METADATA_KEY,
    WATCH,
    AddReplicaRequest,
    BoxesQuery,
    BoxesView,
    ChangeQuery,
    ChangeView,
    Committed,
    CostsQuery,
    CostsView,
    DocumentQuery,
    DocumentView,
    Done,
    EvacuationsQuery,
    EvacuationsView,
    ExchangeEnd,
    Forbidden,
    FoundGroupRequest,
    GroupChangeDenied,
    GroupReply,
    HistoryQuery,
    HistoryView,
    NotLeader,
    QuarantineQuery,
    QuarantineView,
    QueryReply,
    QueryRequest,
    RemoveReplicaRequest,
    RpcService,
    SettingsQuery,
    SettingsView,
    StatusReply,
    StatusRequest,
    SubmitReply,
    SubmitRequest,
    TargetsQuery,
    TargetsView,
    Unconfirmed,
    VersionsQuery,
    VersionsReply,
    VersionsView,
    WatchReport,
    WatchUpdate,
)
from damsonlaned.control._node import ControlNode

_LOG: Final = logging.getLogger(__name__)

#: Operator that is recorded in the history while none are configured.
ANYONE: Final = "anyone"
#: Operator that is recorded for calls to the HTTP interface of the registry.  Any replica
#: accepts these and forwards them to the leader.
REGISTRY: Final = "registry"
#: Number of entries whose addresses a box receives as its peers.
SAMPLED_PEERS: Final = 4
#: Members reported by a box that belongs to no group.
_EMPTY_MEMBERS: Final = Members(voters=())


class ControlService:
    """Serves operators, entries and other replicas from a control node."""

    def __init__(self, node: ControlNode) -> None:
        self._node: Final = node

    def service(self, more: Mapping[str, Handler]) -> RpcService:
        """Return the grpclib service with these calls and additional handlers.

        Args:
            more: additional handlers by path.
        """
        return RpcService(
            {
                **more,
                SUBMIT.path: SUBMIT.handler(self.submit),
                QUERY.path: QUERY.handler(self.query),
                READ_VERSIONS.path: READ_VERSIONS.handler(self.read_versions),
                STATUS.path: STATUS.handler(self.status),
                FOUND_GROUP.path: FOUND_GROUP.handler(self.found),
                ADD_REPLICA.path: ADD_REPLICA.handler(self.add),
                REMOVE_REPLICA.path: REMOVE_REPLICA.handler(self.remove),
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
        """Answer a query from the state that a quorum confirms as current."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._query(stream, request))

    async def read_versions(self, stream: Stream[VersionsQuery, VersionsReply]) -> None:
        """Report the versions of targets that a quorum confirms as current."""
        if await stream.recv_message() is not None:
            await stream.send_message(await self._read_versions())

    async def status(self, stream: Stream[StatusRequest, StatusReply]) -> None:
        """Report the status of this box."""
        if await stream.recv_message() is not None:
            await stream.send_message(self._status())

    async def found(self, stream: Stream[FoundGroupRequest, GroupReply]) -> None:
        """Found a control group with this box as its only member."""
        if await stream.recv_message() is None:
            return
        try:
            self._node.found_group()
            reply = GroupReply(outcome=Done())
        except GroupChangeError as error:
            reply = GroupReply(outcome=GroupChangeDenied(detail=str(error)))
        await stream.send_message(reply)

    async def add(self, stream: Stream[AddReplicaRequest, GroupReply]) -> None:
        """Add a replica to the group."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._change_group(stream, request))

    async def remove(self, stream: Stream[RemoveReplicaRequest, GroupReply]) -> None:
        """Remove a replica from the group."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._change_group(stream, request))

    async def exchange(self, stream: Stream[Envelope, ExchangeEnd]) -> None:
        """Receive envelopes from another replica."""
        async for envelope in stream:
            self._node.receive(envelope)
        await stream.send_message(ExchangeEnd())

    async def watch(self, stream: Stream[WatchReport, WatchUpdate]) -> None:
        """Push changes to a box, and record the version of the settings in force there."""
        report = await stream.recv_message()
        if report is None:
            return
        self._node.watchers.record(report, self._node.now())
        sender = asyncio.create_task(self._push(stream, report.version))
        try:
            async for report in stream:
                self._node.watchers.record(report, self._node.now())
                await stream.send_message(self._make_heartbeat(report.version))
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sender

    async def _push(self, stream: Stream[WatchReport, WatchUpdate], version: int) -> None:
        live_count = 0
        revisions = (-1, -1)
        while True:
            state = self._node.state
            quarantine = state.quarantine.list_for_entries()
            limits = state.rate_limits.list_all()
            is_same = (
                state.settings.version <= version and state.membership.count_live() == live_count
            )
            if not is_same or (quarantine.revision, limits.revision) != revisions:
                live_count = state.membership.count_live()
                revisions = (quarantine.revision, limits.revision)
                update = _make_update(self._node, version)
                update = replace(update, quarantine=quarantine, rate_limits=limits)
                version = update.version
                await stream.send_message(update)
            else:
                await self._node.watchers.wait()

    def _make_heartbeat(self, version: int) -> WatchUpdate:
        return WatchUpdate(
            version=version,
            is_current=self._node.is_current(),
            live_entries=self._node.state.membership.count_live(),
            peers=_sample_peers(self._node),
        )

    async def _submit(
        self, stream: Stream[SubmitRequest, SubmitReply], request: SubmitRequest
    ) -> SubmitReply:
        operator = self._authenticate(stream)
        commands = tuple(_stamp(command, operator) for command in request.commands)
        needs_editor = any(map(_needs_editor, request.commands))
        if needs_editor and not self._may_change(operator):
            return SubmitReply(outcome=Forbidden(detail="an editor's token is needed"))
        try:
            return SubmitReply(outcome=Committed(replies=await self._node.submit(commands)))
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
        is_public = isinstance(request.query, SettingsQuery | DocumentQuery)
        if self._operators() and not self._authenticate(stream) and not is_public:
            return QueryReply(outcome=Forbidden(detail="an operator's token is needed"))
        return self._answer(request)

    async def _read_versions(self) -> VersionsReply:
        try:
            await self._node.confirm()
        except NotLeaderError as error:
            return VersionsReply(outcome=NotLeader(leader=error.leader))
        except UnavailableError:
            return VersionsReply(outcome=Unconfirmed())
        state = self._node.state
        versions = VersionsView(
            versions=state.targets.list_versions(),
            document_version=state.documents.document.version,
        )
        return VersionsReply(outcome=versions)

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
                return QueryReply(outcome=ChangeView(reply=settings.find_answer(change)))
            case BoxesQuery():
                return QueryReply(outcome=BoxesView(boxes=state.membership.records()))
            case EvacuationsQuery():
                evacuations = state.evacuations.evacuations()
                return QueryReply(outcome=EvacuationsView(evacuations=evacuations))
            case QuarantineQuery():
                return QueryReply(
                    outcome=QuarantineView(quarantine=state.quarantine.list_for_entries())
                )
            case TargetsQuery():
                return QueryReply(outcome=TargetsView(targets=state.targets.records()))
            case CostsQuery():
                return QueryReply(
                    outcome=CostsView(
                        totals=state.costs.totals(), endings=state.costs.burn.counts()
                    )
                )

    def _change_group(
        self,
        stream: Stream[AddReplicaRequest, GroupReply] | Stream[RemoveReplicaRequest, GroupReply],
        request: AddReplicaRequest | RemoveReplicaRequest,
    ) -> GroupReply:
        if not self._may_change(self._authenticate(stream)):
            return GroupReply(outcome=Forbidden(detail="an editor's token is needed"))
        try:
            if isinstance(request, AddReplicaRequest):
                self._node.add(request.replica, request.address)
            else:
                self._node.remove(request.replica)
        except NotLeaderError as error:
            return GroupReply(outcome=NotLeader(leader=error.leader))
        except GroupChangeError as error:
            return GroupReply(outcome=GroupChangeDenied(detail=str(error)))
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
        | Stream[AddReplicaRequest, GroupReply]
        | Stream[RemoveReplicaRequest, GroupReply],
    ) -> str:
        """Return the name of the operator with the token of the call, or an empty string."""
        metadata = stream.metadata
        token = metadata.get(TOKEN_METADATA_KEY, "") if metadata is not None else ""
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


def _make_update(node: ControlNode, version: int) -> WatchUpdate:
    """Return the update from a version of the settings to the current one."""
    settings = node.state.settings
    changes = settings.changes_after(version) if version else None
    document = settings.document if changes is None else None
    return WatchUpdate(
        version=settings.version,
        changes=changes or (),
        document=document,
        is_current=node.is_current(),
        live_entries=node.state.membership.count_live(),
        peers=_sample_peers(node),
    )


def _sample_peers(node: ControlNode) -> tuple[str, ...]:
    """Return the addresses of some random entries, to which a box can forward settings."""
    addresses = [record.address for record in node.state.membership.records()]
    return tuple(random.sample(addresses, min(SAMPLED_PEERS, len(addresses))))


def _needs_editor(command: Command) -> bool:
    """Return whether a command comes from an operator and needs an editor's token."""
    if isinstance(command, EvacuateDataCentre | RestoreDataCentre):
        return command.operator != REGISTRY
    return isinstance(command, ChangeSettings | ReleaseRequest)


def _stamp(command: Command, operator: str) -> Command:
    """Return a command with the authenticated operator and the time, if it records them.

    Exits of targets are timestamped here too, since the clocks of entries differ by more than
    those of replicas.
    """
    if isinstance(command, RecordTargetExit):
        fingerprints = [run.fingerprint for run in command.runs]
        fields = {"target": command.target, "start": command.start}
        _LOG.info("target exit reported", extra={**fields, "fingerprints": fingerprints})
        return replace(command, at=round(time.time(), 3))
    if not _needs_editor(command):
        return command
    assert isinstance(
        command, ChangeSettings | EvacuateDataCentre | RestoreDataCentre | ReleaseRequest
    )
    return replace(command, operator=operator or ANYONE, at=round(time.time(), 3))
