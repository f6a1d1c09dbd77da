"""The replicated state as one process has applied it."""

from typing import Final

from damsonlane.cluster import ClusterState, Reply, decode_command
from damsonlane.consensus import LogEntry, Opaque, Snapshot
from damsonlane.versions import VersionHistory
from damsonlaned.control._watchers import Watchers


class AppliedState:
    """Applies log entries and snapshots, and wakes the boxes that watch what they change.

    Args:
        watchers: the boxes that watch.
    """

    def __init__(self, watchers: Watchers) -> None:
        self._watchers: Final = watchers
        self.state = ClusterState()
        #: Which versions of targets have served while this process applied changes.
        self.versions: Final = VersionHistory()
        #: Index of the last entry that was applied.
        self.index = 0
        #: Entries applied since the last snapshot.
        self.since_snapshot = 0
        #: Whether the last entry changed what is pushed.
        self._has_changed = False

    def replace(self, snapshot: Snapshot, now: float) -> None:
        """Replace the state by that of a snapshot.

        Args:
            snapshot: the snapshot.
            now: time by the monotonic clock, in seconds.
        """
        self.state = ClusterState.from_text(snapshot.state)
        self.index = snapshot.index
        self._restart_versions(now)

    def clear(self, now: float) -> None:
        """Discard the state."""
        self.state = ClusterState()
        self.index = 0
        self._restart_versions(now)

    def apply(self, entry: LogEntry, now: float) -> Reply | None:
        """Apply an entry; return the reply to its command, or None if it has none."""
        before = self._list_pushed()
        targets_revision = self.state.targets.revision
        reply: Reply | None = None
        if isinstance(entry.body, Opaque):
            reply = self.state.apply(decode_command(entry.body.text))
        self.index = entry.index
        self.since_snapshot += 1
        if self.state.targets.revision != targets_revision:
            self.versions.observe(self.state.targets.list_versions(), now)
        self._has_changed = self._list_pushed() != before
        return reply

    def notify_watchers(self) -> None:
        """Wake the boxes that watch if the last entry changed what is pushed to them."""
        if self._has_changed:
            self._has_changed = False
            self._watchers.notify_all()

    def _restart_versions(self, now: float) -> None:
        """Track the versions of targets anew, since changes may have been skipped."""
        self.versions.restart()
        self.versions.observe(self.state.targets.list_versions(), now)

    def _list_pushed(self) -> tuple[int, ...]:
        """Return the versions and counts of everything that is pushed to watching boxes."""
        state = self.state
        return (
            state.settings.version,
            state.membership.count_live(),
            state.documents.document.version,
            state.targets.revision,
            state.evacuations.revision,
            state.quarantine.revision,
            state.rate_limits.revision,
        )
