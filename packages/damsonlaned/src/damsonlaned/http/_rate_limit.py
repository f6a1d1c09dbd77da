"""Read headers in which a target announces a limit, as a number a second of all boxes."""

import logging
import math
from collections.abc import Sequence
from typing import Final

_LOG: Final = logging.getLogger(__name__)

#: Largest number of characters that are logged of an invalid value.
_MAX_LOGGED: Final = 40


def read_rate_limit(values: Sequence[str]) -> float | None:
    """Return the announced limit for all boxes together, as a number a second; None if absent.

    Of several values the least one holds.  Invalid values are logged and ignored.

    Args:
        values: all values of the header, each a decimal number or several, separated by commas.
    """
    rates: list[float] = []
    for text in ",".join(values).split(",") if values else ():
        rate = _read_rate(text)
        if rate is None:
            _LOG.warning("ignored an invalid header", extra={"limit": text[:_MAX_LOGGED]})
        else:
            rates.append(rate)
    return min(rates, default=None)


def _read_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
