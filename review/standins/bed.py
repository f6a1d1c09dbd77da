"""A small deployment on loopback addresses: the project's processes and the platform around them.

The processes run the commands of the deploy file with settings files as the platform writes them.
The operator, the workers and the clients are stand-ins that follow the users' pages.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
#: Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


@dataclass(frozen=True)
class Site:
    """What the settings files of a site hold; the figures are those of its sheet."""

    zones: tuple[str, ...]
    region: str
    contracts: tuple[str, ...]
    bounds: dict[str, object]
    #: Limits of a front machine and of a core machine.
    front: dict[str, float]
    core: dict[str, float]
    #: Counted machines whose disks may be lost at once.
    tolerance: int


TMS_KYUSHU = Site(
    zones=("fukuoka-a", "fukuoka-b", "kumamoto", "kitakyushu"),
    region="kyushu",
    contracts=(
        "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "stages",
    ),
    bounds={
        "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
        "drainMs": 2000, "graceS": 8, "lostMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
        "skewMaxMs": 5000, "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
        "budgetWindowS": 10, "budgetSlack": 52, "recoverS": 12, "passMs": 120, "retryAfterS": 9.6,
    },
    front={"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
    core={"cpuShare": 0.86, "cores": 3, "memoryMb": 296, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128},
    tolerance=2,
)

KARTENHAUS = Site(
    zones=("muenchen-a", "muenchen-b", "nuernberg"),
    region="bayern",
    contracts=(
        "base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream",
        "tenants", "places", "pressure", "stages",
    ),
    bounds={
        "seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 6,
        "drainMs": 2500, "graceS": 8, "lostMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250,
        "skewMaxMs": 6000, "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
        "budgetWindowS": 10, "budgetSlack": 206, "coldOver": 1.5, "coldSlack": 5, "evacMs": 5000,
        "recoverS": 15, "passMs": 200, "retryAfterS": 8.9,
    },
    front={"cpuShare": 0.516, "cores": 1, "memoryMb": 200, "maxFds": 4100, "linkMbps": 5.0, "diskMb": 0},
    core={"cpuShare": 0.86, "cores": 3, "memoryMb": 296, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128},
    tolerance=2,
)

#: What clients may send, as on the pages.
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


class Record:
    """The record of a run: a line for everything that was sent, answered or run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def add(self, text):
        self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")
        self._file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def to_toml(table):
    return "\n".join(f"{name} = {json.dumps(value)}" for name, value in table.items())


class Box:
    """A machine of the system, with an address, a settings file and a disk of its own."""

    def __init__(self, bed, name, machine_class, zone):
        draw = random.SystemRandom().randint
        self.bed, self.name, self.machine_class, self.zone = bed, name, machine_class, zone
        self.host = f"127.{draw(1, 250)}.{draw(1, 250)}.{draw(2, 250)}"
        self.folder = bed.folder / name
        self.disk = self.folder / "disk"
        self.folder.mkdir()
        self.process = None

    @property
    def is_core(self):
        return self.machine_class == "core"

    @property
    def control(self):
        return (self.host, self.bed.ports["control"])

    @property
    def front(self):
        return (self.host, self.bed.ports["front"])

    @property
    def ready(self):
        return (self.host, self.bed.ports["ready"])

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def _write_settings(self, seeds, bootstrap):
        site, ports = self.bed.site, self.bed.ports
        serves = "control" if self.is_core else "front"
        listen = ("control",) if self.is_core else ("front", "ready")
        head = {
            "nodeName": self.name,
            "role": "control" if self.is_core else "entry",
            "machineClass": self.machine_class,
            "serves": [serves],
            "ip": self.host,
            "zone": self.zone,
            "region": site.region,
            "internalPorts": [ports["internal"], ports["internal"] + 15],
            "seeds": [f"{box.host}:{ports['control']}" for box in seeds],
            "bootstrap": bootstrap,
            "faultCounted": self.is_core,
            "discovery": "registry",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": list(site.contracts),
            "configMode": "highest",
            "dataDir": str(self.disk),
        }
        tables = {
            "zones": dict.fromkeys(site.zones, site.region),
            "listen": {name: f"{self.host}:{ports[name]}" for name in listen},
            "limits": site.core if self.is_core else site.front,
            "faultTolerance": {"machines": site.tolerance, "zones": 0, "regions": 0},
            "bounds": site.bounds,
        }
        parts = [to_toml(head), *(f"[{name}]\n{to_toml(table)}" for name, table in tables.items())]
        temporary = self.folder / "boot.toml.new"
        temporary.write_text("\n".join(parts) + "\n")
        temporary.replace(self.folder / "boot.toml")

    def start(self, seeds, *, bootstrap):
        self._write_settings(seeds, bootstrap)
        self.disk.mkdir(exist_ok=True)
        command = self.bed.deploy["roles"]["control" if self.is_core else "entry"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["DAMSONLANE_BOOT"] = str(self.folder / "boot.toml")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.bed.record.add(f"platform: starts {self.name}, bootstrap = {str(bootstrap).lower()}")

    def send_signal(self, number):
        self.bed.record.add(f"platform: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def wait_end(self, seconds):
        until = time.monotonic() + seconds
        while self.is_running() and time.monotonic() < until:
            await asyncio.sleep(0.005)
        return self.process.poll()

    def lose_disk(self):
        """Empty the data folder; the process has ended."""
        shutil.rmtree(self.disk)
        self.bed.record.add(f"platform: {self.name} has lost its disk")


@dataclass
class Bed:
    """The deployment of a case."""

    record: Record
    site: Site
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="case-")))
    boxes: dict[str, Box] = field(default_factory=dict)

    def __post_init__(self):
        self.ports = {name: free_port() for name in ("control", "front", "ready")}
        self.ports["internal"] = min(free_port(), 65_000)
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        if not (ROOT / "target" / "deps").is_dir():
            raise CouldNotRun("target/deps is missing: run the build line of deploy/system.toml")

    def add(self, name, machine_class, zone):
        self.boxes[name] = Box(self, name, machine_class, zone)
        return self.boxes[name]

    def cores(self):
        return [box for box in self.boxes.values() if box.is_core]

    def fronts(self):
        return [box for box in self.boxes.values() if not box.is_core]

    def running_cores(self):
        return [box for box in self.cores() if box.is_running()]

    def start_all(self):
        """Start the system for the first time, with empty disks."""
        seeds = self.cores()[:3]
        for box in self.boxes.values():
            box.start(seeds, bootstrap=True)

    async def wait_until_ready(self, seconds=20.0):
        until = time.monotonic() + seconds
        waiting = self.fronts()
        while waiting:
            if time.monotonic() > until:
                raise CouldNotRun(f"not ready: {[box.name for box in waiting]}")
            answers = [await call(box.ready, "GET", "/api/ready") for box in waiting]
            pairs = zip(waiting, answers, strict=True)
            waiting = [box for box, answer in pairs if answer is None or answer.status != 200]
            await asyncio.sleep(0.1)
        self.record.add("platform: all fronts are ready")

    def close(self):
        """End every process that was started, and remove the folder."""
        started = [box for box in self.boxes.values() if box.process is not None]
        for box in started:
            if box.is_running():
                box.process.kill()
        for box in started:
            box.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# HTTP of the stand-ins.


@dataclass(frozen=True)
class Message:
    """A request or a response."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self):
        return int(self.first.split()[1])

    @property
    def method(self):
        return self.first.split()[0]

    @property
    def path(self):
        return self.first.split()[1]


async def read_message(reader):
    """Return the next message of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        pairs = [line.partition(":") for line in lines]
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first, headers, body)


def render(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, body=b"", headers=(), *, host="", seconds=1.0):
    """Make one call on a new connection; return the response, or None without one."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(render(f"{method} {path} HTTP/1.1", [("Host", host or address[0]), *headers], body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


_JSON = ("Content-Type", "application/json")


class Operator:
    """Sends configurations and reads them back; after no clear answer it tries another node."""

    def __init__(self, bed):
        self._bed = bed

    async def put(self, document, seconds=15.0):
        """Send a configuration until it is acknowledged; return the node that acknowledged it.

        Raises:
            CouldNotRun: nobody did.
        """
        version = document["version"]
        until = time.monotonic() + seconds
        pause = 0.1
        while time.monotonic() < until:
            box = random.choice(self._bed.running_cores())
            answer = await call(box.control, "PUT", "/api/config", json.dumps(document).encode(), [_JSON])
            status = answer.status if answer is not None else "no answer"
            self._bed.record.add(f"operator: PUT version {version} at {box.name}: {status}")
            if status == 200:
                return box
            await asyncio.sleep(pause)
            pause = min(1.0, 1.5 * pause)
        raise CouldNotRun(f"version {version} was not acknowledged")

    async def read(self, box):
        """Return the version that a node answers with, or why there is none."""
        answer = await call(box.control, "GET", "/api/config")
        if answer is None:
            return "no answer"
        return json.loads(answer.body)["version"] if answer.status == 200 else answer.status


class Worker:
    """A sound worker: it registers, sends heartbeats and answers what it is asked.

    Subclasses run requests.
    """

    def __init__(self, bed, service, name, slots, models=False):
        self.bed, self.service, self.name, self.slots = bed, service, name, slots
        self._models = models
        self._beats = 0
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self._connections = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=2**20)
        self._task = asyncio.create_task(self._beat())
        self.bed.record.add(f"worker {self.name} of {self.service} serves at {self.address}")

    async def stop(self):
        self._server.close()
        for task in (self._task, *self._connections):
            task.cancel()
        await asyncio.gather(self._task, *self._connections, return_exceptions=True)

    async def _beat(self):
        while True:
            self._beats += 1
            beat = {
                "service": self.service, "address": self.address, "zone": self.bed.site.zones[0],
                "version": "v1", "slots": self.slots, "state": "ready", "coldLeftMs": 0, "seqNo": self._beats,
            }
            if self._models:
                beat |= {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
            cores = self.bed.running_cores()
            for box in random.sample(cores, len(cores)):
                path = f"/api/instances/{self.name}"
                answer = await call(box.control, "PUT", path, json.dumps(beat).encode(), [_JSON])
                if answer is not None and answer.status // 100 == 2:
                    break
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                if request.path == "/health":
                    writer.write(render("HTTP/1.1 200 OK", [("Instance-Id", self.name)]))
                elif request.headers.get("expect-instance", self.name) != self.name:
                    writer.write(render("HTTP/1.1 421 Misdirected", [("Not-Run", "1")]))
                else:
                    await self.run(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def run(self, request, writer):
        """Run a request and write its answer."""
        raise NotImplementedError


def run_case(folder, main):
    """Run a case and exit with its code; ``main`` gets the record and whether there is trouble."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"the case begins, {'with' if has_trouble else 'without'} the disruption")
    try:
        code = asyncio.run(asyncio.wait_for(main(record, has_trouble), 112))
    except (CouldNotRun, TimeoutError) as error:
        record.add(f"could not run: {error or type(error).__name__}")
        code = COULD_NOT_RUN
    record.add(f"exit code {code}")
    raise SystemExit(code)
