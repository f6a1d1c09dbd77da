"""What one request has been through at targets, and whether another one may get it."""

from typing import Final

from damsonlaned.gateway._call import Call

#: Share of the time left that one attempt gets where another may follow.
ATTEMPT_SHARE: Final = 0.5
#: Least time for one attempt, in seconds.
LEAST_ATTEMPT_SECONDS: Final = 0.08
#: Targets that one request is offered to while none has run it.
MOST_OFFERS: Final = 3
#: The same, with those that turned it away and said how much they take, or when.  Each of them
#: gets nothing more for a while, so a request reaches the one that is free.
MOST_TOLD_OFFERS: Final = 12
#: Seconds of silence in an event stream after which it is taken up elsewhere,
#: as a multiple of the longest pause in aim.
PAUSES_TO_RESUME: Final = 3.0
#: Longest pause assumed where a route names none, in seconds.
UNTOLD_PAUSE_SECONDS: Final = 1.0
#: Seconds added to the time left where no other target may follow: the deadline
#: itself ends the request then.
_BEYOND_DEADLINE_SECONDS: Final = 1.0


class Tries:
    """The offers of one request to targets.

    Args:
        call: the request.
    """

    def __init__(self, call: Call) -> None:
        self._call: Final = call
        self._ran_on = 0
        self._told_off = 0
        #: Offers to targets so far.
        self.offers = 0
        #: Names of the targets that it was offered to.
        self.tried: Final[set[str]] = set()
        #: Whether it may have run somewhere.
        self.may_have_run = False

    def note_offer(self, target: str) -> None:
        """Note that the request goes to a target."""
        self.offers += 1
        self.tried.add(target)

    def note_unserved(self, *, may_have_run: bool, is_told_off: bool = False) -> None:
        """Note that an attempt gave the caller nothing.

        Args:
            may_have_run: whether it may have run there.
            is_told_off: whether the target said how much it takes, or when.
        """
        self._told_off += is_told_off
        if may_have_run:
            self.may_have_run = True
            self._ran_on += 1

    def silence_seconds(self) -> float:
        """Return how long a target may be silent before its answer begins."""
        remaining = self._call.remaining()
        if self._call.route.is_repeatable() and not self._is_last_run():
            return max(LEAST_ATTEMPT_SECONDS, ATTEMPT_SHARE * remaining)
        return remaining + _BEYOND_DEADLINE_SECONDS

    def pause_seconds(self, *, has_begun: bool) -> float:
        """Return for how long an event stream may be silent.

        Args:
            has_begun: whether the caller has a part of its answer.
        """
        route = self._call.route
        remaining = self._call.remaining()
        if not route.is_resumable or self._is_last_run():
            return remaining + _BEYOND_DEADLINE_SECONDS
        pause = route.pause_seconds or UNTOLD_PAUSE_SECONDS
        first = route.aim_seconds if not has_begun else 0.0
        return PAUSES_TO_RESUME * pause + first

    def may_go_on(self, *, has_begun: bool) -> bool:
        """Tell whether another target may get the request, the fleet's budget apart.

        Args:
            has_begun: whether the caller has a part of its answer.
        """
        route = self._call.route
        if self._call.remaining() < LEAST_ATTEMPT_SECONDS or self.offers == 0:
            return False
        if has_begun and not route.is_resumable:
            return False
        if self.may_have_run and not route.is_repeatable():
            return False
        if self._ran_on >= max(1, route.most_targets):
            return False
        return self.offers - self._told_off < MOST_OFFERS and self.offers < MOST_TOLD_OFFERS

    def _is_last_run(self) -> bool:
        """Tell whether no target may run it after the one that has it now."""
        return self._ran_on + 1 >= self._call.route.most_targets
