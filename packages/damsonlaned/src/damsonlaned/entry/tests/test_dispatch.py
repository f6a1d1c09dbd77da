"""Dispatch while settings change under requests."""

import unittest

from pydantic import JsonValue

from damsonlane.requests import AttemptKey, Request, Send, StagePlan
from damsonlane.settings import Tree, check_tree
from damsonlaned.entry._dispatch import Dispatch
from damsonlaned.entry._leaving import LeavingTargets
from damsonlaned.entry._view import SettingsInForce

_STAGE = StagePlan(name="encode", service="encode", attempts=1, routing="paced")


def _settings(version: int, target: str) -> SettingsInForce:
    where: JsonValue = {"address": "127.0.0.1:1", "data_centre": "one"}
    tree = check_tree({"services": {"encode": {"kind": "pool", "targets": {target: where}}}})
    assert isinstance(tree, Tree)
    return SettingsInForce(version=version, tree=tree)


class DispatchTest(unittest.TestCase):
    def test_a_request_under_older_settings_brings_no_removed_target_back(self) -> None:
        dispatch = Dispatch("one", LeavingTargets())
        request = Request(
            request="r", organisation="o", pipeline="p", text="", due_at=0, stages=(_STAGE,)
        )
        old, new = _settings(1, "removed"), _settings(2, "added")
        for settings in (old, new, old):
            dispatch.forecast(request, settings)
        key = AttemptKey(request="r", organisation="o", stage="encode", number=1)
        send = Send(key=key, stage=_STAGE, text="", avoid=(), seconds=0.0, is_last=True)
        attempt = dispatch.send(send, old, "p")
        with self.assertRaises(StopIteration) as stopped:
            next(attempt)
        self.assertEqual(stopped.exception.value[0], "added")


if __name__ == "__main__":
    unittest.main()
