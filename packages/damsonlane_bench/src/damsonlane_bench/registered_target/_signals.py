"""Signals that change how a stand-in behaves."""

import signal
from typing import Final

#: Signals at which a target rejects requests and requests a back-off, and at which it announces in
#: its responses that it is draining.
BACKOFF_SIGNAL: Final = signal.SIGUSR1
DRAINING_SIGNAL: Final = signal.SIGUSR2
#: Signals at which a target announces the next of `RATE_LIMITS`, and at which it announces none.
RATE_LIMIT_SIGNAL: Final = signal.SIGRTMIN
RATE_LIMIT_END_SIGNAL: Final = signal.SIGRTMIN + 1
#: Signals at which a target becomes slow and normal again.
SLOW_SIGNAL: Final = signal.SIGRTMIN + 2
SLOW_END_SIGNAL: Final = signal.SIGRTMIN + 3
#: Signals at which a target begins to report the next implausible load, and plausible ones again.
IMPLAUSIBLE_LOAD_SIGNAL: Final = signal.SIGRTMIN + 4
IMPLAUSIBLE_LOAD_END_SIGNAL: Final = signal.SIGRTMIN + 5
#: Signals at which a target announces the next limit of rejections, and at which it announces none.
REJECTION_LIMIT_SIGNAL: Final = signal.SIGRTMIN + 6
REJECTION_LIMIT_END_SIGNAL: Final = signal.SIGRTMIN + 7
#: Signals at which a target falls silent, but for health checks and heartbeats, and at which it
#: goes on.
SILENCE_SIGNAL: Final = signal.SIGRTMIN + 8
SILENCE_END_SIGNAL: Final = signal.SIGRTMIN + 9
