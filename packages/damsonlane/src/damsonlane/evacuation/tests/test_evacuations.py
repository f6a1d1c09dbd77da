"""The replicated state of evacuated data centres."""

import unittest

from damsonlane.cluster import ClusterState, decode_command, encode_command
from damsonlane.evacuation import (
    EvacuateDataCentre,
    EvacuationRecorded,
    Evacuations,
    RestoreDataCentre,
)


def evacuate(name: str, call: str = "c1") -> EvacuateDataCentre:
    return EvacuateDataCentre(data_centre=name, call=call, operator="mei", at=5.0)


def restore(name: str) -> RestoreDataCentre:
    return RestoreDataCentre(data_centre=name, call="c9", operator="mei", at=6.0)


class EvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = Evacuations()

    def names(self) -> tuple[str, ...]:
        return self.state.list_for_entries().data_centres

    def test_each_change_raises_the_revision(self) -> None:
        commands: list[EvacuateDataCentre | RestoreDataCentre] = [
            evacuate("johar"),
            evacuate("dha"),
            restore("johar"),
        ]
        for number, command in enumerate(commands):
            self.assertEqual(self.state.apply(command), EvacuationRecorded(is_changed=True))
            self.assertEqual(self.state.revision, number + 1)
        self.assertEqual(self.names(), ("dha",))

    def test_a_repeated_command_is_accepted_and_changes_nothing(self) -> None:
        self.state.apply(evacuate("johar", "c1"))
        self.assertFalse(self.state.apply(evacuate("johar", "c2")).is_changed)
        self.assertEqual(self.state.revision, 1)
        self.assertEqual(self.state.evacuations()[0].call, "c1")
        self.assertFalse(self.state.apply(restore("dha")).is_changed)
        self.assertEqual(self.names(), ("johar",))

    def test_of_concurrent_commands_the_last_one_committed_wins(self) -> None:
        self.state.apply(evacuate("johar"))
        self.state.apply(restore("johar"))
        self.state.apply(evacuate("johar", "late resend"))
        self.assertEqual(self.names(), ("johar",))

    def test_the_snapshot_of_the_cluster_stores_operator_and_time(self) -> None:
        state = ClusterState()
        command = evacuate("johar")
        state.apply(decode_command(encode_command(command)))
        copy = ClusterState.from_text(state.to_text())
        self.assertEqual(copy.evacuations.snapshot(), state.evacuations.snapshot())
        (restored,) = copy.evacuations.evacuations()
        self.assertEqual(
            (restored.data_centre, restored.operator, restored.at), ("johar", "mei", 5.0)
        )

    def test_a_snapshot_of_an_older_version_has_no_evacuations(self) -> None:
        self.assertEqual(ClusterState.from_text("{}").evacuations.revision, 0)


if __name__ == "__main__":
    unittest.main()
