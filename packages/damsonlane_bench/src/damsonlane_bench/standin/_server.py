"""The stand-in as a WSGI application."""

import json
import os
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict
from typing import Any, Final

from damsonlane_bench.standin import _stage_functions
from damsonlane_bench.standin._behaviour import Behaviour, is_nth
from damsonlane_bench.standin._execution_counter import Execution, ExecutionCounter

#: Characters of an input that are recorded.
_RECORDED_CHARACTERS: Final = 200

_STAGES: Final[dict[str, Callable[[str], str]]] = {
    "encode": _stage_functions.encode,
    "retrieve": _stage_functions.retrieve,
    "rerank": _stage_functions.rerank,
}

#: Input at which a target exits.
CRASH_INPUT: Final = "end the target"
#: Exit code of a target that exits at `CRASH_INPUT`.
_CRASH_EXIT_CODE: Final = 70


class DropConnectionError(Exception):
    """Drops the connection of a request without a response."""


class StandIn:
    """A target that is a stage worker, a plain service or an engine, by the path of the request."""

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.counter: Final = ExecutionCounter()
        self._lock: Final = threading.Lock()
        self._in_flight = 0
        self._count = 0
        self._slots = threading.Semaphore(behaviour.slots)

    def __call__(self, environment: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Handle one request."""
        path = environment["PATH_INFO"]
        if path == "/executions":
            return self._respond_json(start, self._describe_executions())
        body = json.loads(environment["wsgi.input"].read(int(environment["CONTENT_LENGTH"])))
        if path == "/behaviour":
            self._change_behaviour(body)
            return self._respond_json(start, {})
        return self._handle(path, body, start)

    def _handle(self, path: str, body: dict[str, Any], start: Any) -> Iterable[bytes]:
        behaviour = self.behaviour
        if behaviour.is_leaving or behaviour.is_refusing:
            return self._reject(body, start, behaviour)
        with self._lock:
            self._in_flight += 1
            self._count += 1
            count = self._count
        if path == "/v1/completions":
            return self._generate(body, start, behaviour, count)
        try:
            with self._slots:
                return self._run_stage(body, start, behaviour, count)
        finally:
            self._release()

    def _run_stage(
        self, body: dict[str, Any], start: Any, behaviour: Behaviour, count: int
    ) -> Iterable[bytes]:
        text = body["input"]
        time.sleep(behaviour.seconds + behaviour.seconds_per_thousand * len(text) / 1000)
        self._record(body, text)
        if CRASH_INPUT in text:
            os._exit(_CRASH_EXIT_CODE)
        if is_nth(behaviour.hang_up_every, count):
            raise DropConnectionError
        if is_nth(behaviour.fail_every, count):
            return self._respond_json(start, {"error": "planned"}, "500 Internal Server Error")
        response = _find_key(body)
        response["output"] = _STAGES.get(body["stage"], _stage_functions.encode)(text)
        if is_nth(behaviour.cross_every, count):
            response["request"] = "another"
        data = json.dumps(response).encode()
        if is_nth(behaviour.truncate_every, count):
            # The Content-Length is that of the truncated text, so only the JSON shows the fault.
            data = data[: len(data) // 2]
        return self._respond(start, "200 OK", data)

    def _generate(
        self, body: dict[str, Any], start: Any, behaviour: Behaviour, count: int
    ) -> Iterable[bytes]:
        headers = [("Content-Type", "text/event-stream"), self._load_header()]
        start("200 OK", headers)
        return self._stream(body, behaviour, count)

    def _stream(self, body: dict[str, Any], behaviour: Behaviour, count: int) -> Iterator[bytes]:
        try:
            with self._slots:
                yield from self._tokens(body, behaviour, count)
        finally:
            self._release()

    def _tokens(self, body: dict[str, Any], behaviour: Behaviour, count: int) -> Iterator[bytes]:
        prompt = body["prompt"]
        time.sleep(behaviour.seconds + behaviour.seconds_per_thousand * len(prompt) / 1000)
        metadata = dict(body["metadata"])
        self._record(metadata, prompt)
        if is_nth(behaviour.cross_every, count):
            metadata["request"] = "another"
        tokens = _stage_functions.generate(prompt)
        if is_nth(behaviour.truncate_every, count):
            tokens = tokens[: len(tokens) // 2]
        for token in tokens:
            time.sleep(behaviour.token_seconds)
            self.counter.add_tokens(1)
            event = {"id": metadata["request"], "choices": [{"text": token}], "metadata": metadata}
            yield f"data: {json.dumps(event)}\n\n".encode()
        if not is_nth(behaviour.truncate_every, count):
            yield b"data: [DONE]\n\n"

    def _record(self, names: dict[str, Any], text: str) -> None:
        execution = Execution(
            request=names["request"],
            organisation=names["organisation"],
            stage=names["stage"],
            text=text[:_RECORDED_CHARACTERS],
        )
        self.counter.count(execution)

    def _reject(self, body: dict[str, Any], start: Any, behaviour: Behaviour) -> Iterable[bytes]:
        headers = [("Damsonlane-Leaving", "1")] if behaviour.is_leaving else []
        data = json.dumps(_find_key(body.get("metadata", body))).encode()
        return self._respond(start, "503 Service Unavailable", data, headers)

    def _release(self) -> None:
        with self._lock:
            self._in_flight -= 1

    def _load_header(self) -> tuple[str, str]:
        with self._lock:
            load = {"held": self._in_flight, "slots": self.behaviour.slots}
        return ("Damsonlane-Load", json.dumps(load))

    def _change_behaviour(self, fields: dict[str, Any]) -> None:
        behaviour = self.behaviour.with_fields(**fields)
        if behaviour.slots != self.behaviour.slots:
            self._slots = threading.Semaphore(behaviour.slots)
        self.behaviour = behaviour

    def _describe_executions(self) -> dict[str, Any]:
        executions = [
            {**asdict(execution), "count": count}
            for execution, count in self.counter.executions().items()
        ]
        return {"executions": executions, "tokens": self.counter.tokens, "held": self._in_flight}

    def _respond_json(
        self, start: Any, body: dict[str, Any], status: str = "200 OK"
    ) -> Iterable[bytes]:
        return self._respond(start, status, json.dumps(body).encode())

    def _respond(
        self, start: Any, status: str, data: bytes, headers: Iterable[tuple[str, str]] = ()
    ) -> Iterable[bytes]:
        common = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        start(status, [*common, self._load_header(), *headers])
        return [data]


def _find_key(body: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a request that name its attempt; responses repeat them."""
    return {name: body[name] for name in ("request", "organisation", "stage", "attempt")}
