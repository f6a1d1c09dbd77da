"""Serve the requests of other entries."""

from typing import Final

from grpclib.server import Stream

from damsonlane_rpc import COMPARE, PeerReply, PeerRequest, RpcService, WatchUpdate
from damsonlaned.entry._draining_targets import DrainingTargets
from damsonlaned.entry._settings_view import SettingsView


class PeerService:
    """Serves newer settings and the list of draining targets to other entries."""

    def __init__(self, view: SettingsView, draining: DrainingTargets) -> None:
        self._view: Final = view
        self._draining: Final = draining

    def service(self) -> RpcService:
        """Return the RPC handlers in the form that grpclib expects."""
        return RpcService({COMPARE.path: COMPARE.handler(self.compare)})

    async def compare(self, stream: Stream[PeerRequest, PeerReply]) -> None:
        """Answer with the draining targets, and the settings in force here if they are newer."""
        request = await stream.recv_message()
        if request is None:
            return
        self._draining.merge(request.leaving)
        current = self._view.current
        update = None
        if current.version > request.version:
            update = WatchUpdate(version=current.version, document=current.document)
        await stream.send_message(PeerReply(update=update, leaving=self._draining.list_all()))
