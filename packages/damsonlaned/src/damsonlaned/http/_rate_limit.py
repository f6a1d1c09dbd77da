"""The header by which a target names how many requests a second it takes."""

import logging
import math
from collections.abc import Sequence
from typing import Final

_LOG: Final = logging.getLogger(__name__)

#: Characters of a value that can't be understood which are logged.
_SHOWN_CHARACTERS: Final = 40


def read_rate_limit(values: Sequence[str]) -> float | None:
    """Return the requests a second that a target takes from all boxes; None where it names none.

    Of several values the least holds.  One that can't be understood names nothing, and is logged.

    Args:
        values: all values of the header, each a decimal number or several, by commas.
    """
    rates: list[float] = []
    for text in ",".join(values).split(",") if values else ():
        rate = _read_rate(text)
        if rate is None:
            _LOG.warning("header not understood", extra={"rate_limit": text[:_SHOWN_CHARACTERS]})
        else:
            rates.append(rate)
    return min(rates, default=None)


def _read_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
