"""A whole system on one machine: control replicas, entries and stand-ins, each in a process."""

import contextlib
import dataclasses
import functools
import json
import os
import shutil
import subprocess
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from damsonlane.settings import TlsFiles
from damsonlane_bench.fleet._certificates import CertificateIssuer
from damsonlane_bench.fleet._http import Response, send
from damsonlane_bench.fleet._ports import allocate_address
from damsonlane_bench.fleet._processes import Process, find_program
from damsonlane_bench.fleet._waiting import WaitTimeoutError, wait_until

_COMMAND_TIMEOUT_SECONDS: Final = 60.0


@dataclass(frozen=True, kw_only=True)
class Box:
    """A box of the fleet."""

    #: Its name.
    name: str
    #: ``control`` or ``entry``.
    role: str
    #: Address for calls from other boxes and operators.
    internal_address: str
    #: Address of its health checks and metrics.
    admin_address: str
    #: Address for callers; empty for control boxes.
    caller_address: str
    #: File with its settings.
    settings_file: Path
    #: Its data folder.
    data_folder: Path


@dataclass(frozen=True, kw_only=True)
class CommandResult:
    """Result of a run of the operator's command."""

    #: Exit code.
    code: int
    #: Standard output.
    output: str
    #: Standard error.
    errors: str


class Fleet:
    """A fleet whose files are in one folder; a context manager that stops all its processes.

    Args:
        folder: for settings, data folders and logs.
        controls: number of control boxes.
        entries: number of entry boxes.
        data_centres: names of data centres, assigned to the boxes in turn.
        with_tls: whether calls between boxes use TLS.
        election_seconds: shortest time without a leader before an election.
        box_settings: further settings of every box.
    """

    def __init__(
        self,
        folder: Path,
        *,
        controls: int = 3,
        entries: int = 2,
        data_centres: Sequence[str] = ("fukuoka-a", "kumamoto"),
        with_tls: bool = True,
        election_seconds: float = 0.4,
        box_settings: Mapping[str, Any] | None = None,
    ) -> None:
        self.folder: Final = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._election_seconds: Final = election_seconds
        self._box_settings: Final = dict(box_settings or {})
        self._issuer: Final = CertificateIssuer(folder / "keys") if with_tls else None
        self._data_centres: Final = data_centres
        self.processes: dict[str, Process] = {}
        self.standins: dict[str, str] = {}
        self.boxes: dict[str, Box] = {}
        names = [f"control-{number + 1}" for number in range(controls)]
        names += [f"entry-{number + 1}" for number in range(entries)]
        for number, name in enumerate(names):
            self._define_box(name, data_centres[number % len(data_centres)])
        self._write_files()

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_all()

    # Boxes.

    def controls(self) -> list[Box]:
        """Return the control boxes."""
        return [box for box in self.boxes.values() if box.role == "control"]

    def entries(self) -> list[Box]:
        """Return the entry boxes."""
        return [box for box in self.boxes.values() if box.role == "entry"]

    def add_control(self, name: str) -> Box:
        """Define one more control box, which `start` then starts."""
        self._define_box(name, self._data_centres[0])
        self._write_files()
        return self.boxes[name]

    def start(self, name: str) -> Process:
        """Start a box."""
        box = self.boxes[name]
        command = [find_program("damsonlaned"), f"--settings={box.settings_file}"]
        process = Process(name, command, self.folder / f"{name}.log")
        self.processes[name] = process
        return process

    def start_control_group(self) -> None:
        """Start all control boxes and form a group of them."""
        first, *others = self.controls()
        for box in (first, *others):
            self.start(box.name)
        for box in (first, *others):
            self.wait_listening(box)
        self.check_command("control", "found", first.internal_address)
        for box in others:
            self.check_command("control", "add", box.internal_address)

    def start_entries(self) -> None:
        """Start all entries and wait until they are ready."""
        for box in self.entries():
            self.start(box.name)
        for box in self.entries():
            self.wait_ready(box)

    def wait_listening(self, box: Box) -> None:
        """Wait until a box responds at its admin address."""
        url = f"http://{box.admin_address}/livez"
        self._wait_for_box(box, url, f"{box.name} listens")

    def wait_ready(self, box: Box) -> None:
        """Wait until a box reports that it is ready."""
        url = f"http://{box.admin_address}/readyz"
        self._wait_for_box(box, url, f"{box.name} is ready")

    def _wait_for_box(self, box: Box, url: str, what: str) -> None:
        """Wait until a box responds with status 200.

        Raises:
            WaitTimeoutError: its process exited, or it did not respond in time; with the tail of
                its log.
        """
        process = self.processes[box.name]
        try:
            wait_until(lambda: not process.is_running() or _is_ok(url), what)
        except WaitTimeoutError as error:
            raise WaitTimeoutError(f"{error}; its log ends: {process.read_log_tail()}") from None
        if not process.is_running():
            raise WaitTimeoutError(f"{box.name} ended; its log ends: {process.read_log_tail()}")

    def wipe_data(self, name: str) -> None:
        """Delete the data folder of a box that is not running."""
        shutil.rmtree(self.boxes[name].data_folder)

    # Stand-ins.

    def start_standin(self, name: str, **behaviour: object) -> str:
        """Start or restart a stand-in and return its address.

        Args:
            name: its name, also of its log.
            behaviour: fields of `damsonlane_bench.standin.Behaviour`.
        """
        address = self.standins.get(name) or allocate_address()
        command = [sys.executable, "-m", "damsonlane_bench.standin", f"--address={address}"]
        command += [f"--{field}={value}" for field, value in behaviour.items()]
        self.processes[name] = Process(name, command, self.folder / f"{name}.log")
        self.standins[name] = address
        return address

    def wait_standins(self) -> None:
        """Wait until all stand-ins respond."""
        for name, address in self.standins.items():
            wait_until(functools.partial(_is_ok, f"http://{address}/executions"), f"{name} listens")

    def change_behaviour(self, name: str, **behaviour: object) -> None:
        """Change fields of a stand-in's behaviour."""
        send("POST", f"http://{self.standins[name]}/behaviour", behaviour)

    def read_executions(self, name: str) -> list[dict[str, Any]]:
        """Return the executions that a stand-in counted."""
        return list(send("GET", f"http://{self.standins[name]}/executions").body["executions"])

    # Operators and callers.

    def command(self, *arguments: str) -> CommandResult:
        """Run the operator's command."""
        environment = {**os.environ, "DAMSONLANE_SETTINGS": str(self.folder / "operator.json")}
        completed = subprocess.run(
            [find_program("damsonlane"), *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=_COMMAND_TIMEOUT_SECONDS,
            check=False,
        )
        return CommandResult(
            code=completed.returncode, output=completed.stdout, errors=completed.stderr
        )

    def check_command(self, *arguments: str) -> str:
        """Run the operator's command, which must succeed, and return its output."""
        result = self.command(*arguments)
        if result.code != 0:
            raise AssertionError(f"damsonlane {' '.join(arguments)}: {result}")
        return result.output

    def apply_settings(self, tree: Mapping[str, Any]) -> None:
        """Apply a settings tree."""
        path = self.folder / "tree.json"
        path.write_text(json.dumps(tree, indent=2), encoding="utf-8")
        self.check_command("settings", "apply", str(path))

    def call(
        self,
        entry: str,
        pipeline: str,
        text: str,
        *,
        token: str,
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Send a request to an entry as a caller."""
        address = self.boxes[entry].caller_address
        return send(
            "POST",
            f"http://{address}/v1/pipelines/{pipeline}",
            {"input": text},
            {"Authorization": f"Bearer {token}", **(headers or {})},
        )

    # Stopping.

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.processes.pop(name).kill()

    def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        return self.processes.pop(name).stop()

    def stop_all(self) -> None:
        """Stop all processes, entries first."""
        order = sorted(self.processes, key=lambda name: not name.startswith("entry"))
        for name in order:
            with contextlib.suppress(ProcessLookupError):
                self.processes[name].resume()
            self.processes.pop(name).stop()

    # Files.

    def _define_box(self, name: str, data_centre: str) -> None:
        role = name.partition("-")[0]
        box = Box(
            name=name,
            role=role,
            internal_address=allocate_address(),
            admin_address=allocate_address(),
            caller_address=allocate_address() if role == "entry" else "",
            settings_file=self.folder / f"{name}.json",
            data_folder=self.folder / "data" / name,
        )
        self.boxes[name] = box
        self._centres = {**getattr(self, "_centres", {}), name: data_centre}

    def _write_files(self) -> None:
        control = [box.internal_address for box in self.controls()]
        for box in self.boxes.values():
            box.settings_file.write_text(json.dumps(self._make_settings(box, control), indent=2))
        operator: dict[str, Any] = {"control": control}
        if self._issuer:
            operator["tls"] = dataclasses.asdict(self._sign("operator"))
        (self.folder / "operator.json").write_text(json.dumps(operator, indent=2))

    def _make_settings(self, box: Box, control: Sequence[str]) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "name": box.name,
            "data_centre": self._centres[box.name],
            "role": box.role,
            "data_folder": str(box.data_folder),
            "internal_address": box.internal_address,
            "admin_address": box.admin_address,
            "control": control,
            "election_seconds": self._election_seconds,
            **self._box_settings,
        }
        if box.role == "entry":
            settings["caller_address"] = box.caller_address
            others = [other for other in self.entries() if other.name != box.name]
            settings["peers"] = [other.internal_address for other in others]
        if self._issuer:
            settings["tls"] = dataclasses.asdict(self._sign(box.name))
        return settings

    def _sign(self, name: str) -> TlsFiles:
        assert self._issuer is not None
        return self._issuer.sign(name)


def _is_ok(url: str) -> bool:
    return send("GET", url).status == 200
