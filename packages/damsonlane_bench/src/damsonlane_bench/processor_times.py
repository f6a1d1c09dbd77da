"""Processor times of the machine, to tell how much of a measurement the hypervisor took away."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final

#: Positions of the idle, iowait and steal times in the first line of ``/proc/stat``.
_IDLE: Final = (3, 4)
_STEAL: Final = 7


@dataclass(frozen=True, kw_only=True)
class ProcessorTimes:
    """Processor times of the whole machine since its boot, in clock ticks."""

    #: Time in which a processor ran, or was ready to run.
    non_idle: int
    #: Steal time: the hypervisor ran something else on a processor that was ready to run.
    steal: int

    def steal_share(self, earlier: "ProcessorTimes") -> float:
        """Return the steal time since an earlier reading, as a share of the non-idle time."""
        non_idle = self.non_idle - earlier.non_idle
        return (self.steal - earlier.steal) / non_idle if non_idle else 0.0


def read_processor_times() -> ProcessorTimes:
    """Return the current processor times of the machine."""
    line = Path("/proc/stat").read_text(encoding="ascii").splitlines()[0]
    fields = [int(field) for field in line.split()[1:]]
    idle = sum(fields[position] for position in _IDLE)
    return ProcessorTimes(non_idle=sum(fields) - idle, steal=fields[_STEAL])
