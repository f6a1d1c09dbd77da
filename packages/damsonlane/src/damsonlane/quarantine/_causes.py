"""Names of what may make targets exit: a whole request, or what it shares with other requests."""

import hashlib
import re
from collections.abc import Iterable
from typing import Final
from urllib.parse import quote

from damsonlane.records import dataclass

#: Bytes of a hash that stands for contents.
_HASH_BYTES: Final = 12
#: Identities that are used as they are; others are hashed, so that names stay short and readable.
_PLAIN_IDENTITY: Final = re.compile(r"[0-9A-Za-z.:_-]{1,64}")


@dataclass(frozen=True, kw_only=True)
class RequestCauses:
    """What may make a target exit that runs a request.

    Each shared cause has two names: one that holds everywhere, and one for the service, model and
    version where it runs.  A part may make only one version exit, and what another version serves
    says nothing about that one.
    """

    #: Fingerprint of the whole request; empty if it is not concerned.
    request: str = ""
    #: Names of what it shares with other requests, without their scope, each once.
    shared: tuple[str, ...] = ()
    #: The model that it requests, or an empty string.
    model: str = ""

    def list_shared(self, service: str, version: str) -> tuple[str, ...]:
        """Return the names of the shared causes at a target, those without a scope first.

        Args:
            service: service of the target.
            version: version of the target's software; empty if it reports none.
        """
        scope = "/".join(
            quote(text, safe="", errors="surrogatepass") for text in (service, self.model, version)
        )
        return (*self.shared, *(f"{name}@{scope}" for name in self.shared))

    def list_names(self, service: str, version: str) -> frozenset[str]:
        """Return the names of all causes at a target."""
        names = frozenset(self.list_shared(service, version))
        return names | {self.request} if self.request else names


def list_shared_causes(
    *,
    parts: Iterable[str] = (),
    material_key: str = "",
    body: bytes = b"",
    copy_source: str = "",
) -> tuple[str, ...]:
    """Return the names of what a request shares with others, each once.

    Identities are opaque: those that differ only by case are different.

    Args:
        parts: identities of the shared parts of its prompt; empty ones are ignored.
        material_key: key of the material of its stages, or an empty string.
        body: its body; an empty one is no cause.
        copy_source: address of the engine from which its target copies cached prompt segments.
    """
    names = [_make_name("part", part) for part in parts if part]
    if material_key:
        names.append(_make_name("material", material_key))
    if body:
        names.append(f"body:{_hash(body)}")
    if copy_source:
        names.append(_make_name("copy", copy_source))
    return tuple(dict.fromkeys(names))


def is_shared(name: str) -> bool:
    """Return whether a name is that of a shared cause, not of a whole request."""
    return ":" in name


def _make_name(kind: str, identity: str) -> str:
    if _PLAIN_IDENTITY.fullmatch(identity):
        return f"{kind}:{identity}"
    return f"{kind}:~{_hash(identity.encode('utf-8', errors='surrogatepass'))}"


def _hash(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=_HASH_BYTES).hexdigest()
