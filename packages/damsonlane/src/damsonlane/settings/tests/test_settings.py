"""Settings: findings and their places, inheritance, edits."""

import unittest
from datetime import UTC, datetime, timedelta
from typing import Any

from pydantic import JsonValue

from damsonlane.errors import SettingsError
from damsonlane.settings import (
    Edit,
    Origin,
    SettingsTree,
    apply_edits,
    check_tree,
    read_box_settings,
    read_document,
    read_tree,
)

_TREE = """{
  // Root of the tree.
  "policy": {"deadline_seconds": 3.0, "weight": 2},
  "data_centres": {"gulberg": {"policy": {"in_flight": 10}}, "johar": {}},
  "services": {
    "generate": {
      "kind": "engine", "model": "translation", /* one model */
      "targets": {"generate-1": {"address": "127.0.0.1:9001", "data_centre": "johar"}},
      "policy": {"stage_attempts": 3}
    }
  },
  "organisations": {
    "bureau": {
      "policy": {"weight": 4},
      "pipelines": {
        "subtitle": {
          "stages": [{"name": "generate", "service": "generate"}],
          "policy": {"deadline_seconds": 1.5}
        }
      }
    }
  },
  "events": {
    "hearing": {
      "starts_at": "2026-12-02T10:00:00+05:00",
      "answer_within_seconds": 60,
      "pipelines": ["bureau/subtitle"]
    }
  }
}"""


def _findings(text: str) -> list[str]:
    try:
        read_tree(read_document(text, "tree.json"))
    except SettingsError as error:
        return [finding.render() for finding in error.findings]
    return []


def _tree() -> SettingsTree:
    return read_tree(read_document(_TREE))


class FindingsTest(unittest.TestCase):
    def test_a_valid_tree_has_no_findings(self) -> None:
        self.assertEqual(_findings(_TREE), [])

    def test_each_fault_is_reported_at_its_place(self) -> None:
        cases = [
            (
                '"weight": 2',
                '"weihgt": 2',
                ["tree.json:3:39 /policy/weihgt: unknown key 'weihgt'; the nearest known name "
                 "is 'weight'"],
            ),
            (
                '"weight": 2',
                '"weight": -2',
                ["tree.json:3:39 /policy/weight: Input should be greater than 0"],
            ),
            (
                '"service": "generate"}',
                '"service": "generator"}',
                ["tree.json:17:43 /organisations/bureau/pipelines/subtitle/stages/0/service: "
                 "service 'generator' is not in /services"],
            ),
            (
                '"data_centre": "johar"',
                '"data_centre": "dha"',
                ["tree.json:8:63 /services/generate/targets/generate-1/data_centre: data centre "
                 "'dha' is not in /data_centres"],
            ),
            (
                "bureau/subtitle",
                "bureau/nothing",
                ["tree.json:27:21 /events/hearing/pipelines/0: no pipeline 'bureau/nothing' "
                 "(write organisation/pipeline)"],
            ),
            (
                '"model": "translation",',
                "",
                ["tree.json:6:5 /services/generate: an engine service must name its model"],
            ),
            (
                '"stage_attempts": 3',
                '"routing": "lucky"',
                ["tree.json:9:18 /services/generate/policy/routing: no policy 'lucky'; known are "
                 "least-in-flight, paced, predicted, prefix-affinity, random, round-robin"],
            ),
        ]  # fmt: skip
        for written, changed, expected in cases:
            with self.subTest(changed=changed):
                self.assertEqual(_findings(_TREE.replace(written, changed, 1)), expected)

    def test_all_findings_are_reported_together(self) -> None:
        text = _TREE.replace('"weight": 2', '"weight": "x", "wait": 1', 1)
        self.assertEqual(len(_findings(text)), 2)

    def test_invalid_json_is_reported_with_line_and_column(self) -> None:
        (finding,) = _findings('{\n  "policy": {,}\n}')
        self.assertTrue(finding.startswith("tree.json:2:1"), finding)

    def test_missing_addresses_of_a_role_are_reported(self) -> None:
        text = """{"name": "entry-1", "data_centre": "johar", "role": "entry",
          "data_folder": "data", "internal_address": "127.0.0.1:1",
          "admin_address": "localhost:2", "control": []}"""
        with self.assertRaises(SettingsError) as caught:
            read_box_settings(read_document(text, "box.json"))
        self.assertEqual([f.place.path for f in caught.exception.findings], ["/admin_address"])
        with self.assertRaises(SettingsError) as caught:
            read_box_settings(read_document(text.replace("localhost", "127.0.0.1"), "box.json"))
        paths = [finding.place.path for finding in caught.exception.findings]
        self.assertEqual(paths, ["/caller_address", "/control"])

    def test_an_implausible_weight_of_a_share_is_found_at_its_place(self) -> None:
        """Guards against a share of nothing, or of everything, by a mistake in the settings."""
        text = """{"name": "entry-1", "data_centre": "gulberg", "role": "entry",
          "data_folder": "data", "internal_address": "127.0.0.1:1",
          "admin_address": "127.0.0.1:2", "caller_address": "127.0.0.1:3",
          "control": ["127.0.0.1:4"],
          "gateway": {"dialect": "native", "ready_address": "127.0.0.1:5", "fair_shares": true,
                      "share_weights": {"bureau": %s, "florists": 2}}}"""
        settings = read_box_settings(read_document(text % "0.5", "box.json"))
        assert settings.gateway is not None
        weights = [settings.gateway.find_weight(name) for name in ("bureau", "florists", "new")]
        self.assertEqual(weights, [0.5, 2.0, 1.0])
        for weight in ("0", "-1", "1e9", "NaN", '"much"', "null"):
            with self.subTest(weight), self.assertRaises(SettingsError) as caught:
                read_box_settings(read_document(text % weight, "box.json"))
            paths = [finding.place.path for finding in caught.exception.findings]
            self.assertEqual(paths, ["/gateway/share_weights/bureau"])


class InheritanceTest(unittest.TestCase):
    def test_inherited_values_and_their_origins(self) -> None:
        origins = {o.name: o for o in _tree().explain("gulberg", "bureau", "subtitle")}
        expected = [
            Origin(
                name="deadline_seconds",
                value=1.5,
                path="/organisations/bureau/pipelines/subtitle/policy/deadline_seconds",
            ),
            Origin(name="weight", value=4, path="/organisations/bureau/policy/weight"),
            Origin(name="in_flight", value=10, path="/data_centres/gulberg/policy/in_flight"),
            Origin(name="stage_attempts", value=2, path="default"),
        ]
        self.assertEqual([origins[origin.name] for origin in expected], expected)

    def test_service_policy_ranks_between_organisation_and_pipeline(self) -> None:
        policy = _tree().stage_policy_of("johar", "bureau", "subtitle", "generate")
        self.assertEqual((policy.stage_attempts, policy.weight, policy.in_flight), (3, 4, 64))

    def test_event_end_is_returned_only_while_the_event_runs(self) -> None:
        start = datetime(2026, 12, 2, 5, 0, tzinfo=UTC)
        moments = [start - timedelta(seconds=1), start, start + timedelta(seconds=60)]
        ends = [_tree().event_end("bureau", "subtitle", moment) for moment in moments]
        self.assertEqual(ends, [None, start.timestamp() + 60, None])


class EditTest(unittest.TestCase):
    def test_result_of_each_edit(self) -> None:
        document: JsonValue = {"a": {"b": 1}}
        cases: list[tuple[Edit, JsonValue]] = [
            (Edit(path="/a/b", value=2), {"a": {"b": 2}}),
            (Edit(path="/c/d", value=True), {"a": {"b": 1}, "c": {"d": True}}),
            (Edit(path="/a/b", action="remove"), {"a": {}}),
            (Edit(path="", value={}), {}),
        ]
        for edit, expected in cases:
            with self.subTest(edit=edit):
                self.assertEqual(apply_edits(document, [edit]), expected)
        self.assertEqual(document, {"a": {"b": 1}})

    def test_failed_edits_are_reported_together(self) -> None:
        edits = [
            Edit(path="a", value=1),
            Edit(path="/a/b/c", value=1),
            Edit(path="/x", action="remove"),
        ]
        with self.assertRaises(SettingsError) as caught:
            apply_edits({"a": {"b": 1}}, edits)
        messages = [finding.message for finding in caught.exception.findings]
        self.assertEqual(
            messages,
            ["a path starts with '/'", "'c' is not inside an object", "nothing is here to remove"],
        )

    def test_an_empty_tree_is_valid(self) -> None:
        empty: Any = check_tree({})
        self.assertEqual(empty, SettingsTree())


if __name__ == "__main__":
    unittest.main()
