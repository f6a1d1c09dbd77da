"""How long the ledger remembers keys, and the time at which a key was created."""

import uuid
from typing import Final

#: Seconds for which answers are stored and keys with a timestamp are accepted.
HORIZON_SECONDS: Final = 7 * 86_400.0

#: Version of the UUIDs (RFC 9562) that contain the time of their creation.
_TIMESTAMP_VERSION: Final = 7


def read_key_time(key: str) -> float | None:
    """Return when a key was created, in seconds since 1970; None if it has no timestamp.

    Keys that are UUIDs of version 7 have a timestamp.  Their records may be deleted after the
    horizon, because such a key is refused from then on.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _TIMESTAMP_VERSION:
        return None
    return (parsed.int >> 80) / 1000.0
