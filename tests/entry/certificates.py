"""Certificate authority and certificates for loopback addresses."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from dragonflyhold.settings import TlsSettings

VALID_FROM = datetime.datetime(2020, 1, 1)
VALID_TO = datetime.datetime(2099, 1, 1)


class Authority:
    """Certificate authority that writes its certificates as PEM files."""

    def __init__(self, directory: pathlib.Path, name: str = "authority") -> None:
        self._directory = directory
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = self._sign(name, self._key.public_key(), is_authority=True)
        self._path = directory / f"{name}.pem"
        self._path.write_bytes(self._certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str, operator_names: tuple[str, ...] = ()) -> TlsSettings:
        """Return settings with a certificate for ``name`` on loopback."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, key.public_key(), is_authority=False)
        key_path = self._directory / f"{self._name}-{name}.key"
        certificate_path = self._directory / f"{self._name}-{name}.pem"
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return TlsSettings(
            certificate=str(certificate_path),
            key=str(key_path),
            authority=str(self._path),
            operator_names=operator_names,
        )

    def _sign(
        self, name: str, key: ec.EllipticCurvePublicKey, *, is_authority: bool
    ) -> x509.Certificate:
        issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, self._name)])
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(VALID_FROM)
            .not_valid_after(VALID_TO)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        )
        if not is_authority:
            names = x509.SubjectAlternativeName([address, x509.DNSName(name)])
            builder = builder.add_extension(names, critical=False)
        return builder.sign(self._key, hashes.SHA256())
