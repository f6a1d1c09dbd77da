"""Measures the cost of control at several fleet sizes: ``python -m damsonlane_bench.capacity``.

Starts fleets of real processes without requests, and measures them both idle and with about one
settings change per second.  Reads processor time and memory from the system, messages and bytes
from the metrics of each process.
"""

import json
import statistics
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

import fire
from tabulate import tabulate

from damsonlane_bench.fleet import Box, Fleet, send, wait_until
from damsonlane_bench.operator import OperatorLoop

#: Clock ticks per second in ``/proc``.
_TICKS_PER_SECOND: Final = 100.0
#: Length of each measurement, in seconds.
_MEASUREMENT_SECONDS: Final = 12.0
#: Number of changes whose propagation time is measured.
_PROPAGATED_CHANGES: Final = 10


@dataclass(frozen=True, kw_only=True)
class Reading:
    """Counters of one process at one moment."""

    #: Processor time used, in seconds.
    processor: float
    #: Messages between boxes, sent and received.
    messages: float
    #: Bytes of these messages, sent and received.
    bytes: float
    #: Resident memory, in bytes.
    memory: int


@dataclass(frozen=True, kw_only=True)
class Cost:
    """Cost of one process during one measurement."""

    #: Number of entries of the fleet.
    entries: int
    #: Whether settings were being changed.
    is_changing: bool
    #: Role of the process: ``entry``, ``control`` or ``control leader``.
    role: str
    #: Processor usage, in per cent of one core.
    processor: float
    #: Messages per second, sent and received.
    messages: float
    #: Bytes per second, sent and received.
    bytes: float
    #: Resident memory, in MiB.
    memory: float


def measure(sizes: Sequence[int] = (8, 24, 48), repeats: int = 3, output: str = "") -> None:
    """Measure fleets of several sizes and print a table with fitted slopes.

    Args:
        sizes: number of entries of each fleet.
        repeats: number of measurements at each size, idle and with changes.
        output: file that receives all measurements as JSON.
    """
    costs: list[Cost] = []
    for size in sizes:
        with (
            tempfile.TemporaryDirectory() as folder,
            Fleet(Path(folder), entries=size, election_seconds=1.0) as fleet,
        ):
            fleet.start_control_group()
            fleet.start_entries()
            costs += _measure_fleet(fleet, size, repeats)
    if output:
        Path(output).write_text(json.dumps([asdict(cost) for cost in costs], indent=1))
    print(tabulate(_tabulate(costs, sizes), headers="keys", tablefmt="github", floatfmt=".3f"))


def _measure_fleet(fleet: Fleet, size: int, repeats: int) -> list[Cost]:
    operators = OperatorLoop(fleet)
    operators.change(1)
    costs: list[Cost] = []
    for _ in range(repeats):
        costs += _measure_once(fleet, operators, size, is_changing=False)
        costs += _measure_once(fleet, operators, size, is_changing=True)
    print(f"{size} entries: in force everywhere after {_measure_propagation(fleet, operators)}")
    operators.close()
    return costs


def _measure_once(
    fleet: Fleet, operators: OperatorLoop, size: int, *, is_changing: bool
) -> list[Cost]:
    leader = next(status.box for status in operators.statuses() if status.standing == "leader")
    time.sleep(1.0)
    before = {box.name: _read_counters(fleet, box) for box in fleet.boxes.values()}
    began_at = time.monotonic()
    while time.monotonic() - began_at < _MEASUREMENT_SECONDS:
        if is_changing:
            operators.change(1)
        time.sleep(1.0)
    seconds = time.monotonic() - began_at
    costs = []
    for box in fleet.boxes.values():
        role = "control leader" if box.name == leader else box.role
        after = _read_counters(fleet, box)
        costs.append(_compute_cost(before[box.name], after, seconds, size, is_changing, role))
    return costs


def _read_counters(fleet: Fleet, box: Box) -> Reading:
    pid = fleet.processes[box.name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    memory = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    text = send("GET", f"http://{box.admin_address}/metrics").body
    return Reading(
        processor=(int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND,
        messages=_sum_metrics(text, "damsonlane_rpc_messages{"),
        bytes=_sum_metrics(text, "damsonlane_rpc_bytes{"),
        memory=int(memory.split()[1]) * 1024,
    )


def _sum_metrics(text: str, prefix: str) -> float:
    return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith(prefix))


def _compute_cost(
    before: Reading, after: Reading, seconds: float, size: int, is_changing: bool, role: str
) -> Cost:
    return Cost(
        entries=size,
        is_changing=is_changing,
        role=role,
        processor=100 * (after.processor - before.processor) / seconds,
        messages=(after.messages - before.messages) / seconds,
        bytes=(after.bytes - before.bytes) / seconds,
        memory=after.memory / 2**20,
    )


def _measure_propagation(fleet: Fleet, operators: OperatorLoop) -> str:
    """Return a description of how long changes take until all entries have them in force."""
    accepted, propagated = [], []
    for _ in range(_PROPAGATED_CHANGES):
        began_at = time.monotonic()
        operators.change(1)
        accepted.append(time.monotonic() - began_at)
        version = max(operators.accepted)

        def is_everywhere(version: int = version) -> bool:
            reached = {
                box.box: box.version for status in operators.statuses() for box in status.boxes
            }
            return all(reached.get(box.name, 0) >= version for box in fleet.entries())

        wait_until(is_everywhere, "all entries have the change in force")
        propagated.append(time.monotonic() - began_at)
    return (
        f"{statistics.median(propagated):.3f} s (worst {max(propagated):.3f} s), "
        f"accepted after {statistics.median(accepted):.3f} s (worst {max(accepted):.3f} s)"
    )


def _tabulate(costs: Sequence[Cost], sizes: Sequence[int]) -> list[dict[str, Any]]:
    rows = []
    for role in ("entry", "control", "control leader"):
        for is_changing in (False, True):
            for figure in ("processor", "messages", "bytes", "memory"):
                rows.append(_fit(costs, sizes, role, is_changing, figure))
    return rows


def _fit(
    costs: Sequence[Cost], sizes: Sequence[int], role: str, is_changing: bool, figure: str
) -> dict[str, Any]:
    """Return medians by size, the slope per entry and the value extrapolated to 350 entries."""
    chosen = [c for c in costs if c.role == role and c.is_changing == is_changing]
    row: dict[str, Any] = {"role": role, "changing": is_changing, "figure": figure}
    for size in sizes:
        values = [getattr(cost, figure) for cost in chosen if cost.entries == size]
        row[f"at {size}"] = statistics.median(values)
        row[f"spread {size}"] = max(values) - min(values)
    line = statistics.linear_regression(
        [cost.entries for cost in chosen], [getattr(cost, figure) for cost in chosen]
    )
    row["slope per entry"] = line.slope
    row["at 350"] = line.intercept + line.slope * 350
    return row


if __name__ == "__main__":
    fire.Fire(measure)
