"""Keys for tests and the demonstration, made by a library."""

from pathlib import Path

import trustme

from damsonlane.settings import TlsFiles


class KeyMaker:
    """An authority that signs boxes; its files live in one folder."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._authority = trustme.CA()
        self._authority.cert_pem.write_to_path(str(folder / "authority.pem"))

    def sign(self, name: str) -> TlsFiles:
        """Make a key for a box or operator and return its files."""
        signed = self._authority.issue_cert(f"{name}.box.damsonlane.internal")
        certificate = self._folder / f"{name}.pem"
        key = self._folder / f"{name}.key"
        signed.cert_chain_pems[0].write_to_path(str(certificate))
        signed.private_key_pem.write_to_path(str(key))
        return TlsFiles(
            certificate=str(certificate),
            key=str(key),
            authority=str(self._folder / "authority.pem"),
        )
