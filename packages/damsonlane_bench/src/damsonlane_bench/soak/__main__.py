"""``python -m damsonlane_bench.soak``: runs the soak for seeds or from a stored plan."""

import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import fire

from damsonlane.codec import decode_bytes, encode_text
from damsonlane_bench.soak import CUT_KINDS, FleetSize, Plan, SoakResult, SoakRun, draw_plan

#: Default length of one run, in seconds.
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
    """Run the soak for consecutive seeds and store the logs of failed runs.

    Args:
        seed: first seed.
        seeds: number of seeds.
        seconds: length of each run.
        plan: file of a plan to run instead.
        folder: receives the plan of each run, and the logs of failed ones.
        skip: indices of faults to leave out of the plan file, separated by semicolons.
        controls: number of control replicas.
        entries: number of entries.
        targets: number of targets of each of the three services.
    """
    output_folder = Path(folder)
    output_folder.mkdir(parents=True, exist_ok=True)
    failed = 0
    size = FleetSize(controls=controls, entries=entries, targets=targets)
    if plan:
        plans = [_read_plan(plan, str(skip))]
    else:
        plans = [draw_plan(seed + number, seconds, size) for number in range(seeds)]
    for plan_to_run in plans:
        result = _run_plan(plan_to_run, output_folder)
        failed += bool(result.violations)
    print(f"{len(plans) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _read_plan(path: str, skip: str) -> Plan:
    """Return the plan in a file, without the faults whose indices are to be skipped."""
    plan = decode_bytes(Path(path).read_bytes(), Plan)
    skipped = {int(number) for number in skip.split(";") if number}
    faults = tuple(fault for index, fault in enumerate(plan.faults) if index not in skipped)
    return plan.with_faults(faults)


def _run_plan(plan: Plan, output_folder: Path) -> SoakResult:
    """Write the plan to the folder, run it, and copy the logs if it failed."""
    (output_folder / f"{plan.seed}.json").write_text(encode_text(plan, Plan), encoding="utf-8")
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory() as scratch:
        result = SoakRun(plan, Path(scratch)).run()
        if result.violations:
            log_folder = output_folder / f"{plan.seed}-logs"
            log_folder.mkdir(exist_ok=True)
            for log in Path(scratch).glob("*.log"):
                (log_folder / log.name).write_bytes(log.read_bytes())
    print(
        f"seed {plan.seed}: {len(plan.faults)} faults, responses {json.dumps(result.statuses)}, "
        f"{result.crash_count} targets exited on crash requests, "
        f"{_describe_parts(result)}"
        f"{time.monotonic() - began_at:.0f} s, {len(result.violations)} violations",
        flush=True,
    )
    for violation in result.violations:
        print(f"  {violation.guarantee}: {violation.detail}", flush=True)
    return result


def _describe_parts(result: SoakResult) -> str:
    """Return what the parts that the seed switches on did; empty if it switches none on."""
    texts = []
    if result.plan.parts.has_reported_load:
        texts.append(
            f"{result.slow_reports} slow and {result.implausible_reports} implausible loads, "
        )
    if result.plan.parts.has_stalled_readers:
        texts.append(f"{result.stalled_reads} stalled reads of which {result.cut_reads} cut off, ")
    if result.plan.parts.has_organisations:
        texts.append(f"{sum(fault.kind == 'surge' for fault in result.plan.faults)} surges, ")
    if result.plan.parts.has_cuts:
        cuts = sum(fault.kind in CUT_KINDS for fault in result.plan.faults)
        texts.append(f"{cuts} cuts, {result.relayed} requests passed on, ")
    if result.plan.parts.has_rejection_limits:
        texts.append(f"{result.falls} falls, ")
    if result.plan.parts.has_versions:
        tries = result.resumed + result.refused_tries
        texts.append(f"{result.resumed} of {tries} streams went on at their version, ")
    if result.plan.parts.capacities:
        cores = ", ".join(f"{cores:g}" for cores in result.plan.parts.capacities)
        texts.append(f"entries of {cores} cores, ")
    return "".join(texts)


if __name__ == "__main__":
    fire.Fire(run)
