"""Parts of prompts that an engine probably still keeps in its memory."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from damsonlane.placing._prompts import PromptPart

#: Share of an engine's memory that is reckoned to keep parts; the rest is for the
#: prompts and answers of running requests.
KEPT_SHARE: Final = 0.7


class KeptParts:
    """Parts that one engine has read, those unused for longest given up first.

    Args:
        most_tokens: tokens that its memory holds.
    """

    def __init__(self, most_tokens: int) -> None:
        self._most_tokens: Final = KEPT_SHARE * most_tokens
        self._tokens: OrderedDict[str, int] = OrderedDict()
        self._read_at: dict[str, float] = {}
        self._sum = 0

    def count_kept(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading parts that need not be read again."""
        kept = 0
        for part in parts:
            if part.identity not in self._tokens:
                break
            kept += part.tokens
        return kept

    def count_read(self, parts: Sequence[PromptPart], now: float) -> int:
        """Return the tokens of the leading parts that have been read by now."""
        read = 0
        for part in parts:
            if self._read_at.get(part.identity, float("inf")) > now:
                break
            read += part.tokens
        return read

    def note(self, parts: Sequence[PromptPart], read_at: float = 0.0) -> None:
        """Note a prompt that the engine reads.

        Args:
            parts: its shared parts.
            read_at: when they will have been read.
        """
        for part in parts:
            self._sum += part.tokens - self._tokens.pop(part.identity, 0)
            self._tokens[part.identity] = part.tokens
            self._read_at.setdefault(part.identity, read_at)
        while self._sum > self._most_tokens and self._tokens:
            identity, tokens = self._tokens.popitem(last=False)
            self._sum -= tokens
            del self._read_at[identity]

    def clear(self) -> None:
        """Forget everything, since the engine has started anew or may have."""
        self._tokens.clear()
        self._read_at.clear()
        self._sum = 0
