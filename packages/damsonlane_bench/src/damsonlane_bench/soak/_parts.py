"""Parts of a soak run that some seeds switch on."""

import random
from dataclasses import dataclass
from typing import Final

#: Probability that a seed switches a part on: most runs have some parts, and all combinations occur
#: within a few dozen seeds.
_PROBABILITY: Final = 0.6


@dataclass(frozen=True, kw_only=True)
class Parts:
    """Parts that a run has; none in plan files that were stored before there were parts."""

    #: Targets report their load, with slow periods and implausible reports.
    has_reported_load: bool = False


def draw_parts(seed: int) -> Parts:
    """Return the parts of a seed; each is drawn alone, so a new one does not change the others."""
    return Parts(has_reported_load=_draw("reported load", seed))


def _draw(part: str, seed: int) -> bool:
    return random.Random(f"{part} {seed}").random() < _PROBABILITY
