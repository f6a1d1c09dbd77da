"""The daemon that runs on the boxes of damsonlane."""

import sys
from typing import Final

from damsonlane.errors import DamsonlaneError, SettingsError
from damsonlaned import clock
from damsonlaned._process import describe_failure, read_settings_file, run_box

__all__ = ["EXIT_FAILED", "EXIT_SETTINGS", "describe_failure", "main", "run_box"]

#: Exit code if the settings are invalid.
EXIT_SETTINGS: Final = 2
#: Exit code if the box can't start or its disk failed.
EXIT_FAILED: Final = 3


def run(settings: str) -> None:
    """Run a box.

    Args:
        settings: path of the settings file of the box.
    """
    try:
        clock.run(run_box(read_settings_file(str(settings))))
    except SettingsError as error:
        print(describe_failure(error), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except DamsonlaneError as error:
        print(describe_failure(error), file=sys.stderr)
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Run the ``damsonlaned`` command."""
    # Imported here, since it would cost memory in programs that call `run_box` themselves.
    import fire

    fire.Fire(run, name="damsonlaned")
