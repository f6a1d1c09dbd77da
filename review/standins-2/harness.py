"""Stand-ins for a small deployment: machines, operator, workers and clients on loopback addresses.

The machines run the project's own programs as separate processes, with the command of
deploy/system.toml and a settings file as DEPLOY.md describes it. Workers, clients and the operator
are asyncio tasks of the test process and speak what PROTOCOL.md says.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
CONTROL_PORT, INTERNAL_PORT, FRONT_PORT, READY_PORT = 8628, 7740, 8625, 8621
HEARTBEAT_S = 1.2
ZONES = ("fukuoka-a", "fukuoka-b", "kumamoto")
BOUNDS = """
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
recoverS = 12
passMs = 120
retryAfterS = 9.6
coldOver = 1.5
coldSlack = 5
evacMs = 5000
"""


class CannotRunError(Exception):
    """The case could not be brought to the point where the rule can be judged."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f"{self.now():8.3f} s  {text}\n")


# HTTP/1.1.


async def read_message(reader):
    """Return the first line, the headers (names in lower case) and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return first, headers, body
            body += data[:-2]
    length = int(headers.get("content-length", 0))
    if length:
        body = await reader.readexactly(length)
    return first, headers, body


def make_message(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(host, port, method, path, headers=(), body=b"", seconds=1.0):
    """Send one request on a new connection; return (status, headers, body), or None."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            named = {"Host": f"{host}:{port}", **dict(headers), "Connection": "close"}
            writer.write(make_message(f"{method} {path} HTTP/1.1", named, body))
            first, got, answer = await read_message(reader)
            return int(first.split()[1]), got, answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


# Machines.


class Machine:
    """One machine with one process of the project."""

    def __init__(self, deployment, name, kind, ip, zone):
        self.deployment, self.name, self.kind, self.ip, self.zone = deployment, name, kind, ip, zone
        self.folder = deployment.folder / name
        (self.folder / "data").mkdir(parents=True)
        self.process = None

    def write_settings(self, seeds, bootstrap):
        serves = "front" if self.kind == "front" else "control"
        text = [
            f'nodeName = "{self.name}"',
            f'role = "{"entry" if self.kind == "front" else "control"}"',
            f'machineClass = "{self.kind}"',
            f'serves = ["{serves}"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "kyushu"',
            f"internalPorts = [{INTERNAL_PORT},{INTERNAL_PORT + 15}]",
            f"seeds = {json.dumps([f'{ip}:{CONTROL_PORT}' for ip in seeds])}",
            f"bootstrap = {json.dumps(bootstrap)}",
            f"faultCounted = {json.dumps(self.kind == 'core')}",
            *([f'dataDir = "{self.folder / "data"}"'] if self.kind == "core" else []),
            'discovery = "registry"',
            'entry = "vip"',
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            f"contracts = {json.dumps(self.deployment.contracts)}",
            'configMode = "highest"',
            "[zones]",
            *(f'{zone} = "kyushu"' for zone in ZONES),
            "[listen]",
        ]
        if self.kind == "front":
            text += [f'front = "{self.ip}:{FRONT_PORT}"', f'ready = "{self.ip}:{READY_PORT}"']
        else:
            text += [f'control = "{self.ip}:{CONTROL_PORT}"']
        text += [
            "[limits]",
            "cpuShare = 0.537",
            "cores = 2",
            "memoryMb = 300",
            "maxFds = 4100",
            "linkMbps = 1000.0",
            f"diskMb = {128 if self.kind == 'core' else 0}",
            "[faultTolerance]",
            f"machines = {(len(self.deployment.cores) - 1) // 2 if self.deployment.cores else 1}",
            "zones = 0",
            "regions = 0",
        ]
        (self.folder / "boot.toml").write_text("\n".join(text) + BOUNDS)

    def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["DAMSONLANE_BOOT"] = str(self.folder / "boot.toml")
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self.deployment.commands[self.kind].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class SilentAddress:
    """An address of a machine that is gone: connections to it get no answer, not even a refusal.

    The queue of the listening socket is filled, so that the kernel drops further connections.
    """

    def __init__(self, ip, port):
        self._sockets = [socket.socket()]
        self._sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sockets[0].bind((ip, port))
        self._sockets[0].listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((ip, port))
            self._sockets.append(filler)

    def close(self):
        for item in self._sockets:
            item.close()


class Deployment:
    """A small deployment; use it as a context manager, which ends all its processes."""

    def __init__(self, record, cores=3, fronts=2, contracts=None):
        import tomllib

        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {role["on"]: role["run"] for role in roles.values()}
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file first")
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.contracts = contracts or [
            "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
            "stages",
        ]
        self.net = self._choose_net()
        self._numbers = itertools.count(1)
        self.cores, self.fronts, self.workers = [], [], []
        #: Core machines that were removed for good, and what stands at their addresses.
        self.gone, self.silent = [], []
        self.client_ids = set()
        for number in range(cores):
            zone = ZONES[number % len(ZONES)]
            self.cores.append(Machine(self, f"core-{number + 1}", "core", self.make_ip(), zone))
        for number in range(fronts):
            zone = ZONES[number % len(ZONES)]
            self.fronts.append(Machine(self, f"front-{number + 1}", "front", self.make_ip(), zone))
        self.seeds = [machine.ip for machine in self.cores[:3]]
        #: Addresses of `control` that the platform's list has.
        self.control = [(machine.ip, CONTROL_PORT) for machine in self.cores]
        #: Addresses at which clients reach the fronts.
        self.entries = [(machine.ip, FRONT_PORT) for machine in self.fronts]

    @staticmethod
    def _choose_net():
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", CONTROL_PORT))
                return net
            except OSError:
                continue
        raise CannotRunError("no free loopback addresses")

    def make_ip(self):
        return f"{self.net}.{next(self._numbers)}"

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for item in self.silent:
            item.close()
        for machine in (*self.cores, *self.gone, *self.fronts):
            machine.signal(signal.SIGCONT)
            machine.kill()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(self):
        for machine in (*self.cores, *self.fronts):
            machine.write_settings(self.seeds, bootstrap=True)
        for machine in (*self.cores, *self.fronts):
            machine.start()

    async def replace_core(self, machine):
        """Remove a core machine for good, and add an empty one at another address."""
        machine.kill()
        self.silent.append(SilentAddress(machine.ip, INTERNAL_PORT))
        self.cores.remove(machine)
        self.gone.append(machine)
        self.control = [node for node in self.control if node[0] != machine.ip]
        name = f"core-{len(self.cores) + len(self.gone) + 1}"
        added = Machine(self, name, "core", self.make_ip(), machine.zone)
        self.cores.append(added)
        self.seeds = [known.ip for known in self.cores if known is not added][:3]
        self.settle()
        self.record.write(f"{machine.name} ({machine.ip}) is gone, {name} ({added.ip}) starts")
        added.start()
        await asyncio.sleep(0.5)
        self.control.append((added.ip, CONTROL_PORT))
        return added

    def settle(self):
        """Write the settings that hold from now on: no first start any more."""
        for machine in (*self.cores, *self.fronts):
            machine.write_settings(self.seeds, bootstrap=False)

    # The operator.

    async def send_order(self, method, path, body=b"", seconds=20.0, first=None):
        """Send an order until it is acknowledged, to one node after the other; return the status.

        An order ends at 400, 409, 412, 413 and 422.
        """
        ends_at = self.record.now() + seconds
        nodes = list(self.control)
        random.shuffle(nodes)
        if first is not None:
            nodes.insert(0, first)
        pause = 0.05
        for node in itertools.cycle(nodes):
            if self.record.now() > ends_at:
                return None
            got = await call(*node, method, path, {"Content-Type": "application/json"}, body)
            status = got[0] if got else None
            self.record.write(f"operator: {method} {path} to {node[0]} -> {status}")
            if status is not None and (200 <= status < 300 or status in (400, 409, 412, 413, 422)):
                return status
            await asyncio.sleep(pause)
            pause = min(0.5, pause * 1.5)

    async def configure(self, config, seconds=20.0, first=None):
        body = json.dumps(config).encode()
        status = await self.send_order("PUT", "/api/config", body, seconds, first)
        self.record.write(f"operator: version {config['version']} -> {status}")
        return status

    # Readiness.

    async def wait_ready(self, seconds=25.0, count=None):
        """Wait until the fronts are ready."""
        wanted = len(self.fronts) if count is None else count
        ends_at = self.record.now() + seconds
        while self.record.now() < ends_at:
            ready = 0
            for machine in self.fronts:
                got = await call(machine.ip, READY_PORT, "GET", "/api/ready")
                ready += got is not None and got[0] == 200
            if ready >= wanted:
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the fronts were not ready in time")

    async def find_leader(self, seconds=10.0):
        """Return the core machine at which the leader receives heartbeats, as workers learn it."""
        ends_at = self.record.now() + seconds
        while self.record.now() < ends_at:
            for worker in self.workers:
                ip = worker.next_address[0] if worker.next_address else ""
                for machine in self.cores:
                    if machine.ip == ip:
                        return machine
            await asyncio.sleep(0.1)
        raise CannotRunError("no leader was named to the workers")

    # Clients.

    def make_request_id(self):
        request_id = secrets.token_hex(8)
        self.client_ids.add(request_id)
        return request_id


# Workers.


class Worker:
    """A worker of one service.

    Args:
        deployment: where it registers.
        service: its service.
        ip, port: where it listens.
        serve: called with (worker, method, path, headers, body) for what is to be run; returns
            (status, headers, body), or writes the answer itself and returns None.
    """

    def __init__(self, deployment, service, ip, serve=None, port=8080, slots=8, zone=ZONES[0],
                 version="v1", models=None):
        self.deployment, self.service, self.ip, self.port = deployment, service, ip, port
        self.id = "i-" + secrets.token_hex(5)
        self.slots, self.zone, self.version, self.models = slots, zone, version, models
        self._serve = serve
        self.state = "ready"
        self.sequence = 0
        self.runs = []
        self.handles = set()
        self.next_address = None
        self._server = None
        self._tasks = set()
        self._writers = set()
        self._beats = None
        self.record = deployment.record

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self, beats=True):
        self._server = await asyncio.start_server(self._accept, self.ip, self.port)
        self.record.write(f"worker {self.id} ({self.service}) starts at {self.address}")
        self.deployment.workers.append(self)
        if beats:
            self.start_heartbeats()

    def start_heartbeats(self):
        self._beats = asyncio.create_task(self._send_heartbeats())

    def crash(self):
        """End without a word: connections are reset, nothing listens any more."""
        self.record.write(f"worker {self.id} ({self.service}) crashes")
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        if self in self.deployment.workers:
            self.deployment.workers.remove(self)

    def stop_heartbeats(self):
        if self._beats is not None:
            self._beats.cancel()

    # Heartbeats.

    def make_beat(self):
        self.sequence += 1
        beat = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state, "coldLeftMs": 0,
            "seqNo": self.sequence,
        }
        if self.models is not None:
            beat |= {"stage": "both", "models": self.models}
        return json.dumps(beat).encode()

    async def beat_once(self, node, method="PUT", body=None, seconds=1.0):
        """Send one heartbeat to one node; return whether it was acknowledged."""
        if body is None:
            body = self.make_beat() if method == "PUT" else b""
        path = f"/api/instances/{self.id}"
        got = await call(*node, method, path, {"Content-Type": "application/json"}, body, seconds)
        if got is None or not 200 <= got[0] < 300:
            return False
        with contextlib.suppress(ValueError):
            address = json.loads(got[2] or b"{}").get("heartbeatAddr", "")
            host, _, port = address.rpartition(":")
            self.next_address = (host, int(port)) if host else None
        return True

    async def report(self, method="PUT", seconds=10.0):
        """Send until one node acknowledges; return whether one did."""
        ends_at = self.record.now() + seconds
        body = self.make_beat() if method == "PUT" else b""
        while self.record.now() < ends_at:
            nodes = list(self.deployment.control)
            random.shuffle(nodes)
            if self.next_address is not None:
                nodes.insert(0, self.next_address)
            for node in nodes:
                if await self.beat_once(node, method, body):
                    self.record.write(
                        f"worker {self.id} ({self.service}): {method} {self.state} seqNo "
                        f"{self.sequence} acknowledged by {node[0]}"
                    ) if self.sequence <= 1 or self.state != "ready" or method != "PUT" else None
                    return True
                self.next_address = None
            await asyncio.sleep(0.1)
        return False

    async def _send_heartbeats(self):
        while True:
            began = self.record.now()
            await self.report()
            await asyncio.sleep(max(0.05, HEARTBEAT_S - (self.record.now() - began)))

    # Serving.

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self._answer(method, path, headers, body, reader, writer)
                if answer is None:
                    return
                status, more, content = answer
                named = {"Server-Load": f"0,0,{self.slots}", **more}
                if "request-id" in headers:
                    named["Request-Id"] = headers["request-id"]
                writer.write(make_message(f"HTTP/1.1 {status} X", named, content))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, method, path, headers, body, reader, writer):
        if method == "GET" and path == "/health":
            return 200, {"Instance-Id": self.id}, b""
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"Not-Run": "1"}, b""
        if self._serve is not None:
            special = await self._serve(self, method, path, headers, body, reader, writer)
            if special is not False:
                return special
        if "request-id" not in headers:
            return 400, {"Not-Run": "1"}, b""
        return await self.run_plain(method, path, headers, body)

    async def run_plain(self, method, path, headers, body, seconds=0.01):
        """Run a request, as a plain worker does."""
        request_id = headers["request-id"]
        self.runs.append(request_id)
        self.record.write(f"worker {self.id} ({self.service}) runs {method} {path} id {request_id}")
        await asyncio.sleep(seconds)
        stamp = {"Response-Stamp": f"{self.id}.{request_id}", "Content-Type": "text/plain"}
        return 200, stamp, f"{self.id} {request_id}".encode()


def make_stage_server(seconds):
    """Return what a stage worker does; a call takes some seconds once it has its inputs."""

    async def serve(worker, method, path, headers, body, reader, writer):
        if path == "/api/report":
            return 200, {}, json.dumps({"waiting": 0, "busySlots": 0, "freeMb": 10}).encode()
        if path == "/api/stage-free":
            freed = json.loads(body)["handles"]
            worker.record.write(f"worker {worker.id} ({worker.service}) frees {freed}")
            worker.handles.difference_update(freed)
            return 200, {}, b""
        if path != "/api/stage-run":
            return 400, {"Not-Run": "1"}, b""
        items = json.loads(body)["items"]
        worker.record.write(f"worker {worker.id} ({worker.service}) works on {items}")
        await asyncio.sleep(seconds)
        made = []
        for _ in items:
            handle = f"{worker.address}/{secrets.token_hex(6)}"
            worker.handles.add(handle)
            made.append({"handle": handle})
        return 200, {"Content-Type": "application/json"}, json.dumps({"items": made}).encode()

    return serve


def run_case(main, record_path, limit=110.0):
    """Run a case and exit with its code; without an outcome in time it could not run."""
    record = Record(record_path)

    async def guarded():
        # Cancelled, so that the processes that were started are ended.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit):
            return await main(record, os.environ.get("TROUBLE", "1") != "0")

    try:
        code = asyncio.run(guarded())
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        code = NOT_RUN
    record.write({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(code, "not run"))
    sys.exit(code)
