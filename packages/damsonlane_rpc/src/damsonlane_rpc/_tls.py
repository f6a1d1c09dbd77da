"""Mutual TLS between boxes, from the files that settings name."""

import ssl
from asyncio import sslproto
from typing import Final

from damsonlane.errors import StorageError
from damsonlane.settings import TlsFiles

_PROTOCOLS: Final = ["h2"]
#: Bytes that a TLS connection may read at once.  The library's 256 KiB are
#: allocated for each connection and are most of what a silent one costs.
_READ_BUFFER: Final = 16 * 1024

sslproto.SSLProtocol.max_size = _READ_BUFFER


def make_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that serves only peers whose key the authority signed.

    Raises:
        StorageError: a file is missing or no key.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.verify_mode = ssl.CERT_REQUIRED
    load_files(context, files)
    return context


def make_client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that shows this box's key and trusts the authority only.

    Raises:
        StorageError: a file is missing or no key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Boxes are named by settings and reached by number, so the authority alone decides.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    load_files(context, files)
    return context


def load_files(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load keys into a context; connections made from now on use them.

    Raises:
        StorageError: a file is missing or no key.
    """
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(_PROTOCOLS)
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        names = f"{files.certificate}, {files.key}, {files.authority}"
        raise StorageError(f"cannot load the TLS files ({names}): {error}") from None
