"""The targets of one stage pool, as the owner of the pool knows them."""

from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.pools import Offer, ResultRoom, YieldedWork
from damsonlane.routes import PoolTraits
from damsonlane.targets import TargetRecord
from damsonlaned.gateway._rate_limits import ServiceLimits

#: Seconds for which a target is left alone after a failed call; doubled each time.
FIRST_REST_SECONDS: Final = 0.5
#: Longest rest.
LONGEST_REST_SECONDS: Final = 8.0
#: Times the expected time of a call from which on a target counts as slow.
SLOW_PACE: Final = 2.2
#: Times the expected time of a call up to which a target is prompt: it worked on
#: the call as soon as it had it, without one of another box before.
PROMPT_PACE: Final = 1.3
#: Seconds for which a slow target is left alone while others work at their usual pace.
SLOW_REST_SECONDS: Final = 2.0
#: Seconds for which a target that was full is left alone.
FULL_REST_SECONDS: Final = 0.15


class Maker:
    """One target of the pool; mutable, owned by the owner.

    Args:
        record: what is registered of the target.
        traits: what the document says of the pool.
        find_left: returns for how many seconds the target wants nothing from this box.
        limits: rate limits that targets named; None where none is known.
    """

    def __init__(
        self,
        record: TargetRecord,
        traits: PoolTraits,
        find_left: Callable[[TargetStart], float] = lambda _: 0.0,
        limits: ServiceLimits | None = None,
    ) -> None:
        self._limits: Final = limits
        self.name: Final = record.target
        self.named: Final = TargetStart.of(record)
        self.start: Final = record.start
        self.address: Final = record.address
        self.data_centre: Final = record.data_centre
        self.room: Final = ResultRoom(traits.room_bytes, traits.keep_seconds)
        #: Calls in a row that failed.
        self.failures = 0
        #: When it may be sent a call again.
        self.rests_until = 0.0
        self._find_left: Final = find_left
        #: Whether its last call took its usual time, so that it probably begins the
        #: next one at once as well.
        self.is_prompt = False
        self._is_busy = False
        #: When its call should end, while it is busy.
        self._free_at = 0.0

    def is_free(self, now: float) -> bool:
        """Tell whether it may be sent a call."""
        return not self._is_busy and self.works(now) and self.rate_wait_seconds() <= 0

    def works(self, now: float) -> bool:
        """Tell whether it is left alone neither after failures nor because it asks for it."""
        return now >= self.rests_until and self.backoff_seconds() <= 0

    def backoff_seconds(self) -> float:
        """Return for how long it wants nothing from this box."""
        return self._find_left(self.named)

    def rate_wait_seconds(self) -> float:
        """Return the seconds until its rate limit lets it have one more call."""
        return self._limits.wait_seconds(self.named) if self._limits is not None else 0.0

    def gap_seconds(self) -> float:
        """Return the least seconds from one call to the next, by its rate limit."""
        return self._limits.gap_seconds(self.named) if self._limits is not None else 0.0

    def take_permit(self) -> bool:
        """Count a call that is sent to it; tell whether it may be."""
        return self._limits is None or self._limits.take_permit(self.named)

    def reads_at_once(self, now: float) -> bool:
        """Tell whether it will read the inputs of a call at once and have room for the results."""
        return self.is_prompt and not self.room.was_refused_lately(now)

    def wait_seconds(self, now: float) -> float:
        """Return the seconds until it may be sent a call, as far as is known."""
        left = max(0.0, self._free_at - now) if self._is_busy else 0.0
        return max(left, self.rate_wait_seconds())

    def note_call(self, announced: int, free_at: float) -> None:
        """Note a call that begins now.

        Args:
            announced: bytes of the results that it will leave there.
            free_at: when it should end.
        """
        self.room.announce(announced)
        self._is_busy = True
        self._free_at = free_at

    def note_end(self, announced: int, made: dict[str, int], now: float) -> None:
        """Note the end of a call, with the sizes of its results by handle."""
        self._is_busy = False
        self.room.settle(announced, made, now)

    def note_pace(self, pace: float, now: float) -> None:
        """Note a call that took ``pace`` times as long as expected."""
        self.failures = 0
        self.is_prompt = pace <= PROMPT_PACE
        if pace > SLOW_PACE:
            self.rests_until = now + SLOW_REST_SECONDS

    def note_failure(self, now: float) -> None:
        """Leave it alone for a while."""
        rest = min(LONGEST_REST_SECONDS, FIRST_REST_SECONDS * 2**self.failures)
        self.failures += 1
        self.is_prompt = False
        self.rests_until = now + rest

    def note_full(self, now: float) -> None:
        """Leave it alone until calls of other boxes are through."""
        self.is_prompt = False
        self.rests_until = now + FULL_REST_SECONDS


class Makers:
    """All targets of the pool.

    Args:
        find_left: returns for how many seconds a target wants nothing from this box.
        limits: rate limits that targets named.
    """

    def __init__(self, find_left: Callable[[TargetStart], float], limits: ServiceLimits) -> None:
        self._limits: Final = limits
        self._find_left: Final = find_left
        self._makers: dict[str, Maker] = {}
        #: What the pool makes while more waits than fits.
        self.yielded: Final = YieldedWork()

    def update(self, records: Sequence[TargetRecord], traits: PoolTraits) -> None:
        """Follow the registered targets; those that stay are known as before."""
        present = {record.target: record for record in records if record.standing != "leaving"}
        for gone in set(self._makers) - set(present):
            del self._makers[gone]
        for name, record in present.items():
            known = self._makers.get(name)
            if known is None or known.start != record.start:
                self._makers[name] = Maker(record, traits, self._find_left, self._limits)

    def everyone(self) -> tuple[Maker, ...]:
        """Return all targets, the one known longest first."""
        return tuple(self._makers.values())

    def free(self, now: float) -> list[Maker]:
        """Return those that may be sent a call, the most reliable first.

        Those with rate limits come last: what they take is kept for when the others are busy.
        """
        free = [maker for maker in self._makers.values() if maker.is_free(now)]
        return sorted(free, key=lambda maker: (maker.failures, maker.gap_seconds(), maker.name))

    def find_return_seconds(self) -> float:
        """Return for how long all targets want nothing from this box; 0 if one takes calls."""
        return min((maker.backoff_seconds() for maker in self._makers.values()), default=0.0)

    def shorten_rests(self, now: float) -> None:
        """Let all work again soon if all rest, since the fault is probably not theirs then.

        What they asked for themselves stays.
        """
        if any(maker.works(now) for maker in self._makers.values()):
            return
        for maker in self._makers.values():
            maker.rests_until = min(maker.rests_until, now + FULL_REST_SECONDS)

    def look_seconds(self, now: float) -> float:
        """Return the seconds after which to look again for one that may be sent a call."""
        rests = [maker.rests_until - now for maker in self._makers.values()]
        return min([*(rest for rest in rests if rest > 0), FULL_REST_SECONDS])

    def make_offer(self, maker: Maker | None, traits: PoolTraits, now: float) -> Offer:
        """Return what a target, among the others, can take from the queue.

        Args:
            maker: the target, or None for what the pool as a whole can do.
            traits: what the document says of the pool.
            now: the time by the loop's clock.
        """
        working = [other for other in self._makers.values() if other.works(now)]
        gaps = tuple(other.gap_seconds() for other in working)
        return Offer(
            data_centre=maker.data_centre if maker is not None else "",
            room=maker.room.free_bytes(now) if maker is not None else 0,
            free_in=_find_waits(working, now),
            busy_seconds=tuple(other.wait_seconds(now) for other in working),
            batch=traits.batch,
            call_seconds=traits.call_seconds,
            piece_seconds=traits.piece_seconds,
            yielded_share=self.yielded.share(),
            return_seconds=self.find_return_seconds(),
            gap_seconds=gaps if any(gaps) else (),
        )


def _find_waits(makers: Sequence[Maker], now: float) -> dict[str, float]:
    """Return for each data centre the seconds until one of its targets is free."""
    waits: dict[str, float] = {}
    for maker in makers:
        wait = maker.wait_seconds(now)
        waits[maker.data_centre] = min(waits.get(maker.data_centre, wait), wait)
    return waits
