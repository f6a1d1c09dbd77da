"""Times of the last heartbeat of each target, and detection of silent targets."""

from typing import Final


class HeartbeatTracker:
    """Times of the last heartbeats, received here or reported by other replicas.

    Args:
        silent_seconds: time without a heartbeat after which a target counts as silent.
    """

    def __init__(self, silent_seconds: float) -> None:
        self._silent_seconds: Final = silent_seconds
        self._received_at: dict[str, float] = {}
        self._unreported: set[str] = set()
        self._leader_since: float | None = None

    def __contains__(self, target: object) -> bool:
        return target in self._received_at

    def record(self, target: str, now: float) -> None:
        """Record a heartbeat of a target."""
        self._received_at[target] = now
        self._unreported.add(target)

    def forget(self, target: str) -> None:
        """Forget a target that was removed."""
        self._received_at.pop(target, None)
        self._unreported.discard(target)

    def mark_leader(self, now: float) -> None:
        """Record that this replica leads, and drop the heartbeats to report to a leader.

        No target counts as silent before the time-out has passed since this replica became
        the leader: its last heartbeats may have reached other replicas.
        """
        self._unreported.clear()
        if self._leader_since is None:
            self._leader_since = now

    def take_unreported(self) -> list[str]:
        """Record that this replica does not lead.

        Returns:
            Names of the targets with heartbeats since the last call, sorted; the caller
            reports them to the leader.
        """
        self._leader_since = None
        targets, self._unreported = self._unreported, set()
        return sorted(targets)

    def is_silent(self, target: str, now: float) -> bool:
        """Return whether a target is silent; False unless this replica leads."""
        since = max(self._received_at.get(target, 0.0), self._leader_since or now)
        return now - since > self._silent_seconds
