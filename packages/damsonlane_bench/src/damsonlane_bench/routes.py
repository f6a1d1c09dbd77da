"""Small fleet that serves routes, and its demonstration: ``python -m damsonlane_bench.routes``."""

import dataclasses
import http.client
import json
import shutil
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from threading import Thread
from typing import Any, Final

from damsonlane_bench.fleet import (
    CertificateIssuer,
    Process,
    allocate_address,
    find_program,
    send,
    wait_until,
)
from damsonlane_bench.registered_target import TargetKind
from damsonlane_bench.registered_target._events import EVENT_COUNT
from damsonlane_bench.routes_document import CALLER_KEY, make_document

#: Timeout of callers, in seconds.
_CALLER_TIMEOUT_SECONDS: Final = 20.0
#: Targets of the demonstration: name, service and kind.
_TARGETS: Final[tuple[tuple[str, str, TargetKind], ...]] = (
    ("desk-1", "desk", "plain"),
    ("desk-2", "desk", "plain"),
    ("model-1", "model", "engine"),
    ("model-2", "model", "engine"),
    ("encode-1", "encode", "pool"),
    ("encode-2", "encode", "pool"),
)
_TARGET_NAMES: Final = tuple(name for name, _, _ in _TARGETS)


class RoutesFleet:
    """Processes of control replicas, entries and targets; a context manager that kills them.

    Args:
        folder: receives settings, data and logs.
        controls: names of the control replicas.
        entries: names of the entries.
        targets: names of the targets.
        entry_settings: settings of entries by name; they replace the usual ones, and those of the
            gateway one by one.
        organisations: keys of callers by the name of their organisation.
        spares: names of control replicas that may be added later.
    """

    def __init__(
        self,
        folder: Path,
        controls: Sequence[str] = ("control-1", "control-2", "control-3"),
        entries: Sequence[str] = ("entry-1", "entry-2"),
        targets: Sequence[str] = _TARGET_NAMES,
        entry_settings: Mapping[str, Mapping[str, Any]] | None = None,
        organisations: Mapping[str, str] | None = None,
        spares: Sequence[str] = (),
    ) -> None:
        self.folder: Final = folder
        self._entry_settings: Final = entry_settings or {}
        self._document: Final = make_document()
        if organisations:
            self._document["organisations"] = [
                {"name": name, "keys": [key]} for name, key in organisations.items()
            ]
        self._issuer: Final = CertificateIssuer(folder / "keys")
        self.controls: Final = list(controls)
        self.entries: Final = list(entries)
        self.processes: Final[dict[str, Process]] = {}
        self.addresses: Final = {
            f"{name}/{purpose}": allocate_address()
            for name in (*self.controls, *spares, *self.entries, *targets)
            for purpose in ("internal", "admin", "front", "ready")
        }

    def __enter__(self) -> "RoutesFleet":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.is_running():
                process.kill()

    def start(self, name: str, *, is_first_start: bool = False) -> None:
        """Start a control replica or an entry."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._make_settings(name, is_first_start)))
        command = [find_program("damsonlaned"), f"--settings={path}"]
        self.processes[name] = Process(name, command, self.folder / f"{name}.log")

    def start_target(
        self,
        name: str,
        service: str,
        kind: TargetKind,
        *,
        reports_load: bool = False,
        senders: str = "",
        version: str = "",
        connections: int = 0,
    ) -> None:
        """Start a target that registers itself."""
        registries = ";".join(self.addresses[f"{control}/front"] for control in self.controls)
        command = [
            *(sys.executable, "-m", "damsonlane_bench.registered_target"),
            f"--service={service}",
            f"--kind={kind}",
            f"--address={self.addresses[f'{name}/front']}",
            f"--registries={registries}",
            *(("--reports-load",) if reports_load else ()),
            *((f"--senders={senders}",) if senders else ()),
            *((f"--version={version}",) if version else ()),
            *((f"--connections={connections}",) if connections else ()),
        ]
        self.processes[name] = Process(name, command, self.folder / f"{name}.log")

    def add_control(self, name: str) -> None:
        """Start a spare control replica, which joins the group."""
        self.start(name)
        self.controls.append(name)

    def erase_disk(self, name: str) -> None:
        """Erase the data folder of a box whose process has ended."""
        shutil.rmtree(self.folder / name)

    def put_document(self, version: int, **changes: Any) -> None:
        """Send a routing document until a control replica accepts it.

        Args:
            version: version of the document.
            changes: top-level fields that replace those of the document.
        """
        text = json.dumps({**self._document, "version": version, **changes})
        wait_until(lambda: self._put(text) == 200, f"version {version} is accepted")

    def try_document(self, version: int) -> bool:
        """Send a routing document once and return whether a control replica accepted it."""
        try:
            return self._put(json.dumps({**self._document, "version": version})) == 200
        except (OSError, http.client.HTTPException):
            return False

    def read_version(self, control: str) -> int:
        """Return the document version that a control replica reads; 0 if it refuses the read."""
        response = send("GET", f"http://{self.addresses[f'{control}/front']}/v1/routes")
        return int(response.body.get("version", 0)) if response.status == 200 else 0

    def is_ready(self, entry: str) -> bool:
        """Return whether an entry is ready for requests."""
        try:
            return send("GET", f"http://{self.addresses[f'{entry}/ready']}/readyz").status == 200
        except OSError:
            return False

    def call(
        self, entry: str, path: str, request_id: str, *, body: bytes = b"", **headers: str
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of its response.

        The status is 0 if no response arrives or if it is interrupted.
        """
        connection = http.client.HTTPConnection(
            self.addresses[f"{entry}/front"], timeout=_CALLER_TIMEOUT_SECONDS
        )
        sent = {
            "Host": "shop.example",
            "Authorization": f"Bearer {CALLER_KEY}",
            "Damsonlane-Request-Id": request_id,
            "Damsonlane-Deadline-Ms": "8000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        try:
            connection.request("POST" if body else "GET", path, body=body or None, headers=sent)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def read_run_ids(self, target: str) -> list[str]:
        """Return the ids of the requests that a target ran, in order."""
        return [str(name) for name in self._read_target(target, "/ran")]

    def read_connections(self, target: str) -> tuple[int, int]:
        """Return the most connections that a target had open, and how many it has reset."""
        most, reset = self._read_target(target, "/connections")
        return int(most), int(reset)

    def _read_target(self, target: str, path: str) -> list[Any]:
        connection = http.client.HTTPConnection(
            self.addresses[f"{target}/front"], timeout=_CALLER_TIMEOUT_SECONDS
        )
        connection.request("GET", path)
        values: list[Any] = json.loads(connection.getresponse().read())
        connection.close()
        return values

    def read_log_lines(self, text: str) -> list[str]:
        """Return the log lines of all boxes that contain a text, and all warnings and errors."""
        return [
            f"   {name}: {line}"
            for name in (*self.entries, *self.controls)
            for line in (self.folder / f"{name}.log").read_text().splitlines()
            if text in line or '"WARNING"' in line or '"ERROR"' in line
        ]

    def _put(self, text: str) -> int:
        for control in self.controls:
            connection = http.client.HTTPConnection(
                self.addresses[f"{control}/front"], timeout=_CALLER_TIMEOUT_SECONDS
            )
            try:
                connection.request("PUT", "/v1/routes", body=text.encode())
                return connection.getresponse().status
            except OSError:
                continue
            finally:
                connection.close()
        return 0

    def _make_settings(self, name: str, is_first_start: bool) -> dict[str, Any]:
        seeds = [self.addresses[f"{control}/internal"] for control in self.controls]
        is_control = name not in self.entries
        gateway: dict[str, Any] = {"dialect": "damsonlane", "heartbeat_seconds": 0.5}
        if is_control:
            gateway["registry_address"] = self.addresses[f"{name}/front"]
        else:
            gateway["ready_address"] = self.addresses[f"{name}/ready"]
        settings: dict[str, Any] = {
            "name": name,
            "data_centre": "fukuoka-a",
            "role": "control" if is_control else "entry",
            "data_folder": str(self.folder / name),
            "internal_address": self.addresses[f"{name}/internal"],
            "admin_address": self.addresses[f"{name}/admin"],
            "control": seeds,
            "election_seconds": 0.4,
            "gateway": gateway,
            "tls": dataclasses.asdict(self._issuer.sign(name)),
        }
        if is_control:
            settings["founding"] = {"seeds": seeds, "is_first_start": is_first_start}
        else:
            settings["caller_address"] = self.addresses[f"{name}/front"]
        more = dict(self._entry_settings.get(name, {}))
        gateway.update(more.pop("gateway", {}))
        settings.update(more)
        return settings


class RoutesDemonstration:
    """Runs the steps of the demonstration and collects the checks that failed."""

    def __init__(self, fleet: RoutesFleet) -> None:
        self._fleet: Final = fleet
        self.failures: list[str] = []

    def run(self) -> None:
        """Run all steps on a fleet that has not been started."""
        self._start()
        self._send_requests()
        self._kill_control_replica()
        self._drain_target()
        self._kill_engine()
        self._stop_entry()

    def _start(self) -> None:
        fleet = self._fleet
        print("Starting 3 control replicas, 2 entries and 6 targets that register themselves ...")
        for control in fleet.controls:
            fleet.start(control, is_first_start=True)
        for entry in fleet.entries:
            fleet.start(entry)
        for name, service, kind in _TARGETS:
            fleet.start_target(name, service, kind)
        fleet.put_document(1)
        for entry in fleet.entries:
            wait_until(lambda entry=entry: fleet.is_ready(entry), f"{entry} is ready")  # type: ignore[misc]
        wait_until(lambda: self._is_served("ping"), "all entries serve the plain targets")
        wait_until(lambda: self._is_served("chat"), "all entries serve the engines and pools")

    def _is_served(self, route: str) -> bool:
        return all(
            self._call(entry, route, f"probe-{route}")[0] == 200 for entry in self._fleet.entries
        )

    def _call(self, entry: str, route: str, request_id: str) -> tuple[int, bytes]:
        path = f"/{route}/a"
        if route != "chat":
            return self._fleet.call(entry, path, request_id)
        return self._fleet.call(
            entry, path, request_id, Damsonlane_Pieces="2,3", Damsonlane_Material_Key="demo"
        )

    def _send_requests(self) -> None:
        status, body = self._call("entry-1", "refund", "refund-1")
        self._check(status == 200, f"a refund is confirmed: {body.decode()}")
        status, body = self._call("entry-2", "chat", "chat-1")
        self._check(
            _is_complete_stream(status, body), f"a stream of {EVENT_COUNT} events is complete"
        )
        status, body = self._fleet.call("entry-1", "/nowhere/a", "lost-1")
        self._check(status == 404, f"an unknown path is refused: {body.decode()}")

    def _kill_control_replica(self) -> None:
        fleet = self._fleet
        fleet.processes["control-1"].kill()
        fleet.put_document(2)
        for control in ("control-2", "control-3"):
            wait_until(lambda control=control: fleet.read_version(control) == 2, "it has version 2")  # type: ignore[misc]
        status, _ = self._call("entry-1", "ping", "ping-1")
        self._check(status == 200, "a control replica is killed: changes and requests succeed")
        fleet.start("control-1")

    def _drain_target(self) -> None:
        fleet = self._fleet
        before = len(fleet.read_run_ids("desk-2"))
        fleet.processes["desk-1"].terminate()
        statuses = [self._call("entry-1", "refund", f"leaving-{number}")[0] for number in range(40)]
        self._check(statuses == [200] * 40, "a target drains: all refunds are confirmed")
        self._check(len(fleet.read_run_ids("desk-2")) > before, "the other target serves them")
        fleet.processes["desk-1"].wait()

    def _kill_engine(self) -> None:
        fleet = self._fleet
        results: list[tuple[int, bytes]] = []
        caller = _start_thread(lambda: results.append(self._call("entry-2", "chat", "chat-2")))
        fleet.processes[self._wait_for_engine("chat-2")].kill()
        caller.join()
        status, body = results[0]
        is_complete = _is_complete_stream(status, body)
        self._check(is_complete, "an engine is killed: its stream is resumed")
        if not is_complete:
            print(f"   status {status}, {len(body)} bytes; log lines of the boxes:")
            print(*fleet.read_log_lines("chat-2"), sep="\n")

    def _wait_for_engine(self, request_id: str) -> str:
        """Wait until an engine runs a request and return its name."""
        engines = [name for name, _, kind in _TARGETS if kind == "engine"]
        wait_until(
            lambda: any(request_id in self._read_run_ids(name) for name in engines),
            f"{request_id} runs",
        )
        return next(name for name in engines if request_id in self._read_run_ids(name))

    def _read_run_ids(self, target: str) -> list[str]:
        try:
            return self._fleet.read_run_ids(target)
        except OSError:
            return []

    def _stop_entry(self) -> None:
        fleet = self._fleet
        results: list[tuple[int, bytes]] = []
        caller = _start_thread(lambda: results.append(self._call("entry-1", "chat", "chat-3")))
        self._wait_for_engine("chat-3")
        fleet.processes["entry-1"].terminate()
        wait_until(lambda: not fleet.is_ready("entry-1"), "entry-1 is not ready any more")
        caller.join()
        status, body = results[0]
        self._check(
            _is_complete_stream(status, body), "an entry stops: its stream in flight is complete"
        )
        code = fleet.processes["entry-1"].wait()
        self._check(code == 0, f"entry-1 stopped with code {code}")

    def _check(self, passed: bool, description: str) -> None:
        print(f"{'ok ' if passed else 'BAD'} {description}")
        if not passed:
            self.failures.append(description)


def _is_complete_stream(status: int, body: bytes) -> bool:
    """Return whether a response is a stream with each event once, in order."""
    expected = "".join(
        f"id: {number}\ndata: token {number}\n\n" for number in range(1, EVENT_COUNT + 1)
    )
    return status == 200 and body.decode() == expected


def _start_thread(work: Callable[[], object]) -> Thread:
    thread = Thread(target=work)
    thread.start()
    return thread


def main() -> int:
    """Run the demonstration and return the exit code: 0 if all checks passed."""
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder, RoutesFleet(Path(folder)) as fleet:
        demonstration = RoutesDemonstration(fleet)
        demonstration.run()
    print(f"{time.monotonic() - began_at:.1f} s; {len(demonstration.failures)} failed checks")
    return 1 if demonstration.failures else 0


if __name__ == "__main__":
    sys.exit(main())
