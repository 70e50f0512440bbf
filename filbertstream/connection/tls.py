"""TLS for the listeners and towards targets, with files that are reloaded when they change.

If changed files can't be loaded, that is reported and the previous ones stay in use.  New
connections use the new files; open ones are not affected.
"""

import ssl
from pathlib import Path
from typing import NamedTuple

from cheroot.ssl.builtin import BuiltinSSLAdapter

from filbertstream.process.settings import Tls


class _Stamp(NamedTuple):
    certificate_ns: int
    key_ns: int


class ReloadingAdapter:
    """A cheroot TLS adapter that reloads its certificate and key files."""

    def __init__(self, tls: Tls) -> None:
        self._tls = tls
        self._stamp = self._read_stamp()
        self.adapter = BuiltinSSLAdapter(str(tls.certificate_file), str(tls.key_file))
        self.adapter.context.minimum_version = ssl.TLSVersion.TLSv1_2

    def reload(self) -> bool | None:
        """Load changed files; True if that worked, False if not, None if nothing changed."""
        stamp = self._read_stamp()
        if stamp == self._stamp:
            return None
        self._stamp = stamp
        try:
            # Load into a scratch context first: an invalid pair must not affect the one in use.
            scratch = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            scratch.load_cert_chain(self._tls.certificate_file, self._tls.key_file)
            self.adapter.context.load_cert_chain(self._tls.certificate_file, self._tls.key_file)
        except (OSError, ssl.SSLError):
            return False
        return True

    def _read_stamp(self) -> _Stamp | None:
        try:
            return _Stamp(
                self._tls.certificate_file.stat().st_mtime_ns,
                self._tls.key_file.stat().st_mtime_ns,
            )
        except OSError:
            return None


class ReloadingAuthority:
    """The certificate authority of targets' certificates, from a file that is reloaded."""

    def __init__(self, ca_file: Path) -> None:
        self._ca_file = ca_file
        self._stamp = self._read_stamp()
        self.context = ssl.create_default_context(cafile=str(ca_file))

    def reload(self) -> bool | None:
        """Load a changed file; True if that worked, False if not, None if nothing changed."""
        stamp = self._read_stamp()
        if stamp == self._stamp:
            return None
        self._stamp = stamp
        try:
            self.context = ssl.create_default_context(cafile=str(self._ca_file))
        except (OSError, ssl.SSLError):
            return False
        return True

    def _read_stamp(self) -> int | None:
        try:
            return self._ca_file.stat().st_mtime_ns
        except OSError:
            return None
