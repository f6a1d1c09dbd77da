"""What targets say of themselves in the heads of their answers to this box."""

import logging
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlaned.dialects import AnswerSigns

_LOG: Final = logging.getLogger(__name__)


class TargetNotices:
    """Takes what any answer of a target says of it, whatever it was asked for."""

    def take(self, named: TargetStart, signs: AnswerSigns) -> None:
        """Take the head of an answer."""
        if signs.backoff_seconds > 0:
            fields = {"target": named.target, "start": named.start}
            _LOG.info("back-off asked", extra={**fields, "seconds": signs.backoff_seconds})
        if signs.is_leaving:
            fields = {"target": named.target, "start": named.start}
            _LOG.info("target leaves", extra=fields)
