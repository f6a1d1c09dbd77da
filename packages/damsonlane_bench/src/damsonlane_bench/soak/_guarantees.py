"""The promises that a run may break, each with what looks for it."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane_bench.soak._observations import RunJournal, TargetRun


@dataclass(frozen=True, kw_only=True)
class Breach:
    """A promise that was broken."""

    #: Name of the promise.
    promise: str
    #: What was seen.
    seen: str


#: Looks for breaches of one promise.
Look = Callable[[RunJournal, Sequence[TargetRun]], Iterator[str]]

#: All promises by name.
PROMISES: Final[dict[str, Look]] = {}


def promise(name: str) -> Callable[[Look], Look]:
    """Register what looks for breaches of a promise."""

    def register(look: Look) -> Look:
        PROMISES[name] = look
        return look

    return register
