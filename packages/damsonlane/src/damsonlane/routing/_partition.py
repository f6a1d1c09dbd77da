"""Partition of the engines of a service: some for long prompts, the others for the rest."""

import hashlib
from collections.abc import Sequence
from typing import Final

from damsonlane.records import dataclass

#: Tokens at and above which a prompt counts as long.  An engine processes about as many prompt
#: tokens between two output tokens of the other streams; a longer prompt stalls those streams
#: several times, for longer than callers accept.
LONG_PROMPT_TOKENS: Final = 2_000
#: Share of the tokens that is assumed to be in long prompts before any was recorded.
INITIAL_LONG_SHARE: Final = 0.85
#: Weight of this initial assumption, in tokens: that of a few requests, so that a service whose
#: prompts are all long or all short is soon recognised.
INITIAL_TOKENS: Final = 10_000.0
#: Share of the tokens below which a class of prompts gets no engines of its own.
MIN_SHARE: Final = 0.03
#: Tokens after which a recorded prompt counts half: about ten seconds of one entry of the first
#: users at high load, which is longer than a burst of one class of requests.
HALF_LIFE_TOKENS: Final = 200_000.0


@dataclass(frozen=True, kw_only=True)
class EngineLocation:
    """An engine and its data centre."""

    #: Name of the engine.
    target: str
    #: Its data centre.
    data_centre: str
    #: Its start.
    start: int = 0
    #: Version of its software.
    version: str = ""


class PromptPartition:
    """Partitions the engines of one service by the share of tokens in long prompts.

    All entries use the same order of engines and have about the same traffic, so their partitions
    differ in one engine at most.
    """

    def __init__(self) -> None:
        self._long = INITIAL_LONG_SHARE * INITIAL_TOKENS
        self._all = INITIAL_TOKENS
        #: The engines of the last call, and their order.
        self._engines: Sequence[EngineLocation] = ()
        self._interleaved: Sequence[EngineLocation] = ()

    def record(self, tokens: int) -> None:
        """Record the prompt of a request.

        Args:
            tokens: length of the prompt.
        """
        decay = 0.5 ** (tokens / HALF_LIFE_TOKENS)
        self._all = self._all * decay + tokens
        self._long = self._long * decay + (tokens if _is_long(tokens) else 0)

    def find_engines(self, tokens: int, locations: tuple[EngineLocation, ...]) -> frozenset[str]:
        """Return the engines for a prompt.

        Args:
            tokens: length of the prompt; 0 if unknown.
            locations: all engines of the service.

        Returns:
            Names of the engines; all of them if the length is unknown or other prompts are rare.
        """
        long_share = self._long / self._all
        other_share = 1.0 - long_share if _is_long(tokens) else long_share
        if len(locations) < 2 or tokens <= 0 or other_share < MIN_SHARE:
            return frozenset(location.target for location in locations)
        count = round(long_share * len(locations))
        count = min(len(locations) - 1, max(1, count))
        if locations != self._engines:
            self._engines, self._interleaved = locations, _interleave(locations)
        interleaved = self._interleaved
        chosen = interleaved[:count] if _is_long(tokens) else interleaved[count:]
        return frozenset(location.target for location in chosen)


def _is_long(tokens: int) -> bool:
    """Return whether a prompt counts as long."""
    return tokens >= LONG_PROMPT_TOKENS


def _interleave(locations: Sequence[EngineLocation]) -> list[EngineLocation]:
    """Return the engines in an order that alternates between data centres."""
    by_centre: dict[str, list[EngineLocation]] = {}
    for location in sorted(locations, key=lambda location: _hash(location.target)):
        by_centre.setdefault(location.data_centre, []).append(location)
    positions = {
        location.target: (position, _hash(location.data_centre))
        for engines in by_centre.values()
        for position, location in enumerate(engines)
    }
    return sorted(locations, key=lambda location: positions[location.target])


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
