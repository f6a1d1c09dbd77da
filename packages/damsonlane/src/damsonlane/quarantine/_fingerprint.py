"""Fingerprints that identify requests with the same content."""

import hashlib
from typing import Final

#: Bytes of a fingerprint: enough to make chance collisions negligible among the millions of
#: requests of a day.  A caller that constructs a collision affects only its own organisation.
_BYTES: Final = 12


def find_fingerprint(*, organisation: str, method: str, host: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request.

    Ids, deadlines and other headers are left out, since they differ between two attempts at one
    request.

    Args:
        organisation: organisation of the caller; empty on a public route.
        method: the HTTP method.
        host: the host header.
        target: path and query.
        body: the whole body.

    Returns:
        24 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=_BYTES)
    for part in (organisation, method, host, target):
        data = part.encode("utf-8", errors="surrogateescape")
        # The length prefix keeps different lists of parts from giving the same bytes.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()
