"""Which requests the ends of targets are put down to.

A target that ends takes along everything that it has, so most of what broke off there has done
nothing.  Blame goes to the few requests that explain the most ends: whoever stands in more ends
than others is taken out first, and ends that are explained by it count against nobody else.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from damsonlane.quarantine._exits import TargetEnd

#: Targets that end under a request before it is kept from them.  With two, requests that were
#: resumed once beside a deadly one would be kept back too: in a recorded burst of 17 ends five
#: bystanders stood in two ends, one in three, and none in more.
ENDS_TO_HOLD: Final = 3
#: Ends after which a request is held even though another one stands in all of them as well:
#: two that always come together can't be told apart, and both are refused rather than more
#: targets lost.
ENDS_TO_HOLD_ALIKE: Final = 6


#: Ends by their identity.
EndsByIdentity = Mapping[tuple[str, int], TargetEnd]


def find_blamed(under: Mapping[str, EndsByIdentity]) -> dict[str, tuple[TargetEnd, ...]]:
    """Return the requests that explain the ends of targets, each with those that it explains.

    Args:
        under: for each request the ends in which it stands; those in one end alone may be
            left out.
    """
    left = dict(under)
    blamed: dict[str, tuple[TargetEnd, ...]] = {}
    while left:
        first = min(left, key=lambda name: _rate(name, left[name]))
        if len(left[first]) < ENDS_TO_HOLD:
            break
        alike = [name for name in left if left[name].keys() == left[first].keys()]
        explained = left[first]
        if len(alike) == 1 or len(explained) >= ENDS_TO_HOLD_ALIKE:
            blamed.update({name: tuple(explained.values()) for name in alike})
            left = _leave_out(left, explained)
        for name in alike:
            left.pop(name, None)
    return blamed


def list_suspects(under: Mapping[str, EndsByIdentity], most: int) -> tuple[str, ...]:
    """Return the requests that stand in the most ends first.

    Args:
        under: for each request the ends in which it stands.
        most: how many to return.
    """
    return tuple(sorted(under, key=lambda name: _rate(name, under[name]))[:most])


def _rate(name: str, ends: EndsByIdentity) -> tuple[int, float, str]:
    """Return the place of a request among those to blame; the least comes first.

    Of two in as many ends the one that ran for less time each is the more likely cause.
    """
    seconds = sum(
        run.seconds for end in ends.values() for run in end.runs if run.fingerprint == name
    )
    return (-len(ends), seconds, name)


def _leave_out(
    under: Mapping[str, EndsByIdentity], explained: EndsByIdentity
) -> dict[str, EndsByIdentity]:
    """Return what is left against each request once some ends are explained."""
    left = {
        name: {identity: end for identity, end in ends.items() if identity not in explained}
        for name, ends in under.items()
    }
    return {name: ends for name, ends in left.items() if ends}


def find_oldest_unneeded(ends: Sequence[TargetEnd], blamed: Iterable[str]) -> int:
    """Return the index of the oldest end that holds no blamed request back, or else of the oldest.

    Args:
        ends: all ends, oldest first.
        blamed: the requests that are blamed.
    """
    names = set(blamed)
    for index, end in enumerate(ends):
        if not any(run.fingerprint in names for run in end.runs):
            return index
    return 0
