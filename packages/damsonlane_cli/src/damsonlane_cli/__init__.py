"""The command line of damsonlane for operators."""

import fire

from damsonlane_cli._control import ControlCommands
from damsonlane_cli._data_centres import DataCentreCommands
from damsonlane_cli._explain import explain
from damsonlane_cli._quarantine import QuarantineCommands
from damsonlane_cli._reports import ReportCommands
from damsonlane_cli._settings import SettingsCommands
from damsonlane_cli._targets import TargetCommands

__all__ = ["main"]


class Commands:
    """Operate damsonlane: settings, replicas, data centres, quarantine, targets, reports."""

    def __init__(self) -> None:
        self.settings = SettingsCommands()
        self.control = ControlCommands()
        self.data_centre = DataCentreCommands()
        self.quarantine = QuarantineCommands()
        self.report = ReportCommands()
        self.targets = TargetCommands()
        self.explain = explain


def main() -> None:
    """Run the ``damsonlane`` command."""
    fire.Fire(Commands(), name="damsonlane")
