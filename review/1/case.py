"""A machine of the core is replaced as planned; then two others lose their disks.

The successor has run for longer than `catchUpS` when the old machine gets SIGTERM and ends.  Right
after the next acknowledgement of a configuration, the node that gave it and one more lose their
disks and come back empty: the final fault, with as many disks as `faultTolerance` allows.
"""

import asyncio
import random
import signal
import time
from pathlib import Path

from bed import BROKEN, HELD, LIMITS, TMS_KYUSHU, Bed, CouldNotRun, Operator, run_case

#: For how long the successor has run before the old machine is stopped; the site's catchUpS is 4.
SUCCESSOR_SECONDS = 8.0
#: Time from the end of the old machine until the configuration is sent after which disks are lost.
PAUSE_SECONDS = 0.5
#: For how long the machines that lost their disks are down.
DOWN_SECONDS = 1.0
#: For how long the configuration is asked for afterwards; the site's recoverS is 12.
READ_SECONDS = 45.0


def make_configuration(version):
    service = {"name": "term-gw", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False}
    route = {
        "name": "r1", "host": "pay.example", "pathPrefix": "/a/", "kind": "unsafe", "timeoutMs": 600,
        "targetLatencyMs": 125, "priority": 2, "service": "term-gw", "maxAttempts": 1, "public": False,
    }
    tenants = [{"name": "t1", "apiKeys": ["key1"], "priority": 0}]
    return {"version": version, "routes": [route], "services": [service], "limits": LIMITS, "tenants": tenants}


async def main(record, has_trouble):
    bed = Bed(record, TMS_KYUSHU)
    operator = Operator(bed)
    try:
        zones = ("fukuoka-a", "fukuoka-a", "fukuoka-b", "kumamoto", "kitakyushu")
        for number, zone in enumerate(zones, 1):
            bed.add(f"core-{number}", "core", zone)
        bed.start_all()
        await operator.put(make_configuration(3))
        await asyncio.sleep(4)

        old = random.choice(bed.cores())
        others = [box for box in bed.cores() if box is not old]
        bed.add("core-6", "core", old.zone).start(others[:3], bootstrap=False)
        await asyncio.sleep(SUCCESSOR_SECONDS)
        old.send_signal(signal.SIGTERM)
        if await old.wait_end(TMS_KYUSHU.bounds["graceS"]) is None:
            raise CouldNotRun("the old machine did not end within its grace period")
        record.add(f"platform: {old.name} has ended and is removed for good")
        await asyncio.sleep(PAUSE_SECONDS)

        acknowledged = 7
        giver = await operator.put(make_configuration(acknowledged))
        if has_trouble:
            await lose_disks(bed, giver, others)
        return BROKEN if not await is_read_back(bed, operator, acknowledged) else HELD
    finally:
        bed.close()


async def lose_disks(bed, giver, seeds):
    second = random.choice([box for box in bed.running_cores() if box is not giver])
    lost = (giver, second)
    for box in lost:
        box.send_signal(signal.SIGKILL)
    for box in lost:
        await box.wait_end(5)
        box.lose_disk()
    await asyncio.sleep(DOWN_SECONDS)
    for box in lost:
        box.start(seeds[:3], bootstrap=False)


async def is_read_back(bed, operator, version):
    """Return whether the configuration is read back at any node in time."""
    until = time.monotonic() + READ_SECONDS
    while time.monotonic() < until:
        boxes = bed.running_cores()
        answers = await asyncio.gather(*(operator.read(box) for box in boxes))
        listed = ", ".join(f"{box.name} {answer}" for box, answer in zip(boxes, answers, strict=True))
        bed.record.add(f"operator: GET /api/config, by node its version or why there is none: {listed}")
        if version in answers:
            return True
        await asyncio.sleep(2)
    return False


run_case(Path(__file__).parent, main)
