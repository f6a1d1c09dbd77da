"""HTTP/1.1 for both sides of an entry, on asyncio with h11 as the parser.

docs/gateway.md says why the threads of cheroot and urllib3 did not fit here.
"""

from damsonlaned.http._client import (
    AnswerBody,
    ConnectionPool,
    ConnectTimeoutError,
    SentExchange,
    TargetConnection,
)
from damsonlaned.http._errors import BrokenAnswerError, CallerGoneError, NotSentError
from damsonlaned.http._messages import (
    HeaderList,
    HttpHead,
    HttpRequest,
    HttpResponse,
    keep_end_to_end,
)
from damsonlaned.http._server import Handler, ListenerLimits, Reply, WebListener
from damsonlaned.http._wire import Wire

__all__ = [
    "AnswerBody",
    "BrokenAnswerError",
    "CallerGoneError",
    "ConnectTimeoutError",
    "ConnectionPool",
    "Handler",
    "HeaderList",
    "HttpHead",
    "HttpRequest",
    "HttpResponse",
    "ListenerLimits",
    "NotSentError",
    "Reply",
    "SentExchange",
    "TargetConnection",
    "WebListener",
    "Wire",
    "keep_end_to_end",
]
