"""The descriptors that this process may use."""

import resource
from typing import Final

#: Part of the descriptors that connections of callers leave to targets, other boxes and files.
_RESERVED_SHARE: Final = 0.125
#: Descriptors that are reserved in addition, for connections that are accepted in one turn.
_ACCEPTED_AT_ONCE: Final = 32


def find_caller_descriptors() -> int:
    """Return the number of open descriptors from which callers' connections are closed."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return max(1, int((1 - _RESERVED_SHARE) * limit) - _ACCEPTED_AT_ONCE)
