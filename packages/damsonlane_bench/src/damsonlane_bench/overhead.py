"""Measures the overhead of an entry per request: ``python -m damsonlane_bench.overhead``.

In each repeat one client sends the same pipeline through an entry, and then calls the four stage
targets directly, one after the other.
"""

import json
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

import fire
import urllib3

from damsonlane_bench.fleet import Fleet
from damsonlane_bench.settings_trees import STAGES, digest_token, make_pipeline, make_services

_TOKEN: Final = "overhead-token"
#: Requests of each kind per repeat.
_REQUESTS: Final = 300
#: Clock ticks per second in ``/proc``.
_TICKS_PER_SECOND: Final = 100.0


def measure(repeats: int = 3) -> None:
    """Measure and print the processor time and the added latency of an entry.

    Args:
        repeats: number of measurements.
    """
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder), entries=1) as fleet:
        for service in STAGES:
            fleet.start_standin(f"{service}-1", seconds=0.001, token_seconds=0.0)
        fleet.start_control_group()
        fleet.start_entries()
        fleet.wait_standins()
        fleet.apply_settings(_make_tree(fleet.standins))
        for repeat in range(1, repeats + 1):
            print(f"repeat {repeat}: {_measure_once(fleet)}")


def _make_tree(addresses: dict[str, str]) -> dict[str, object]:
    pipelines = {"whole": make_pipeline(*STAGES)}
    organisation = {"token_digests": [digest_token(_TOKEN)], "pipelines": pipelines}
    return {
        "services": make_services(addresses, "fukuoka-a"),
        "organisations": {"one": organisation},
    }


def _measure_once(fleet: Fleet) -> str:
    pool = urllib3.PoolManager(retries=False)
    _time_calls(lambda: _call_entry(pool, fleet))
    before = _read_processor_seconds(fleet)
    via_entry = _time_calls(lambda: _call_entry(pool, fleet))
    processor = (_read_processor_seconds(fleet) - before) / _REQUESTS
    direct = _time_calls(lambda: _call_directly(pool, fleet))
    added = statistics.median(via_entry) - statistics.median(direct)
    added_p99 = _percentile(via_entry) - _percentile(direct)
    return (
        f"{processor * 1000:.2f} ms of the entry's processor time per request; median "
        f"{added * 1000:.2f} ms and 99th percentile {added_p99 * 1000:.2f} ms added "
        f"(direct median {statistics.median(direct) * 1000:.2f} ms)"
    )


def _time_calls(call: Callable[[], None]) -> list[float]:
    times = []
    for _ in range(_REQUESTS):
        began_at = time.monotonic()
        call()
        times.append(time.monotonic() - began_at)
    return times


def _percentile(times: list[float]) -> float:
    return statistics.quantiles(times, n=100)[98]


def _call_entry(pool: urllib3.PoolManager, fleet: Fleet) -> None:
    address = fleet.entries()[0].caller_address
    response = pool.request(
        "POST",
        f"http://{address}/v1/pipelines/whole",
        body=json.dumps({"input": "Why does my statement show Tuesday?"}),
        headers={"Authorization": f"Bearer {_TOKEN}"},
    )
    assert response.status == 200, response.data


def _call_directly(pool: urllib3.PoolManager, fleet: Fleet) -> None:
    text = "Why does my statement show Tuesday?"
    names = {"request": "r", "organisation": "o", "attempt": 1}
    for stage in STAGES[:3]:
        url = f"http://{fleet.standins[f'{stage}-1']}/v1/run"
        body = json.dumps({**names, "stage": stage, "input": text})
        text = json.loads(pool.request("POST", url, body=body).data)["output"]
    url = f"http://{fleet.standins['generate-1']}/v1/completions"
    metadata = {**names, "stage": "generate"}
    body = json.dumps({"model": "m", "prompt": text, "stream": True, "metadata": metadata})
    assert pool.request("POST", url, body=body).data.endswith(b"[DONE]\n\n")


def _read_processor_seconds(fleet: Fleet) -> float:
    pid = fleet.processes["entry-1"].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


if __name__ == "__main__":
    fire.Fire(measure)
