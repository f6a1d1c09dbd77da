"""TLS certificates and keys for tests and the demonstration."""

from pathlib import Path

import trustme

from damsonlane.settings import TlsFiles


class CertificateIssuer:
    """A certificate authority for boxes and operators.

    Args:
        folder: for its certificate and the files that it issues.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._authority = trustme.CA()
        self._authority.cert_pem.write_to_path(str(folder / "authority.pem"))

    def sign(self, name: str) -> TlsFiles:
        """Issue a certificate and key to a box or operator and return their files."""
        issued = self._authority.issue_cert(f"{name}.box.damsonlane.internal")
        certificate = self._folder / f"{name}.pem"
        key = self._folder / f"{name}.key"
        issued.cert_chain_pems[0].write_to_path(str(certificate))
        issued.private_key_pem.write_to_path(str(key))
        return TlsFiles(
            certificate=str(certificate),
            key=str(key),
            authority=str(self._folder / "authority.pem"),
        )
