"""Two sides of an engine service: one for long prompts, one for the rest."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

#: Tokens from which on a prompt counts as long.  Engines read about as many between
#: two tokens of the streams beside it; reading more holds those streams up several
#: times, for longer than the pauses that callers bear.
LONG_PROMPT_TOKENS: Final = 2_000
#: Share of the tokens that is reckoned to be in long prompts before any was seen.
INITIAL_LONG_SHARE: Final = 0.85
#: Tokens that this first guess weighs, as if they had been seen: a handful of requests,
#: so that a service whose prompts are all of one kind is soon known as such.
INITIAL_TOKENS: Final = 10_000.0
#: Share of the tokens below which a kind of prompt gets no engines of its own.
LEAST_SHARE: Final = 0.03
#: Tokens after which what was seen counts half: about ten seconds of one entry of the
#: first users at high load, longer than a wave of one kind of request.
MEMORY_TOKENS: Final = 200_000.0


@dataclass(frozen=True, kw_only=True)
class Place:
    """An engine, as far as its side depends on it."""

    #: Its name.
    target: str
    #: Its data centre.
    data_centre: str
    #: Its start.
    start: int = 0


class PromptSides:
    """Divides the engines of one service by the tokens that long prompts bring.

    All entries order the engines alike, and see about the same traffic, so they
    differ in the side of one engine at most.
    """

    def __init__(self) -> None:
        self._long = INITIAL_LONG_SHARE * INITIAL_TOKENS
        self._all = INITIAL_TOKENS
        #: The engines that were asked for last, and their order.
        self._places: Sequence[Place] = ()
        self._ordered: Sequence[Place] = ()

    def note(self, tokens: int) -> None:
        """Note the prompt of a request."""
        fading = 0.5 ** (tokens / MEMORY_TOKENS)
        self._all = self._all * fading + tokens
        self._long = self._long * fading + (tokens if _is_long(tokens) else 0)

    def find_side(self, tokens: int, places: tuple[Place, ...]) -> frozenset[str]:
        """Return the engines for a prompt of a length; all of them if nothing divides them."""
        long_share = self._long / self._all
        other_share = 1.0 - long_share if _is_long(tokens) else long_share
        if len(places) < 2 or tokens <= 0 or other_share < LEAST_SHARE:
            return frozenset(place.target for place in places)
        count = round(long_share * len(places))
        count = min(len(places) - 1, max(1, count))
        if places != self._places:
            self._places, self._ordered = places, _order(places)
        ordered = self._ordered
        side = ordered[:count] if _is_long(tokens) else ordered[count:]
        return frozenset(place.target for place in side)


def _is_long(tokens: int) -> bool:
    """Tell whether a prompt counts as long."""
    return tokens >= LONG_PROMPT_TOKENS


def _order(places: Sequence[Place]) -> list[Place]:
    """Return engines in an order that takes the data centres in turn."""
    by_centre: dict[str, list[Place]] = {}
    for place in sorted(places, key=lambda place: _hash(place.target)):
        by_centre.setdefault(place.data_centre, []).append(place)
    turns = {
        place.target: (turn, _hash(place.data_centre))
        for centre in by_centre.values()
        for turn, place in enumerate(centre)
    }
    return sorted(places, key=lambda place: turns[place.target])


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
