"""Back-off: targets that want nothing from this box, for a while or because they leave."""

from damsonlane.backoff._start import TargetStart

__all__ = ["TargetStart"]
