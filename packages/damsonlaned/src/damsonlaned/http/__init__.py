"""HTTP/1.1 towards callers and targets, on asyncio with h11 as the parser.

docs/gateway.md says why cheroot and urllib3, which use threads, are not used here.
"""

from damsonlaned.http._connection_pool import ConnectionPool, SentExchange
from damsonlaned.http._errors import BrokenAnswerError, CallerGoneError, NotSentError
from damsonlaned.http._listener import ListenerLimits, WebListener
from damsonlaned.http._messages import (
    HeaderList,
    HttpHead,
    HttpRequest,
    HttpResponse,
    keep_end_to_end,
)
from damsonlaned.http._rate_limit import read_rate_limit
from damsonlaned.http._response_writer import Reply
from damsonlaned.http._retry_after import read_retry_after

__all__ = [
    "BrokenAnswerError",
    "CallerGoneError",
    "ConnectionPool",
    "HeaderList",
    "HttpHead",
    "HttpRequest",
    "HttpResponse",
    "ListenerLimits",
    "NotSentError",
    "Reply",
    "SentExchange",
    "WebListener",
    "keep_end_to_end",
    "read_rate_limit",
    "read_retry_after",
]
