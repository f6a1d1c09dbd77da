"""What serves one request, shared by its attempts."""

from typing import Final

from damsonlane.records import dataclass
from damsonlaned.gateway._attempts import Attempts
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._exit_detector import ExitDetector
from damsonlaned.gateway._stage_attempt import StageResults
from damsonlaned.gateway._stage_runner import StageRunner
from damsonlaned.lateness import LateRequests
from damsonlaned.quarantine import RequestQuarantine
from damsonlaned.relay import RequestRelay
from damsonlaned.requests._attempt_history import AttemptHistory
from damsonlaned.requests._final_response import FinalResponse
from damsonlaned.requests._request_times import RequestTimes
from damsonlaned.requests._stop_limit import StopLimit
from damsonlaned.versions import StreamOrigins


class HeldResults:
    """Results of the stages, from their computation until they are released.

    Args:
        stages: computes and frees them.
    """

    def __init__(self, stages: StageRunner) -> None:
        self._stages: Final = stages
        #: The results; None before and after.
        self.value: StageResults | None = None

    def release(self) -> None:
        """Free the results, if there are any."""
        if self.value is not None:
            results, self.value = self.value, None
            self._stages.free(results)

    def release_read(self) -> None:
        """Free inputs that a target has read, if pieces wait for result memory.

        Otherwise they are kept until the first event, since a retry at another target needs
        them.
        """
        if self.value is not None and self._stages.has_memory_contention(self.value):
            self.release()


@dataclass(frozen=True, kw_only=True)
class RequestParts:
    """What serves one request."""

    #: The request.
    call: Call
    #: Sends it to targets.
    attempts: Attempts
    #: Runs its stages.
    stages: StageRunner
    #: Results of its stages.
    results: HeldResults
    #: Its attempts so far.
    history: AttemptHistory
    #: Its times.
    times: RequestTimes
    #: The response to its caller.
    response: FinalResponse
    #: What the quarantine says about it.
    quarantine: RequestQuarantine
    #: Passes it on to other entries.
    relay: RequestRelay
    #: Records where its stream began.
    origins: StreamOrigins
    #: Detects targets that exited.
    exit_detector: ExitDetector
    #: The policy for late requests.
    late_requests: LateRequests
    #: The end of the entry, if it stops.
    stop_limit: StopLimit
