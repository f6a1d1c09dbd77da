"""Read the header in which a response requests back-off."""

import logging
import math
import time
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from typing import Final

_LOG: Final = logging.getLogger(__name__)

#: Largest number of characters that are logged of an invalid value.
_MAX_LOGGED: Final = 40


def read_retry_after(value: str | None, sent_at: str | None = None) -> float:
    """Return the duration of the requested back-off, in seconds; 0 if none is requested.

    Source: RFC 9110, sections 10.2.3 and 5.6.7.  Fractions of a second are accepted as well.
    An invalid value is logged and ignored.

    Args:
        value: the header ``Retry-After``: a number of seconds or a date.
        sent_at: the header ``Date`` of the same response.  A date in ``value`` is compared with
            it, so that the clocks of two boxes need not agree; without it, with this box's clock.
    """
    if value is None:
        return 0.0
    try:
        seconds = _read_seconds(value, sent_at)
    except (ValueError, OverflowError):
        seconds = math.nan
    if not math.isfinite(seconds) or seconds < 0:
        _LOG.warning("ignored an invalid header", extra={"retry_after": value[:_MAX_LOGGED]})
        return 0.0
    return seconds


def _read_seconds(value: str, sent_at: str | None) -> float:
    """Return the seconds that a value requests, without a check of their range.

    Raises:
        ValueError: the value is neither a number nor a date.
    """
    try:
        return float(value)
    except ValueError:
        until = _read_date(value)
    now = _read_date(sent_at) if sent_at is not None else time.time()
    # A date that has passed requests nothing.
    return max(0.0, until - now)


def _read_date(text: str) -> float:
    """Return a date as Unix time, in seconds.

    Raises:
        ValueError: the text is not a date.
    """
    date: datetime = parsedate_to_datetime(text)
    return (date if date.tzinfo is not None else date.replace(tzinfo=UTC)).timestamp()
