"""Small fleet of processes that serves routes."""

import dataclasses
import http.client
import json
import shutil
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
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
from damsonlane_bench.routes_document import CALLER_KEY, make_document

#: Timeout of callers, in seconds.
_CALLER_TIMEOUT_SECONDS: Final = 20.0
#: Usual targets: name, service and kind.
TARGETS: Final[tuple[tuple[str, str, TargetKind], ...]] = (
    ("desk-1", "desk", "plain"),
    ("desk-2", "desk", "plain"),
    ("model-1", "model", "engine"),
    ("model-2", "model", "engine"),
    ("encode-1", "encode", "pool"),
    ("encode-2", "encode", "pool"),
)
_TARGET_NAMES: Final = tuple(name for name, _, _ in TARGETS)


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
