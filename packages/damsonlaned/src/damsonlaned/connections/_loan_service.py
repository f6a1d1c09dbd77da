"""Serves other entries that borrow connections."""

from collections.abc import Mapping
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane_rpc import BORROW, LoanReply, LoanRequest
from damsonlaned.connections._fleet_connections import FleetConnections


class LoanService:
    """Serves the calls of other entries.

    Args:
        connections: the connections of this box.
    """

    def __init__(self, connections: FleetConnections) -> None:
        self._connections: Final = connections

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of the calls from other boxes."""
        return {BORROW.path: BORROW.handler(self._lend)}

    async def _lend(self, stream: Stream[LoanRequest, LoanReply]) -> None:
        request = await stream.recv_message()
        if request is not None:
            granted = self._connections.lend(request.borrower, request.number, request.items)
            await stream.send_message(LoanReply(items=granted))
