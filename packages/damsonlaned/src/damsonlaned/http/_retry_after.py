"""The header by which an answer says when its sender wants to be asked again."""

import logging
import math
import time
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from typing import Final

_LOG: Final = logging.getLogger(__name__)

#: Characters of a value that can't be understood which are logged.
_SHOWN_CHARACTERS: Final = 40


def read_retry_after(value: str | None, sent_at: str | None = None) -> float:
    """Return for how many seconds a sender wants to be left alone; 0 where it does not say.

    Source: RFC 9110, sections 10.2.3 and 5.6.7.  Fractions of a second are taken as well.
    A value that can't be understood asks for nothing, and is logged.

    Args:
        value: the header ``Retry-After``: a number of seconds or a date.
        sent_at: the header ``Date`` of the same answer, from which a date counts, so that
            the clocks of two boxes need not agree; without it this box's clock counts.
    """
    if value is None:
        return 0.0
    try:
        seconds = _read_seconds(value, sent_at)
    except (ValueError, OverflowError):
        seconds = math.nan
    if not math.isfinite(seconds) or seconds < 0:
        _LOG.warning("header not understood", extra={"retry_after": value[:_SHOWN_CHARACTERS]})
        return 0.0
    return seconds


def _read_seconds(value: str, sent_at: str | None) -> float:
    """Return the seconds that a value asks for, unchecked.

    Raises:
        ValueError: it is neither a number nor a date.
    """
    try:
        return float(value)
    except ValueError:
        until = _read_date(value)
    now = _read_date(sent_at) if sent_at is not None else time.time()
    # A date that has passed asks for nothing.
    return max(0.0, until - now)


def _read_date(text: str) -> float:
    """Return a date in seconds since 1970.

    Raises:
        ValueError: it is no date.
    """
    date: datetime = parsedate_to_datetime(text)
    return (date if date.tzinfo is not None else date.replace(tzinfo=UTC)).timestamp()
