"""Tests that renewed TLS files are used by new connections."""

import asyncio
import os
import ssl
import tempfile
import unittest
from pathlib import Path

import trustme

from damsonlane.settings import TlsFiles
from damsonlane_rpc import TlsReloader, make_client_context, make_server_context


class TlsReloaderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        folder = Path(temporary_folder.name)
        self.files = TlsFiles(
            certificate=str(folder / "box.pem"),
            key=str(folder / "box.key"),
            authority=str(folder / "authority.pem"),
        )
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(self.files.authority)
        self.renewals = 0
        self._renew(with_key=True)

    def _renew(self, *, with_key: bool) -> None:
        signed = self.authority.issue_cert("box.damsonlane.internal")
        signed.cert_chain_pems[0].write_to_path(self.files.certificate)
        if with_key:
            signed.private_key_pem.write_to_path(self.files.key)
        self.renewals += 1
        os.utime(self.files.certificate, (self.renewals, self.renewals))

    async def _read_serial(self, address: tuple[str, int]) -> object:
        context = make_client_context(self.files)
        reader, writer = await asyncio.open_connection(*address, ssl=context)
        tls_object: ssl.SSLObject = writer.get_extra_info("ssl_object")
        certificate = tls_object.getpeercert()
        writer.close()
        assert certificate is not None
        return certificate["serialNumber"]

    async def test_new_connections_use_the_renewed_certificate(self) -> None:
        context = make_server_context(self.files)
        reloader = TlsReloader(self.files, [context])
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0, ssl=context)
        address = server.sockets[0].getsockname()
        before = await self._read_serial(address)
        self.assertFalse(reloader.reload_if_changed())
        self._renew(with_key=True)
        self.assertTrue(reloader.reload_if_changed())
        self.assertNotEqual(await self._read_serial(address), before)
        server.close()

    async def test_a_certificate_without_its_key_is_retried(self) -> None:
        reloader = TlsReloader(self.files, [make_server_context(self.files)])
        self._renew(with_key=False)
        self.assertFalse(reloader.reload_if_changed())
        self._renew(with_key=True)
        self.assertTrue(reloader.reload_if_changed())


if __name__ == "__main__":
    unittest.main()
