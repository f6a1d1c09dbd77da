"""How fast the engines of one service read prompts."""

from typing import Final

#: Seconds that a request needs besides the reading of its prompt, both ways included.
BASE_SECONDS: Final = 0.05
#: Seconds per token before any was measured.
INITIAL_PACE: Final = 30e-6
#: Share by which one measurement moves the pace at most.
STEP: Final = 0.05
#: Bounds of the pace, in seconds per token.
PACE_RANGE: Final = (3e-6, 1e-3)
#: Fewer tokens than this, waiting ones included, say nothing of the pace.
LEAST_TOKENS: Final = 1_000


class ReadingPace:
    """The median of seconds per token, followed by steps up and down."""

    def __init__(self) -> None:
        self._pace = INITIAL_PACE

    def seconds(self, tokens: float) -> float:
        """Return the time that engines take to read some tokens."""
        return tokens * self._pace

    def note(self, tokens: float, seconds: float) -> None:
        """Learn from a prompt: tokens read until its first event, and the time until then."""
        if tokens < LEAST_TOKENS:
            return
        is_slower = seconds > BASE_SECONDS + self.seconds(tokens)
        factor = 1 + STEP / 2 if is_slower else 1 - STEP / 2
        low, high = PACE_RANGE
        self._pace = min(high, max(low, self._pace * factor))
