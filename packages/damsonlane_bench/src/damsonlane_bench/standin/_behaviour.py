"""How a stand-in behaves; changed at run time by whoever tests."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, kw_only=True)
class Behaviour:
    """What a stand-in does with a request."""

    #: Seconds that a request takes, whatever its size.
    seconds: float = 0.005
    #: Further seconds for each thousand characters of input.
    seconds_per_thousand: float = 0.001
    #: Requests run at once; more wait their turn.
    slots: int = 4
    #: Seconds between tokens, for engines.
    token_seconds: float = 0.001
    #: Share of requests that fail after they ran, by counting: every n-th.
    fail_every: int = 0
    #: Every n-th answer is cut short.
    truncate_every: int = 0
    #: Every n-th answer names another request.
    cross_every: int = 0
    #: Every n-th request hangs up without any answer after it ran.
    hang_up_every: int = 0
    #: Whether every request is refused without running.
    is_refusing: bool = False
    #: Whether the stand-in is leaving: it refuses and says so.
    is_leaving: bool = False

    def with_fields(self, **fields: object) -> "Behaviour":
        """Return the behaviour with some fields changed."""
        return replace(self, **fields)  # type: ignore[arg-type]


def is_due(every: int, count: int) -> bool:
    """Tell whether something that happens every ``every``-th time happens this time."""
    return every > 0 and count % every == 0
