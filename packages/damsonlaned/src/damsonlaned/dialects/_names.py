"""Header names and paths, which differ between dialects."""

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """Names of headers, in the case in which they are sent."""

    #: Id that the caller gave the request.
    request_id: str
    #: Time left until the request's deadline, in milliseconds.
    deadline_ms: str
    #: Key that authenticates the caller's organisation.
    key: str
    #: Name of the caller's organisation; sent to targets.
    organisation: str
    #: Name of the target that the request is addressed to.
    target: str
    #: Present when a target guarantees that it has not run the request.
    not_run: str
    #: Present, and not 0, while a target is draining.
    leaving: str
    #: Rate limit that a target announces: requests per second from all boxes together.
    rate_limit: str
    #: Rejections a second, of all boxes together, with which a target that announces them fails.
    rejection_limit: str
    #: Load of a target: requests running, requests waiting, slots.
    load: str
    #: Urgency of the request at the target.
    urgency: str
    #: Name of the model that the caller requests.
    model: str
    #: Segments of the prompt that other requests may share, each with its tokens.
    prefix: str
    #: Tokens of the prompt, and most tokens of the output.
    tokens: str
    #: Number of pieces of each stage.
    pieces: str
    #: Key of the input material of the first stages.
    material_key: str
    #: Handles of stage results.
    inputs: str
    #: Id of the last event that the caller received.
    last_event: str
    #: Id of the caller's attempt that brought the first event of a stream that is resumed.
    resumes: str
    #: Address of an engine that has more of the prompt in its prefix cache.
    source: str
    #: Start of the incarnation that a request is for; empty where names are never reused.
    target_start: str = ""
    #: Prefix of the key in its header, with its trailing space; may be empty.
    key_scheme: str = ""
    #: Further headers that are never forwarded from callers.
    reserved: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PathNames:
    """Paths of the calls that a dialect knows."""

    #: Readiness check of an entry.
    ready: str
    #: Prefix of heartbeats and deregistrations; the target's name follows.
    targets: str
    #: The routing document.
    document: str
    #: Prefix of evacuations; the name of the data centre follows.
    evacuations: str
    #: Has a pool target compute pieces.
    compute_pieces: str
    #: Has a pool target release results.
    release_results: str
