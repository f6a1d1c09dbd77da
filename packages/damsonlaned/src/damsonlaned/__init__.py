"""The box daemon of damsonlane."""

import sys
from typing import Final

from damsonlane.errors import DamsonlaneError, SettingsError
from damsonlaned import clock
from damsonlaned._process import describe_failure, read_settings_file, run_box

__all__ = ["EXIT_FAILED", "EXIT_SETTINGS", "describe_failure", "main", "run_box"]

#: Exit code when the settings are wrong.
EXIT_SETTINGS: Final = 2
#: Exit code when the box can't start or its disk failed.
EXIT_FAILED: Final = 3


def run(settings: str) -> None:
    """Run a box.

    Args:
        settings: path of the file with the settings of the box.
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
    # Only this command needs the library, and a box that is started otherwise saves its memory.
    import fire

    fire.Fire(run, name="damsonlaned")
