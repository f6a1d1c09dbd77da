"""Log lines and metrics on the shares of organisations."""

from damsonlaned.fairness._share_reporter import REPORT_SECONDS, ShareReporter

__all__ = ["REPORT_SECONDS", "ShareReporter"]
