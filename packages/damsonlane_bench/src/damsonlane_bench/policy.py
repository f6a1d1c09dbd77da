"""Measures routing policies under load and faults: ``python -m damsonlane_bench.policy``.

Each scenario runs all policies one after the other on the same fleet and with the same seeds, so
that they are compared under equal conditions.
"""

import json
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

import fire
from tabulate import tabulate

from damsonlane_bench.fleet import Fleet
from damsonlane_bench.load import (
    ClassSummary,
    LoadProfile,
    Outcome,
    RequestClass,
    plan_arrivals,
    send_arrivals,
    summarize,
)
from damsonlane_bench.processor_times import read_processor_times
from damsonlane_bench.settings_trees import STAGES, digest_token, make_pipeline, make_services

_TOKENS: Final = {"merchants": "merchants-token", "bureau": "bureau-token"}
POLICIES: Final = ("random", "round-robin", "least-in-flight", "predicted", "paced")
#: Request classes of both organisations, mixed.
CLASSES: Final = (
    RequestClass(name="lookup", share=0.45, token=_TOKENS["merchants"], pipeline="lookup",
                 length=50, deadline_ms=1000),
    RequestClass(name="confirm", share=0.05, token=_TOKENS["merchants"], pipeline="confirm",
                 length=50, deadline_ms=2000, is_at_most_once=True),
    RequestClass(name="statement", share=0.30, token=_TOKENS["merchants"], pipeline="statement",
                 length=400, deadline_ms=3000),
    RequestClass(name="subtitle", share=0.15, token=_TOKENS["bureau"], pipeline="subtitle",
                 length=100, deadline_ms=3000),
    RequestClass(name="dossier", share=0.05, token=_TOKENS["bureau"], pipeline="dossier",
                 length=8000, deadline_ms=3000),
)  # fmt: skip
#: Number of engines, and of targets of each other service.
_ENGINE_COUNT: Final = 6
_WORKER_COUNT: Final = 4
#: Behaviour of the stand-ins of engines and of other targets.
_ENGINE_BEHAVIOUR: Final = {"slots": 2, "seconds": 0.06, "token_seconds": 0.004}
_WORKER_BEHAVIOUR: Final = {"slots": 2, "seconds": 0.01, "seconds_per_thousand": 0.004}
#: Capacity of the fleet in requests per second, limited by the engines, which half of all requests
#: need.
CAPACITY: Final = 150.0


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Load and fault of one measurement."""

    #: Name in the results.
    name: str
    #: Rates of the load over time.
    load: LoadProfile
    #: Injects the fault; called when the load starts.
    inject_fault: Callable[[Fleet], None] = lambda _: None
    #: Ends the fault; called after the load.
    end_fault: Callable[[Fleet], None] = lambda _: None


def _slow_down_engine(fleet: Fleet) -> None:
    slow = {name: value * 10 for name, value in _ENGINE_BEHAVIOUR.items() if name != "slots"}
    fleet.change_behaviour("generate-1", **slow)


def _restore_engine(fleet: Fleet) -> None:
    fleet.change_behaviour("generate-1", **_ENGINE_BEHAVIOUR)


def _slow_down_stage(fleet: Fleet) -> None:
    for number in range(_WORKER_COUNT):
        fleet.change_behaviour(f"rerank-{number + 1}", seconds=0.05)


def _restore_stage(fleet: Fleet) -> None:
    for number in range(_WORKER_COUNT):
        fleet.change_behaviour(f"rerank-{number + 1}", **_WORKER_BEHAVIOUR)


def _delayed(seconds: float, action: Callable[[Fleet], None]) -> Callable[[Fleet], None]:
    def schedule(fleet: Fleet) -> None:
        threading.Timer(seconds, action, [fleet]).start()

    return schedule


def _break_engine(fleet: Fleet) -> None:
    fleet.change_behaviour("generate-2", hang_up_every=1, is_refusing=True)


def _repair_engine(fleet: Fleet) -> None:
    fleet.change_behaviour("generate-2", hang_up_every=0, is_refusing=False)


def _kill_entry(fleet: Fleet) -> None:
    fleet.kill("entry-6")


def _restart_entry(fleet: Fleet) -> None:
    fleet.start("entry-6")
    fleet.wait_ready(fleet.boxes["entry-6"])


def _steady_load(share: float) -> LoadProfile:
    rate = CAPACITY * share
    return LoadProfile(base_rate=rate, peak_rate=rate, before=0, during=8, after=0)


_STEP: Final = LoadProfile(
    base_rate=CAPACITY * 0.3, peak_rate=CAPACITY * 2.0, before=2, during=6, after=2
)
SCENARIOS: Final = (
    Scenario(name="calm at 50%", load=_steady_load(0.5)),
    Scenario(name="80%", load=_steady_load(0.8)),
    Scenario(
        name="80%, one engine ten times slower",
        load=_steady_load(0.8),
        inject_fault=_slow_down_engine,
        end_fault=_restore_engine,
    ),
    Scenario(name="wave to 200%", load=_STEP),
    Scenario(
        name="wave, rerank five times slower",
        load=_STEP,
        inject_fault=_slow_down_stage,
        end_fault=_restore_stage,
    ),
    Scenario(
        name="wave, an engine fails in it",
        load=_STEP,
        inject_fault=_delayed(4.0, _break_engine),
        end_fault=_repair_engine,
    ),
    Scenario(
        name="wave, an entry killed in it",
        load=_STEP,
        inject_fault=_delayed(4.0, _kill_entry),
        end_fault=_restart_entry,
    ),
)


def start_fleet(folder: Path, entries: int = 6, **policy: Any) -> Fleet:
    """Start a fleet with stand-ins for all services.

    Args:
        folder: receives settings, data and logs.
        entries: number of entries.
        policy: policy settings at the root of the settings tree.
    """
    fleet = Fleet(folder, entries=entries, with_tls=True)
    for service in (*STAGES, "terminal", "lookup"):
        is_engine = service == "generate"
        behaviour = _ENGINE_BEHAVIOUR if is_engine else _WORKER_BEHAVIOUR
        for number in range(_ENGINE_COUNT if is_engine else _WORKER_COUNT):
            fleet.start_standin(f"{service}-{number + 1}", **behaviour)
    fleet.start_control_group()
    fleet.start_entries()
    fleet.wait_standins()
    fleet.apply_settings(_make_tree(fleet.standins, policy))
    return fleet


def _make_tree(addresses: dict[str, str], policy: dict[str, Any]) -> dict[str, Any]:
    merchants = {
        "statement": make_pipeline(*STAGES),
        "lookup": make_pipeline("lookup", lane="lookup"),
        "confirm": make_pipeline("terminal", repeatable=False, lane="lookup"),
    }
    bureau = {
        "subtitle": make_pipeline("generate"),
        "dossier": make_pipeline(*STAGES, lane="bulk"),
    }
    return {
        "policy": {"deadline_seconds": 3.0, "in_flight": 60, **policy},
        "services": make_services(addresses, "fukuoka-a"),
        "organisations": {
            name: {"token_digests": [digest_token(_TOKENS[name])], "pipelines": pipelines}
            for name, pipelines in (("merchants", merchants), ("bureau", bureau))
        },
    }


def run_once(fleet: Fleet, scenario: Scenario, name: str, seed: int) -> tuple[Outcome, ...]:
    """Run a scenario once and return the outcomes of its requests.

    Args:
        fleet: fleet to load.
        scenario: load and fault.
        name: name of the run.
        seed: seed of the arrivals.
    """
    arrivals = plan_arrivals(scenario.load, CLASSES, seed)
    entries = [box.caller_address for box in fleet.entries()]
    outcomes = send_arrivals(arrivals, entries, name, lambda: scenario.inject_fault(fleet))
    scenario.end_fault(fleet)
    return outcomes


def count_at_most_once_violations(fleet: Fleet, outcomes: tuple[Outcome, ...]) -> tuple[int, int]:
    """Return how many non-repeatable requests ran twice, and how many ran despite "not run"."""
    runs: dict[str, int] = {}
    for number in range(_WORKER_COUNT):
        for execution in fleet.read_executions(f"terminal-{number + 1}"):
            runs[execution["request"]] = runs.get(execution["request"], 0) + execution["count"]
    non_repeatable = [outcome for outcome in outcomes if outcome.key and outcome.request]
    duplicates = sum(1 for outcome in non_repeatable if runs.get(outcome.request, 0) > 1)
    false_refusals = sum(
        1 for o in non_repeatable if o.kind == "not-run" and runs.get(o.request, 0) > 0
    )
    return duplicates, false_refusals


def measure(
    repeats: int = 3, policies: str = ",".join(POLICIES), only: str = "", output: str = ""
) -> None:
    """Measure all scenarios and print a table.

    Args:
        repeats: number of runs of each policy in each scenario, with seeds 1, 2, ...
        policies: names of policies, separated by commas.
        only: run only scenarios whose names contain this text.
        output: file that receives all measurements as JSON.
    """
    names = policies if isinstance(policies, (tuple, list)) else policies.split(",")
    rows: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory() as folder, start_fleet(Path(folder)) as fleet:
        for scenario in SCENARIOS:
            if str(only) not in scenario.name:
                continue
            for seed in range(1, repeats + 1):
                for policy in names:
                    rows.append(_measure_policy(fleet, scenario, policy, seed))
                    print(json.dumps(rows[-1]["line"]), flush=True)
    if output:
        Path(output).write_text(json.dumps(rows, indent=1), encoding="utf-8")
    print(tabulate([row["line"] for row in rows], headers="keys", tablefmt="github"))


def _measure_policy(fleet: Fleet, scenario: Scenario, policy: str, seed: int) -> dict[str, Any]:
    fleet.check_command("settings", "set", "/policy/routing", policy)
    time.sleep(1.0)
    name = f"{scenario.name}-{policy}-{seed}-{time.monotonic_ns()}"
    before = read_processor_times()
    outcomes = run_once(fleet, scenario, name, seed)
    steal = read_processor_times().steal_share(before)
    duplicates, false_refusals = count_at_most_once_violations(fleet, outcomes)
    summaries = {summary.name: summary for summary in summarize(outcomes)}
    line = {"scenario": scenario.name, "policy": policy, "seed": seed}
    line |= _describe(summaries, duplicates, false_refusals) | {"stolen %": round(100 * steal, 1)}
    classes = {key: asdict(summary) for key, summary in summaries.items()}
    return {"line": line, "classes": classes}


def _describe(
    summaries: dict[str, ClassSummary], duplicates: int, false_refusals: int
) -> dict[str, Any]:
    overall = summaries["all"]
    return {
        "sent": overall.sent,
        "attained %": round(100 * overall.attainment, 2),
        "not run %": round(100 * overall.not_run, 2),
        "other %": round(100 * overall.other, 2),
        "lookups attained %": round(100 * summaries["lookup"].attainment, 2),
        "statement p50 ms": round(1000 * summaries["statement"].median),
        "statement p99 ms": round(1000 * summaries["statement"].p99),
        "lookup p99 ms": round(1000 * summaries["lookup"].p99),
        "doubled": duplicates,
        "false not run": false_refusals,
    }


if __name__ == "__main__":
    fire.Fire(measure)
