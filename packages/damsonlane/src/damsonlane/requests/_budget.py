"""A budget that keeps retries to a share of first attempts."""

from typing import Final

#: Retries that may be made before any first attempt is counted.
INITIAL_RETRIES: Final = 3.0
#: Most retries that can be saved up.
LARGEST_SAVING: Final = 100.0


class RetryBudget:
    """Saves a share of each first attempt and spends one for each retry."""

    def __init__(self) -> None:
        self._saved = INITIAL_RETRIES

    def count_first(self, share: float) -> None:
        """Save ``share`` of a retry for a first attempt."""
        self._saved = min(LARGEST_SAVING, self._saved + share)

    def try_spend(self) -> bool:
        """Spend one retry, if one is saved."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
