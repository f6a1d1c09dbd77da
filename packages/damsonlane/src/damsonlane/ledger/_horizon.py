"""How long the ledger can vouch for a key."""

import uuid
from typing import Final

#: Seconds for which answers are kept and dated keys are accepted.
HORIZON_SECONDS: Final = 7 * 86_400.0

#: Version of the UUIDs (RFC 9562) that carry the time at which they were made.
_DATED_VERSION: Final = 7


def read_key_time(key: str) -> float | None:
    """Return when a key was made, in seconds since 1970, if the key says so.

    Keys that are UUIDs of version 7 carry their time.  Their records may be
    deleted past the horizon, because such a key is refused from then on.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _DATED_VERSION:
        return None
    return (parsed.int >> 80) / 1000.0
