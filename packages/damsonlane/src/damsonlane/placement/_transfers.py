"""Plans transfers of cached prompt segments between engines.

If the engine that caches a segment is busy or far from the other inputs of a prompt, transferring
the segment to another engine is much faster than prefilling it again.
"""

from collections.abc import Mapping
from typing import Final

from damsonlane.placement._engine import Engine
from damsonlane.placement._prompts import PlacementRequest
from damsonlane.records import dataclass

#: Minimum number of tokens that are transferred: starting a transfer takes about as long as
#: prefilling as many.
MIN_TRANSFER_TOKENS: Final = 64


@dataclass(frozen=True, kw_only=True)
class Transfer:
    """Segments of a prompt that one engine would fetch from another."""

    #: Name of the engine that has them; empty for no transfer.
    source: str = ""
    #: Tokens to transfer.
    tokens: int = 0
    #: When the transfer would be complete, by the monotonic clock.
    done_at: float = 0.0


NO_TRANSFER: Final = Transfer()


def plan_transfers(
    engines: Mapping[str, Engine],
    request: PlacementRequest,
    cached: Mapping[str, int],
    pace: float,
    now: float,
) -> Mapping[str, Transfer]:
    """Return what each engine would fetch from the one that has prefilled most of a prompt.

    Args:
        engines: the engines, by name.
        request: the prompt.
        cached: tokens of its shared segments that each engine has cached or is prefilling.
        pace: seconds per token of a transfer; a link carries one transfer at a time.
        now: the monotonic clock, in seconds.
    """
    prefilled = {
        name: engine.cache.count_prefilled(request.shared, now) for name, engine in engines.items()
    }
    # The best two of each version suffice: an engine does not fetch from itself, and another
    # version may store segments in another form.
    sources: dict[str, list[str]] = {}
    for name in sorted(engines, key=lambda name: -prefilled[name]):
        best = sources.setdefault(engines[name].version, [])
        if len(best) < 2:
            best.append(name)
    transfers: dict[str, Transfer] = {}
    for name, engine in engines.items():
        source = next((other for other in sources[engine.version] if other != name), "")
        tokens = prefilled.get(source, 0) - cached[name]
        if tokens < MIN_TRANSFER_TOKENS:
            transfers[name] = NO_TRANSFER
            continue
        begins_at = max(now, engine.link_free_at, engines[source].link_free_at)
        transfers[name] = Transfer(source=source, tokens=tokens, done_at=begins_at + tokens * pace)
    return transfers
