"""Which targets want nothing from this box, and for how long."""

import math
from collections.abc import Collection
from typing import Final

from damsonlane.backoff._incarnation import TargetStart

#: Longest back-off that is taken at its word, in seconds.  A longer one is more likely a
#: mistake, and would lose the target to this box until it starts again; after an hour one
#: request asks it once more.
LONGEST_BACKOFF_SECONDS: Final = 3_600.0
#: Starts of leaving targets that are remembered, the newest ones: ten days' worth where 200
#: targets are replaced a day.
MOST_LEAVING: Final = 2_048


class BackoffBook:
    """What targets asked of this box, by their starts.

    It belongs to the box and not to a connection, a request or a service, since whatever
    brings something to a target must heed it.
    """

    def __init__(self) -> None:
        self._until: dict[TargetStart, float] = {}
        self._leaving: dict[TargetStart, None] = {}

    def note(self, named: TargetStart, seconds: float, now: float, spread: float = 0.0) -> None:
        """Note that a target wants nothing for a while.

        An earlier word that lasts longer still holds: each was asked by itself.

        Args:
            named: the target.
            seconds: for how long.
            now: the time by the box's clock.
            spread: seconds that this box adds, so that boxes do not return together.
        """
        until = now + min(seconds, LONGEST_BACKOFF_SECONDS) + spread
        self._until[named] = max(until, self._until.get(named, until))

    def note_leaving(self, named: TargetStart) -> bool:
        """Note that a target leaves, which it never takes back; tell whether that is news."""
        is_news = named not in self._leaving
        self._leaving[named] = None
        if len(self._leaving) > MOST_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return is_news

    def is_empty(self) -> bool:
        """Tell whether no target asked for anything."""
        return not self._until and not self._leaving

    def list_backing_off(self, now: float) -> set[TargetStart]:
        """Return the targets that want nothing for now, those that leave included."""
        resting = {named for named, until in self._until.items() if until > now}
        return resting | self._leaving.keys()

    def is_leaving(self, named: TargetStart) -> bool:
        """Tell whether a target said that it leaves."""
        return named in self._leaving

    def seconds_left(self, named: TargetStart, now: float) -> float:
        """Return for how long a target still wants nothing: 0 if it may be sent something."""
        if named in self._leaving:
            return math.inf
        return max(0.0, self._until.get(named, now) - now)

    def forget_others(self, known: Collection[TargetStart], now: float) -> None:
        """Forget what is over, and what control lists no more if it may come back as another.

        The same start may be listed again by a replica that lagged behind, and still wants
        nothing then.  One that tells no start can't be told from its next one.
        """
        for named in [named for named in self._leaving if named.start == 0]:
            if named not in known:
                del self._leaving[named]
        for named in [named for named, until in self._until.items() if until <= now]:
            del self._until[named]
