"""Forecasts by which work that can't end before its deadline is not started."""

from damsonlane.lateness._durations import AnswerDurations

__all__ = ["AnswerDurations"]
