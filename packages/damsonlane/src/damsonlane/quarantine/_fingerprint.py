"""What makes two requests the same, whatever ids they carry."""

import hashlib
from typing import Final

#: Bytes of a fingerprint: among the millions of requests of a day no two differing ones
#: share one by chance, and a caller that contrives one meets only its own organisation.
_BYTES: Final = 12


def find_fingerprint(*, organisation: str, method: str, host: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request.

    Ids, deadlines and other headers differ between two tries of one request, so they don't
    count.

    Args:
        organisation: whose caller sends it; empty on a route open to all.
        method: its method.
        host: the host that it names.
        target: path and query.
        body: its whole body.

    Returns:
        24 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=_BYTES)
    for part in (organisation, method, host, target):
        data = part.encode("utf-8", errors="surrogateescape")
        # With their lengths, no two lists of parts run together to the same bytes.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()
