"""Estimate of the prefix cache of an engine."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from damsonlane.placement._prompts import PromptSegment

#: Share of an engine's memory that is assumed to hold cached segments; the rest is used by the
#: prompts and answers of running requests.
CACHE_SHARE: Final = 0.7


class PrefixCache:
    """Prompt segments that an engine has probably cached, with LRU eviction.

    Args:
        memory_tokens: capacity of its memory, in tokens.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._capacity: Final = CACHE_SHARE * memory_tokens
        self._tokens: OrderedDict[str, int] = OrderedDict()
        self._prefilled_at: dict[str, float] = {}
        self._sum = 0

    def count_cached(self, segments: Sequence[PromptSegment]) -> int:
        """Return the tokens of the leading segments that are cached or being prefilled."""
        cached = 0
        for segment in segments:
            if segment.identity not in self._tokens:
                break
            cached += segment.tokens
        return cached

    def count_prefilled(self, segments: Sequence[PromptSegment], now: float) -> int:
        """Return the tokens of the leading segments that have been prefilled by now."""
        prefilled = 0
        for segment in segments:
            if self._prefilled_at.get(segment.identity, float("inf")) > now:
                break
            prefilled += segment.tokens
        return prefilled

    def add(self, segments: Sequence[PromptSegment], prefilled_at: float = 0.0) -> None:
        """Add the segments of a prompt that the engine prefills, evicting others if necessary.

        Args:
            segments: its shared segments.
            prefilled_at: when they will have been prefilled, by the monotonic clock.
        """
        for segment in segments:
            self._sum += segment.tokens - self._tokens.pop(segment.identity, 0)
            self._tokens[segment.identity] = segment.tokens
            self._prefilled_at.setdefault(segment.identity, prefilled_at)
        while self._sum > self._capacity and self._tokens:
            identity, tokens = self._tokens.popitem(last=False)
            self._sum -= tokens
            del self._prefilled_at[identity]

    def clear(self) -> None:
        """Remove all segments, since the engine may have restarted."""
        self._tokens.clear()
        self._prefilled_at.clear()
        self._sum = 0
