"""Commits and reads at the leader of the control group, local or remote."""

import logging
from typing import Final

from damsonlane.cluster import Command, PackedDocument, Reply
from damsonlane.errors import NotLeaderError, UnavailableError
from damsonlane_rpc import ControlClient, DocumentQuery, DocumentView, QueryRequest
from damsonlaned.control._group_manager import GroupManager
from damsonlaned.control._node import ControlNode

_LOG: Final = logging.getLogger(__name__)

#: Seconds to wait for the confirmation of a quorum; less than the one second after which
#: targets and operators try another box.
CONFIRM_TIMEOUT_SECONDS: Final = 0.85
#: Time-out of one attempt at one replica, in seconds; after it another one is tried.
ATTEMPT_TIMEOUT_SECONDS: Final = 0.45


class LeaderClient:
    """Commits and reads at this replica if it leads, otherwise by a call to the leader.

    Args:
        node: the control node.
        group: decides whether the group accepts commands.
        client: reaches the leader from a replica that does not lead.
    """

    def __init__(self, node: ControlNode, group: GroupManager, client: ControlClient) -> None:
        self._node: Final = node
        self._group: Final = group
        self._client: Final = client

    def is_local(self) -> bool:
        """Return whether this replica leads."""
        return self._node.replica is not None and self._node.replica.is_leader

    def address(self) -> str:
        """Return the internal address of the leader, or an empty string if it is unknown."""
        replica = self._node.replica
        return replica.leader_address() if replica is not None else ""

    async def submit(self, command: Command) -> Reply:
        """Commit a command.

        Raises:
            UnavailableError: the command was not confirmed in time; its outcome is unknown.
        """
        if not self._group.accepts_commands():
            raise UnavailableError("the control group is still forming")
        try:
            if self.is_local():
                return (await self._node.submit([command]))[0]
        except NotLeaderError:
            _LOG.debug("leadership lost during a commit")
        replies = await self._client.submit(
            [command], CONFIRM_TIMEOUT_SECONDS, attempt_seconds=ATTEMPT_TIMEOUT_SECONDS
        )
        return replies[0]

    async def read_document(self) -> PackedDocument:
        """Return the routing document in force.

        Raises:
            UnavailableError: no quorum confirmed the read in time.
        """
        try:
            if self.is_local():
                await self._node.confirm()
                return self._node.state.documents.document
        except NotLeaderError:
            _LOG.debug("leadership lost during a read")
        reply = await self._client.query(
            QueryRequest(query=DocumentQuery()),
            CONFIRM_TIMEOUT_SECONDS,
            attempt_seconds=ATTEMPT_TIMEOUT_SECONDS,
        )
        if not isinstance(reply.outcome, DocumentView):
            raise UnavailableError("no quorum confirmed the document")
        return reply.outcome.document
