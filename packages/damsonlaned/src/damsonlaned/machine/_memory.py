"""The memory that this process may use."""

import contextlib
import os
import resource
from pathlib import Path
from typing import Final

from damsonlane.settings import Capacity

#: Limits of the control group of the process, as it sees them; cgroup version 2 and 1.
_GROUP_LIMITS: Final = (
    Path("/sys/fs/cgroup/memory.max"),
    Path("/sys/fs/cgroup/memory/memory.limit_in_bytes"),
)


def find_memory_bytes(capacity: Capacity | None) -> int:
    """Return the memory that this process may use, in bytes.

    Args:
        capacity: what the settings allow; None to take the limits of the process and its machine.
    """
    if capacity is not None:
        return capacity.memory_bytes
    limits = [os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")]
    soft_limit = resource.getrlimit(resource.RLIMIT_AS)[0]
    if soft_limit != resource.RLIM_INFINITY:
        limits.append(soft_limit)
    for path in _GROUP_LIMITS:
        # A group without a limit has the word "max" or no file.
        with contextlib.suppress(OSError, ValueError):
            limits.append(int(path.read_text()))
    return min(limits)
