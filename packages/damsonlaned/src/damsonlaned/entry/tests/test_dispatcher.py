"""Choice of targets while settings change and while a target rejects requests."""

import unittest
from collections.abc import Callable, Generator
from unittest import mock

from pydantic import JsonValue

from damsonlane.requests import AttemptKey, AttemptResult, Request, ResolvedStage, Send
from damsonlane.settings import SettingsTree, check_tree
from damsonlaned.entry._dispatcher import Dispatcher
from damsonlaned.entry._draining_targets import DrainingTargets
from damsonlaned.entry._settings_view import SettingsInForce
from damsonlaned.targets import (
    TARGET_PROTOCOLS,
    Connections,
    PoolProtocol,
    TargetAnnouncement,
    TargetCall,
    TargetReply,
)

_STAGE = ResolvedStage(name="encode", service="encode", attempts=1, routing="paced")


_SEND = Send(
    key=AttemptKey(request="r", organisation="o", stage="encode", number=1),
    stage=_STAGE,
    text="",
    avoid=(),
    seconds=0.0,
    is_last=True,
)


def _settings(version: int, *names: str) -> SettingsInForce:
    targets: dict[str, JsonValue] = {
        name: {"address": f"127.0.0.1:{number}", "data_centre": "one"}
        for number, name in enumerate(names, start=1)
    }
    tree = check_tree({"services": {"encode": {"kind": "pool", "targets": targets}}})
    assert isinstance(tree, SettingsTree)
    return SettingsInForce(version=version, tree=tree)


class DispatcherTest(unittest.TestCase):
    def test_a_request_under_older_settings_does_not_restore_a_removed_target(self) -> None:
        dispatcher = Dispatcher("one", DrainingTargets(), mock.Mock())
        request = Request(
            request="r", organisation="o", pipeline="p", text="", deadline_at=0, stages=(_STAGE,)
        )
        old, new = _settings(1, "removed"), _settings(2, "added")
        for settings in (old, new, old):
            dispatcher.forecast(request, settings)
        self.assertEqual(self._send(dispatcher, old), "added")

    def test_a_target_that_rejects_at_once_does_not_attract_all_requests(self) -> None:
        """It never has a request in flight, so by that alone it would always be chosen."""
        dispatcher = Dispatcher("one", DrainingTargets(), mock.Mock())
        settings = _settings(1, "refusing", "working")
        with mock.patch.dict(TARGET_PROTOCOLS, {"pool": _RejectingPool()}):
            chosen = [self._send(dispatcher, settings) for _ in range(40)]
        self.assertLess(chosen.count("refusing"), 6)

    def _send(self, dispatcher: Dispatcher, settings: SettingsInForce) -> str:
        attempt = dispatcher.send(_SEND, settings, "p", "f")
        with self.assertRaises(StopIteration) as stopped:
            next(attempt)
        return str(stopped.exception.value[0])


class _RejectingPool(PoolProtocol):
    """Rejects at the first port and answers at any other."""

    def call(
        self,
        connections: Connections,
        call: TargetCall,
        on_announcement: Callable[[TargetAnnouncement], None] = lambda _: None,
    ) -> Generator[str, None, TargetReply]:
        yield from ()
        if call.address.endswith(":1"):
            return TargetReply(result=AttemptResult(answers=None, outcome="refused"))
        return TargetReply(result=AttemptResult(answers=call.key, outcome="answered"))


if __name__ == "__main__":
    unittest.main()
