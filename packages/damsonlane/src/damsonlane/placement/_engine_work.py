"""Prompts at one engine whose first event is awaited, and what their completion says of its speed.

An engine may prefill its prompts one after another or all at once.  In both cases it is busy from
the first placement to the last first event, so the tokens that it prefills in its busy time show
its speed, whatever the order.  The duration of a single prompt does not: it depends on the
prompts beside it, which come and go while it is prefilled.
"""

from typing import Final

from damsonlane.placement._prefill_pace import BASE_SECONDS
from damsonlane.records import dataclass

#: Tokens of one sample of the speed.  Smaller samples vary with the time of single steps.
SAMPLE_TOKENS: Final = 8_000
#: Seconds after which a prompt without an outcome is no longer expected to be prefilled: its
#: request was cancelled, or the message with the outcome was lost.
MAX_AWAITED_SECONDS: Final = 5.0
#: Share of the tokens of awaited prompts that are assumed to be left at least.
MIN_LEFT_SHARE: Final = 0.8


@dataclass(frozen=True, kw_only=True)
class SpeedSample:
    """Work that an engine did in some time."""

    #: Tokens that it prefilled.
    tokens: float
    #: Seconds that this took.
    seconds: float
    #: The same, without the effect of the reported slowness.
    usual_seconds: float


class EngineWork:
    """Awaited prompts of one engine."""

    def __init__(self) -> None:
        self._awaited: dict[tuple[str, int], tuple[float, float]] = {}
        self._awaited_tokens = 0.0
        self._measured_until = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._usual_seconds = 0.0

    def add(self, prompt: tuple[str, int], tokens: float, now: float) -> None:
        """Add a prompt of which some tokens will be prefilled."""
        self._remove_expired(now)
        # A sender that has restarted uses the same numbers again.
        self.remove(prompt)
        if not self._awaited:
            self._measured_until = max(self._measured_until, now + BASE_SECONDS)
        self._awaited[prompt] = (tokens, now)
        self._awaited_tokens += tokens

    def min_left_tokens(self, now: float) -> float:
        """Return the tokens that are certainly left to prefill, by the prompts awaited."""
        if not self._awaited:
            return 0.0
        self._remove_expired(now)
        return MIN_LEFT_SHARE * self._awaited_tokens

    def remove(self, prompt: tuple[str, int]) -> None:
        """Remove a prompt that the engine did not accept."""
        tokens, _ = self._awaited.pop(prompt, (0.0, 0.0))
        self._awaited_tokens = self._awaited_tokens - tokens if self._awaited else 0.0

    def finish(
        self, prompt: tuple[str, int], seconds: float, slowness: float, now: float
    ) -> SpeedSample | None:
        """Record the first event of a prompt.

        Args:
            prompt: its sender and number.
            seconds: time from its placement to the event.
            slowness: the slowness that the engine reported; 1 for none.
            now: the monotonic clock, in seconds.

        Returns:
            A sample of the engine's speed; None if more work is needed for one.
        """
        if prompt not in self._awaited:
            return None
        tokens, placed_at = self._awaited[prompt]
        self.remove(prompt)
        # A wrong duration must not extend the measured time into the future.
        done_at = min(now, placed_at + seconds)
        busy = max(0.0, done_at - self._measured_until)
        self._measured_until = max(self._measured_until, done_at)
        self._tokens += tokens
        self._seconds += busy
        self._usual_seconds += busy / slowness
        if self._tokens < SAMPLE_TOKENS:
            return None
        sample = SpeedSample(
            tokens=self._tokens, seconds=self._seconds, usual_seconds=self._usual_seconds
        )
        self._tokens = self._seconds = self._usual_seconds = 0.0
        return sample

    def _remove_expired(self, now: float) -> None:
        while self._awaited:
            prompt, (_, placed_at) = next(iter(self._awaited.items()))
            if now - placed_at <= MAX_AWAITED_SECONDS:
                return
            self.remove(prompt)
