"""The leader of the control group, wherever it is: committing and reading there."""

import logging
from typing import Final

from damsonlane.cluster import Command, PackedDocument, Reply
from damsonlane.errors import NotLeaderError, UnavailableError
from damsonlane_rpc import ControlClient, DocumentQuery, DocumentView, QueryRequest
from damsonlaned.control._group import GroupRepairer
from damsonlaned.control._node import ControlNode

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which a caller waits for a quorum; targets and operators turn to
#: another box after one second.
CONFIRM_SECONDS: Final = 0.85
#: Seconds after which another box is asked whether it leads.
ATTEMPT_SECONDS: Final = 0.45


class Leader:
    """Commits and reads at this replica if it leads, and by a call otherwise.

    Args:
        node: the control node.
        group: tells whether the group takes orders.
        client: reaches the leader from a replica that does not lead.
    """

    def __init__(self, node: ControlNode, group: GroupRepairer, client: ControlClient) -> None:
        self._node: Final = node
        self._group: Final = group
        self._client: Final = client

    def is_here(self) -> bool:
        """Tell whether this replica leads."""
        return self._node.replica is not None and self._node.replica.is_leader

    def address(self) -> str:
        """Return the leader's internal address, or an empty string when it is not known."""
        replica = self._node.replica
        return replica.leader_address() if replica is not None else ""

    async def submit(self, command: Command) -> Reply:
        """Commit a command.

        Raises:
            UnavailableError: not confirmed in time; the outcome is unknown.
        """
        if not self._group.takes_orders():
            raise UnavailableError("the control group is still forming")
        try:
            if self.is_here():
                return (await self._node.submit([command]))[0]
        except NotLeaderError:
            _LOG.debug("lost the lead while committing")
        replies = await self._client.submit(
            [command], CONFIRM_SECONDS, attempt_seconds=ATTEMPT_SECONDS
        )
        return replies[0]

    async def read_document(self) -> PackedDocument:
        """Return the routing document in force.

        Raises:
            UnavailableError: no quorum confirmed it in time.
        """
        try:
            if self.is_here():
                await self._node.confirm()
                return self._node.state.documents.document
        except NotLeaderError:
            _LOG.debug("lost the lead while reading")
        reply = await self._client.query(
            QueryRequest(query=DocumentQuery()), CONFIRM_SECONDS, attempt_seconds=ATTEMPT_SECONDS
        )
        if not isinstance(reply.outcome, DocumentView):
            raise UnavailableError("no quorum confirmed the document")
        return reply.outcome.document
