"""Measures policies under waves and faults: ``python -m damsonlane_bench.policy``.

Each scenario runs every policy in turn in the same fleet with the same seeds,
so that the policies of one row are compared under equal conditions.
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
    Outcome,
    RequestClass,
    Wave,
    plan_arrivals,
    send_arrivals,
    summarize,
)
from damsonlane_bench.machine import read_processor_times
from damsonlane_bench.trees import STAGES, digest_token, make_pipeline, make_services

_TOKENS: Final = {"merchants": "merchants-token", "bureau": "bureau-token"}
POLICIES: Final = ("random", "round-robin", "least-in-flight", "predicted", "paced")
#: Work of both deployments, mixed.
CLASSES: Final = (
    RequestClass(name="lookup", share=0.45, token=_TOKENS["merchants"], pipeline="lookup",
                 length=50, deadline_ms=1000),
    RequestClass(name="confirm", share=0.05, token=_TOKENS["merchants"], pipeline="confirm",
                 length=50, deadline_ms=2000, is_marked=True),
    RequestClass(name="statement", share=0.30, token=_TOKENS["merchants"], pipeline="statement",
                 length=400, deadline_ms=3000),
    RequestClass(name="subtitle", share=0.15, token=_TOKENS["bureau"], pipeline="subtitle",
                 length=100, deadline_ms=3000),
    RequestClass(name="dossier", share=0.05, token=_TOKENS["bureau"], pipeline="dossier",
                 length=8000, deadline_ms=3000),
)  # fmt: skip
#: Engines, and workers of each other service.
_ENGINES: Final = 6
_WORKERS: Final = 4
#: Requests that an engine runs at once, and its seconds for each.
_ENGINE: Final = {"slots": 2, "seconds": 0.06, "token_seconds": 0.004}
_WORKER: Final = {"slots": 2, "seconds": 0.01, "seconds_per_thousand": 0.004}
#: Requests a second that the engines can carry: half of all requests need one.
CAPACITY: Final = 150.0


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Load and fault of one measurement."""

    #: Its name.
    name: str
    #: The load, as shares of the capacity.
    wave: Wave
    #: What goes wrong; called once the load starts.
    disturb: Callable[[Fleet], None] = lambda _: None
    #: What is mended afterwards.
    mend: Callable[[Fleet], None] = lambda _: None


def _slow_engine(fleet: Fleet) -> None:
    slow = {name: value * 10 for name, value in _ENGINE.items() if name != "slots"}
    fleet.change_behaviour("generate-1", **slow)


def _usual_engine(fleet: Fleet) -> None:
    fleet.change_behaviour("generate-1", **_ENGINE)


def _slow_stage(fleet: Fleet) -> None:
    for number in range(_WORKERS):
        fleet.change_behaviour(f"rerank-{number + 1}", seconds=0.05)


def _usual_stage(fleet: Fleet) -> None:
    for number in range(_WORKERS):
        fleet.change_behaviour(f"rerank-{number + 1}", **_WORKER)


def _later(seconds: float, act: Callable[[Fleet], None]) -> Callable[[Fleet], None]:
    def begin(fleet: Fleet) -> None:
        threading.Timer(seconds, act, [fleet]).start()

    return begin


def _hang_up(fleet: Fleet) -> None:
    fleet.change_behaviour("generate-2", hang_up_every=1, is_refusing=True)


def _no_hang_up(fleet: Fleet) -> None:
    fleet.change_behaviour("generate-2", hang_up_every=0, is_refusing=False)


def _kill_entry(fleet: Fleet) -> None:
    fleet.kill("entry-6")


def _start_entry(fleet: Fleet) -> None:
    fleet.start("entry-6")
    fleet.wait_ready(fleet.boxes["entry-6"])


def _steady(share: float) -> Wave:
    rate = CAPACITY * share
    return Wave(calm_rate=rate, wave_rate=rate, before=0, during=8, after=0)


_STEP: Final = Wave(calm_rate=CAPACITY * 0.3, wave_rate=CAPACITY * 2.0, before=2, during=6, after=2)
SCENARIOS: Final = (
    Scenario(name="calm at 50%", wave=_steady(0.5)),
    Scenario(name="80%", wave=_steady(0.8)),
    Scenario(
        name="80%, one engine ten times slower",
        wave=_steady(0.8),
        disturb=_slow_engine,
        mend=_usual_engine,
    ),
    Scenario(name="wave to 200%", wave=_STEP),
    Scenario(
        name="wave, rerank five times slower", wave=_STEP, disturb=_slow_stage, mend=_usual_stage
    ),
    Scenario(
        name="wave, an engine fails in it",
        wave=_STEP,
        disturb=_later(4.0, _hang_up),
        mend=_no_hang_up,
    ),
    Scenario(
        name="wave, an entry killed in it",
        wave=_STEP,
        disturb=_later(4.0, _kill_entry),
        mend=_start_entry,
    ),
)


def start_fleet(folder: Path, entries: int = 6, **policy: Any) -> Fleet:
    """Start a fleet of today's size with stand-ins for all services."""
    fleet = Fleet(folder, entries=entries, with_tls=True)
    for service in (*STAGES, "terminal", "lookup"):
        is_engine = service == "generate"
        behaviour = _ENGINE if is_engine else _WORKER
        for number in range(_ENGINES if is_engine else _WORKERS):
            fleet.start_standin(f"{service}-{number + 1}", **behaviour)
    fleet.start_control_group()
    fleet.start_entries()
    fleet.wait_standins()
    fleet.apply_tree(_make_tree(fleet.standins, policy))
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
    """Run a scenario once."""
    arrivals = plan_arrivals(scenario.wave, CLASSES, seed)
    entries = [box.caller_address for box in fleet.entries()]
    outcomes = send_arrivals(arrivals, entries, name, lambda: scenario.disturb(fleet))
    scenario.mend(fleet)
    return outcomes


def count_false(fleet: Fleet, outcomes: tuple[Outcome, ...]) -> tuple[int, int]:
    """Return marked requests that ran twice, and false "not run" among them."""
    runs: dict[str, int] = {}
    for number in range(_WORKERS):
        for execution in fleet.read_executions(f"terminal-{number + 1}"):
            runs[execution["request"]] = runs.get(execution["request"], 0) + execution["count"]
    marked = [outcome for outcome in outcomes if outcome.key and outcome.request]
    doubled = sum(1 for outcome in marked if runs.get(outcome.request, 0) > 1)
    false = sum(1 for o in marked if o.kind == "not-run" and runs.get(o.request, 0) > 0)
    return doubled, false


def measure(
    repeats: int = 3, policies: str = ",".join(POLICIES), only: str = "", output: str = ""
) -> None:
    """Measure all scenarios and print a table.

    Args:
        repeats: runs of each policy in each scenario, with seeds 1, 2, ...
        policies: names, separated by commas.
        only: run only scenarios with this in their names.
        output: file for all figures as JSON.
    """
    names = policies if isinstance(policies, (tuple, list)) else policies.split(",")
    rows: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory() as folder, start_fleet(Path(folder)) as fleet:
        for scenario in SCENARIOS:
            if str(only) not in scenario.name:
                continue
            for seed in range(1, repeats + 1):
                for policy in names:
                    rows.append(_measure_one(fleet, scenario, policy, seed))
                    print(json.dumps(rows[-1]["line"]), flush=True)
    if output:
        Path(output).write_text(json.dumps(rows, indent=1), encoding="utf-8")
    print(tabulate([row["line"] for row in rows], headers="keys", tablefmt="github"))


def _measure_one(fleet: Fleet, scenario: Scenario, policy: str, seed: int) -> dict[str, Any]:
    fleet.require("settings", "set", "/policy/routing", policy)
    time.sleep(1.0)
    name = f"{scenario.name}-{policy}-{seed}-{time.monotonic_ns()}"
    before = read_processor_times()
    outcomes = run_once(fleet, scenario, name, seed)
    stolen = read_processor_times().stolen_share(before)
    doubled, false = count_false(fleet, outcomes)
    summaries = {summary.name: summary for summary in summarize(outcomes)}
    line = {"scenario": scenario.name, "policy": policy, "seed": seed}
    line |= _describe(summaries, doubled, false) | {"stolen %": round(100 * stolen, 1)}
    classes = {key: asdict(summary) for key, summary in summaries.items()}
    return {"line": line, "classes": classes}


def _describe(summaries: dict[str, ClassSummary], doubled: int, false: int) -> dict[str, Any]:
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
        "doubled": doubled,
        "false not run": false,
    }


if __name__ == "__main__":
    fire.Fire(measure)
