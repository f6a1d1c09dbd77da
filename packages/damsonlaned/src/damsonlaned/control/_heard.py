"""When each target was last heard, and which of them are silent."""

from typing import Final


class HeardTargets:
    """Times at which targets were heard, here or by a replica that told of it.

    Args:
        silent_seconds: time without a heartbeat after which a target is silent.
    """

    def __init__(self, silent_seconds: float) -> None:
        self._silent_seconds: Final = silent_seconds
        self._heard_at: dict[str, float] = {}
        self._untold: set[str] = set()
        self._led_since: float | None = None

    def __contains__(self, target: object) -> bool:
        return target in self._heard_at

    def note(self, target: str, now: float) -> None:
        """Note that a target was heard."""
        self._heard_at[target] = now
        self._untold.add(target)

    def forget(self, target: str) -> None:
        """Forget a target that is gone."""
        self._heard_at.pop(target, None)
        self._untold.discard(target)

    def lead(self, now: float) -> None:
        """Note that this replica leads, so that it has nobody to tell.

        A target counts as heard when the lead began: it may have been heard elsewhere before.
        """
        self._untold.clear()
        if self._led_since is None:
            self._led_since = now

    def follow(self) -> list[str]:
        """Note that this replica does not lead.

        Returns:
            The targets that were heard since this was called last, by name; the
            leader is to be told of them.
        """
        self._led_since = None
        heard, self._untold = self._untold, set()
        return sorted(heard)

    def is_silent(self, target: str, now: float) -> bool:
        """Tell whether a target was not heard for long, at the leader."""
        since = max(self._heard_at.get(target, 0.0), self._led_since or now)
        return now - since > self._silent_seconds
