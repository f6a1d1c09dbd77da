"""The operator's command of damsonlane."""

import fire

from damsonlane_cli._control import ControlCommands
from damsonlane_cli._reports import ReportCommands
from damsonlane_cli._settings import SettingsCommands

__all__ = ["main"]


class Commands:
    """Operate damsonlane: settings, control replicas and reports."""

    def __init__(self) -> None:
        self.settings = SettingsCommands()
        self.control = ControlCommands()
        self.report = ReportCommands()


def main() -> None:
    """Run the ``damsonlane`` command."""
    fire.Fire(Commands(), name="damsonlane")
