"""Plausibility of the capacities that boxes report."""

import math
from typing import Final

#: Largest plausible capacity, in cores; the settings of a box have the same limit.
MAX_CORES: Final = 1024.0


def is_plausible_capacity(cores: float) -> bool:
    """Return whether a box may have a capacity; 0, for an unknown one, is plausible."""
    return math.isfinite(cores) and 0.0 <= cores <= MAX_CORES
