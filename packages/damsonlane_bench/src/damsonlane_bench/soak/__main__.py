"""``python -m damsonlane_bench.soak``: runs of the soak, by seeds or from a kept plan."""

import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import fire

from damsonlane.codec import decode_bytes, encode_text
from damsonlane_bench.soak import FleetSize, Plan, Soak, Verdict, draw_plan

#: Seconds for which callers send in one run, unless told otherwise.
SECONDS: Final = 20.0


def run(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = SECONDS,
    plan: str = "",
    folder: str = "run/soak",
    skip: str = "",
    controls: int = 3,
    entries: int = 2,
    targets: int = 2,
) -> None:
    """Play seeds one after the other and keep what failed.

    Args:
        seed: the first seed.
        seeds: how many to play.
        seconds: how long callers send in each.
        plan: file of a plan to play instead.
        folder: takes a plan for each run, and the logs of those that failed.
        skip: numbers of faults to leave out, joined by semicolons, to shrink a plan.
        controls: control replicas.
        entries: entries.
        targets: targets of each of the three services.
    """
    kept = Path(folder)
    kept.mkdir(parents=True, exist_ok=True)
    failed = 0
    size = FleetSize(controls=controls, entries=entries, targets=targets)
    if plan:
        plans = [_read_plan(plan, str(skip))]
    else:
        plans = [draw_plan(seed + number, seconds, size) for number in range(seeds)]
    for plan_to_play in plans:
        verdict = _play(plan_to_play, kept)
        failed += bool(verdict.breaches)
    print(f"{len(plans) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _read_plan(plan: str, skip: str) -> Plan:
    """Return a plan from its file, without some of its faults."""
    read = decode_bytes(Path(plan).read_bytes(), Plan)
    left_out = {int(number) for number in skip.split(";") if number}
    faults = tuple(fault for index, fault in enumerate(read.faults) if index not in left_out)
    return read.with_faults(faults)


def _play(plan: Plan, kept: Path) -> Verdict:
    """Play a plan that was written before; keep its folder if it failed."""
    (kept / f"{plan.seed}.json").write_text(encode_text(plan, Plan), encoding="utf-8")
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory() as scratch:
        verdict = Soak(plan, Path(scratch)).run()
        if verdict.breaches:
            target = kept / f"{plan.seed}-logs"
            target.mkdir(exist_ok=True)
            for log in Path(scratch).glob("*.log"):
                (target / log.name).write_bytes(log.read_bytes())
    print(
        f"seed {plan.seed}: {len(plan.faults)} faults, answers {json.dumps(verdict.statuses)}, "
        f"{verdict.deadly_ends} targets ended under the deadly request, "
        f"{time.monotonic() - began_at:.0f} s, {len(verdict.breaches)} promises broken",
        flush=True,
    )
    for breach in verdict.breaches:
        print(f"  {breach.promise}: {breach.seen}", flush=True)
    return verdict


if __name__ == "__main__":
    fire.Fire(run)
