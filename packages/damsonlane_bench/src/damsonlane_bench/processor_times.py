"""What the machine itself did during a measurement."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final

#: Positions in the first line of the system's processor accounting.
_IDLE: Final = (3, 4)
_STOLEN: Final = 7


@dataclass(frozen=True, kw_only=True)
class ProcessorTimes:
    """Processor time of the whole machine since its start, in clock ticks."""

    #: Time in which a processor worked, or would have if it had been there.
    wanted: int
    #: Time in which a processor was taken away by the machine's host.
    stolen: int

    def stolen_share(self, earlier: "ProcessorTimes") -> float:
        """Return the share of the wanted time that was taken away since an earlier reading."""
        wanted = self.wanted - earlier.wanted
        return (self.stolen - earlier.stolen) / wanted if wanted else 0.0


def read_processor_times() -> ProcessorTimes:
    """Return the machine's processor times now."""
    line = Path("/proc/stat").read_text(encoding="ascii").splitlines()[0]
    fields = [int(field) for field in line.split()[1:]]
    idle = sum(fields[position] for position in _IDLE)
    return ProcessorTimes(wanted=sum(fields) - idle, stolen=fields[_STOLEN])
