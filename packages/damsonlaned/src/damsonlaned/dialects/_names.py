"""Names of headers and paths, which differ between dialects."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """Names of headers, as they are written."""

    #: Id of a request, given by the caller.
    request_id: str
    #: Milliseconds that the receiver has.
    deadline_ms: str
    #: Key of the caller's organisation.
    key: str
    #: Name of the caller's organisation, for targets.
    organisation: str
    #: Name of the target that is meant.
    target: str
    #: Present when a target promises that it has not run the request.
    not_run: str
    #: Present, and not 0, when a target says that it leaves.
    leaving: str
    #: Requests a second that a target takes from all boxes together.
    rate_limit: str
    #: A target's requests at work, waiting, and slots.
    load: str
    #: Urgency at the target.
    urgency: str
    #: Shared parts of the prompt.
    prefix: str
    #: Tokens in and out.
    tokens: str
    #: Number of pieces of each stage.
    pieces: str
    #: Key of the material for the stages.
    material_key: str
    #: Handles of stage results.
    inputs: str
    #: Id of the last event that the caller has.
    last_event: str
    #: Address of an engine that keeps more of the prompt.
    source: str
    #: What stands before the key in its header, with a blank; may be empty.
    key_scheme: str = ""
    #: Further names that only we may set.
    reserved: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PathNames:
    """Paths of calls."""

    #: Asks an entry whether it takes requests.
    ready: str
    #: Heartbeats and departures; the target's name follows.
    targets: str
    #: The routing document.
    document: str
    #: Evacuation of a data centre; its name follows.
    evacuations: str
    #: Makes pieces at a pool target.
    make_pieces: str
    #: Gives results up.
    free_results: str
