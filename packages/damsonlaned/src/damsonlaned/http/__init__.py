"""HTTP/1.1 towards callers and targets, on asyncio with h11 as the parser.

docs/gateway.md says why cheroot and urllib3, which use threads, are not used here.
"""

from damsonlaned.http._buffer_guard import BufferGuard, BufferMeter
from damsonlaned.http._collection_budget import CollectionBudget
from damsonlaned.http._connection_observer import SILENCE_SECONDS, ConnectionObserver
from damsonlaned.http._connection_pool import ConnectionPool, HttpExchange
from damsonlaned.http._errors import (
    CallerDisconnectedError,
    ConnectionsInUseError,
    IncompleteResponseError,
    NotSentError,
)
from damsonlaned.http._listener import ConnectionGate, HttpListener, ListenerLimits
from damsonlaned.http._messages import (
    HeaderList,
    HttpHead,
    HttpRequest,
    HttpResponse,
    remove_hop_by_hop,
)
from damsonlaned.http._rate_limit import read_rate_limit
from damsonlaned.http._response_sink import ResponseSink
from damsonlaned.http._response_writer import ResponseWriter
from damsonlaned.http._retry_after import read_retry_after

__all__ = [
    "IncompleteResponseError",
    "BufferGuard",
    "BufferMeter",
    "CallerDisconnectedError",
    "CollectionBudget",
    "ConnectionGate",
    "ConnectionObserver",
    "ConnectionsInUseError",
    "ConnectionPool",
    "HeaderList",
    "HttpHead",
    "HttpRequest",
    "HttpResponse",
    "ListenerLimits",
    "NotSentError",
    "ResponseSink",
    "ResponseWriter",
    "SILENCE_SECONDS",
    "HttpExchange",
    "HttpListener",
    "remove_hop_by_hop",
    "read_rate_limit",
    "read_retry_after",
]
