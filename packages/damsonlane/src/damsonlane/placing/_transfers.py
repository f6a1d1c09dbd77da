"""Taking shared parts of a prompt from an engine that has read them.

Answers a part that many prompts share while the engine that keeps it is busy, or stands far
from their other inputs: moving it takes a tenth of the time that reading it once more does.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from damsonlane.placing._engine import Engine
from damsonlane.placing._prompts import PromptOrder

#: Fewest tokens that are moved: a move takes some milliseconds to begin, in which an engine
#: reads about as many.
LEAST_MOVED_TOKENS: Final = 64


@dataclass(frozen=True, kw_only=True)
class Move:
    """Parts of a prompt that one engine would take from another."""

    #: Name of the engine that has read them; empty for none.
    source: str = ""
    #: Tokens to move.
    tokens: int = 0
    #: When they would be there, by the monotonic clock.
    done_at: float = 0.0


#: What an engine does that keeps as much as any other.
NO_MOVE: Final = Move()


def plan_moves(
    engines: Mapping[str, Engine],
    order: PromptOrder,
    kept: Mapping[str, int],
    pace: float,
    now: float,
) -> Mapping[str, Move]:
    """Return what each engine would take from the one that has read most of a prompt.

    Args:
        engines: the engines, by name.
        order: the prompt.
        kept: tokens of its shared parts that each engine keeps or is reading.
        pace: seconds in which a link moves a token; links make one move after another.
        now: the time by the monotonic clock.
    """
    read = {name: engine.kept.count_read(order.shared, now) for name, engine in engines.items()}
    # Two are enough: none takes from itself.
    sources = sorted(engines, key=lambda name: -read[name])[:2]
    moves: dict[str, Move] = {}
    for name, engine in engines.items():
        source = next((other for other in sources if other != name), "")
        tokens = read.get(source, 0) - kept[name]
        if tokens < LEAST_MOVED_TOKENS:
            moves[name] = NO_MOVE
            continue
        begins_at = max(now, engine.link_free_at, engines[source].link_free_at)
        moves[name] = Move(source=source, tokens=tokens, done_at=begins_at + tokens * pace)
    return moves
