"""Mutual TLS between boxes, with the files that settings name."""

import ssl
from asyncio import sslproto
from typing import Final

from damsonlane.errors import StorageError
from damsonlane.settings import TlsFiles

_PROTOCOLS: Final = ["h2"]
#: Size of the read buffer of a TLS connection, in bytes.  asyncio's default of 256 KiB is
#: allocated for each connection and makes up most of the memory of an idle one.
_READ_BUFFER_BYTES: Final = 16 * 1024

sslproto.SSLProtocol.max_size = _READ_BUFFER_BYTES


def make_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a server context that accepts only peers with a certificate of the authority.

    Raises:
        StorageError: a file is missing or invalid.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.verify_mode = ssl.CERT_REQUIRED
    load_files(context, files)
    return context


def make_client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a client context that presents this box's certificate and trusts the authority only.

    Raises:
        StorageError: a file is missing or invalid.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Boxes get their names from settings and are reached by IP address, so there is no host name
    # to check: any certificate of the authority is accepted.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    load_files(context, files)
    return context


def load_files(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load certificates and the key into a context; only new connections use them.

    Raises:
        StorageError: a file is missing or invalid.
    """
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(_PROTOCOLS)
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        names = f"{files.certificate}, {files.key}, {files.authority}"
        raise StorageError(f"cannot load the TLS files ({names}): {error}") from None
