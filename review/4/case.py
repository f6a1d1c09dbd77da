"""Entries in touch obey an old configuration, since they look for control at addresses that are gone."""

import asyncio
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    ZONES,
    CannotRunError,
    Deployment,
    Worker,
    call,
    run_case,
)

CONTACT_S, CONFIG_APPLY_S = 3.0, 2.0
#: Core machines that have been replaced since the system started, one after the other.
REPLACED = 4
#: Seconds from one replacement to the next: more than `catchUpS`, 4 s.
REPLACE_EVERY_S = 4.5
#: Core machines that freeze at once (as many as `faultTolerance` names), how often, and for how long.
FROZEN, ROUNDS, FREEZE_S = 2, 6, 4.0
#: Seconds from the end of a round to the next: more than `contactMs` and `catchUpS`.
PAUSE_S = 6.0
KEY = "9dnn2ctnfzs989anu6ws"


def make_route(name):
    return {
        "name": name, "host": "desk.example", "pathPrefix": f"/{name}/", "kind": "safe",
        "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 0, "service": "desk",
        "maxAttempts": 2, "public": False,
    }


def make_config(version, names):
    return {
        "version": version,
        "routes": [make_route(name) for name in names],
        "services": [{"name": "desk", "healthPath": "/health", "maxConns": 96, "protocol": "h1",
                      "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "florists", "apiKeys": [KEY], "priority": 1}],
    }


async def probe(deployment, machine, name):
    """Return the status of a request on a route at one entry."""
    headers = {"Host": "desk.example", "Request-Id": deployment.make_request_id(),
               "Deadline-Ms": "2000", "Credential": KEY}
    got = await call(machine.ip, 8625, "GET", f"/{name}/1", headers, seconds=2.5)
    return got[0] if got else None


async def play_round(deployment, version, is_troubled, *, with_leader):
    """Freeze two core machines, change a route, and return how many entries obey the old one."""
    record = deployment.record
    leader = await deployment.find_leader()
    others = [item for item in deployment.cores if item is not leader]
    frozen = [leader, random.choice(others)] if with_leader else random.sample(others, FROZEN)
    began = record.now()
    if is_troubled:
        record.write(f"frozen: {', '.join(f'{item.name} ({item.ip})' for item in frozen)}")
        for item in frozen:
            item.signal(signal.SIGSTOP)
    old, new = f"r{version - 1}", f"r{version}"
    running = [(item.ip, 8628) for item in deployment.cores if item not in frozen]
    config = make_config(version, ["ping", new])
    change = asyncio.create_task(
        deployment.configure(config, seconds=15.0, first=random.choice(running))
    )
    stale = set()
    latest = began + FREEZE_S - CONFIG_APPLY_S - 0.3
    await asyncio.wait({change}, timeout=max(0.0, latest - record.now()))
    if change.done():
        acknowledged = record.now()
        due = max(began + CONTACT_S, acknowledged + CONFIG_APPLY_S) + 0.1
        await asyncio.sleep(due - record.now())
        while record.now() < began + FREEZE_S - 0.2:
            for machine in deployment.fronts:
                on_new, on_old = await asyncio.gather(
                    probe(deployment, machine, new), probe(deployment, machine, old)
                )
                if on_new == 404 or on_old == 200:
                    stale.add(machine.name)
                    record.write(
                        f"{machine.name}: added route {new} -> {on_new}, dropped route {old} -> "
                        f"{on_old}; version {version} was acknowledged "
                        f"{record.now() - acknowledged:.2f} s ago, the core has been stable for "
                        f"{record.now() - began - CONTACT_S:.2f} s"
                    )
            await asyncio.sleep(0.1)
    else:
        record.write("the change was not acknowledged early enough to be judged")
    await asyncio.sleep(max(0.0, began + FREEZE_S - record.now()))
    for item in frozen:
        item.signal(signal.SIGCONT)
    if await change != 200:
        raise CannotRunError("the change was not acknowledged")
    record.write(f"round with version {version}: {len(stale)} entries obeyed the old one")
    return len(stale)


async def main(record, is_troubled):
    with Deployment(record, cores=5, fronts=8) as deployment:
        deployment.start()
        await asyncio.sleep(2.0)
        deployment.settle()
        if await deployment.configure(make_config(10, ["ping", "r10"])) != 200:
            raise CannotRunError("the configuration was not taken")
        for number in range(2):
            worker = Worker(deployment, "desk", deployment.make_ip(), zone=ZONES[number])
            await worker.start()
        await deployment.wait_ready()
        await asyncio.sleep(2)
        for _ in range(REPLACED):
            leader = await deployment.find_leader()
            known = [item for item in deployment.cores if item is not leader]
            await deployment.replace_core(known[0])
            await asyncio.sleep(REPLACE_EVERY_S)
        await asyncio.sleep(8)
        stale = 0
        for number in range(ROUNDS):
            # At first all entries follow the machine that was up first, which leads.
            stale += await play_round(
                deployment, 11 + number, is_troubled, with_leader=number == 0
            )
            if stale:
                break
            await asyncio.sleep(PAUSE_S)
        return BROKEN if stale else HELD


if __name__ == "__main__":
    run_case(main, HERE / "record.txt", limit=115.0)
