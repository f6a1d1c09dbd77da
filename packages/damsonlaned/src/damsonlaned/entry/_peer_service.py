"""What an entry tells its peers."""

from typing import Final

from grpclib.server import Stream

from damsonlane_rpc import COMPARE, PeerReply, PeerRequest, Service, WatchUpdate
from damsonlaned.entry._draining_targets import LeavingTargets
from damsonlaned.entry._settings_view import SettingsView


class PeerService:
    """Gives newer settings to entries that ask."""

    def __init__(self, view: SettingsView, leaving: LeavingTargets) -> None:
        self._view: Final = view
        self._leaving: Final = leaving

    def service(self) -> Service:
        """Return the calls in the form grpclib expects."""
        return Service({COMPARE.path: COMPARE.handler(self.compare)})

    async def compare(self, stream: Stream[PeerRequest, PeerReply]) -> None:
        """Answer with the settings in force here if they are newer."""
        request = await stream.recv_message()
        if request is None:
            return
        self._leaving.learn(request.leaving)
        current = self._view.current
        update = None
        if current.version > request.version:
            update = WatchUpdate(version=current.version, document=current.document)
        await stream.send_message(PeerReply(update=update, leaving=self._leaving.list()))
