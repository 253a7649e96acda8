"""Operation keys.

Mints and verifies the idempotency keys with which callers retry requests.
"""

import hashlib
import hmac
import itertools
import re
import secrets
import time
from dataclasses import dataclass
from typing import ClassVar

import attrs

from laburnumscale.errors import LaburnumscaleError
from laburnumscale_schema import peer_pb2

__all__ = [
    "KeyExpired",
    "KeyInvalid",
    "KeySigner",
    "OperationKey",
    "is_key",
    "parse_key",
]

SECRET_BYTES = 32
SIGNATURE_HEX_DIGITS = 32
KEY_PATTERN = re.compile(
    r"(?P<daemon>[^~]{1,100})~(?P<incarnation>[0-9a-f]{1,16})"
    r"~(?P<minted_ms>[0-9a-f]{1,16})~(?P<serial>[0-9a-f]{1,16})"
    rf"~(?P<signature>[0-9a-f]{{{SIGNATURE_HEX_DIGITS}}})"
)


@dataclass(eq=False)
class KeyInvalid(LaburnumscaleError):
    """The text is not an operation key that this fleet minted."""

    key: str
    template: ClassVar[str] = 'operation key "{key}" was not minted by this fleet'


@dataclass(eq=False)
class KeyExpired(LaburnumscaleError):
    """The lifetime of an operation key has ended."""

    key: str
    template: ClassVar[str] = 'operation key "{key}" has expired'


@attrs.frozen
class OperationKey:
    """An operation key, which names the daemon incarnation that minted it.

    :ivar daemon: name of the daemon.
    :ivar incarnation: incarnation of the daemon.
    :ivar minted_ms: time of minting in milliseconds on the clock of that incarnation.
    :ivar serial: number of the key among the keys of that incarnation.
    :ivar signature: hexadecimal HMAC of the other fields.
    """

    daemon: str
    incarnation: int
    minted_ms: int
    serial: int
    signature: str

    @property
    def home(self) -> tuple[str, int]:
        """Return the home of the key: the daemon and incarnation that minted it."""
        return self.daemon, self.incarnation

    @property
    def signed_text(self) -> str:
        """Return the part of the key that the signature covers."""
        return f"{self.daemon}~{self.incarnation:x}~{self.minted_ms:x}~{self.serial:x}"

    def __str__(self) -> str:
        return f"{self.signed_text}~{self.signature}"


def is_key(text: str) -> bool:
    """Return whether a text has the form of a key that a daemon may have minted."""
    return KEY_PATTERN.fullmatch(text) is not None


def parse_key(text: str) -> OperationKey:
    """Parse the text form of a key, without verifying the signature.

    Only the home of the key, or its successor, has the secret for that.

    :raises KeyInvalid: the text does not have the form of a key.
    """
    match = KEY_PATTERN.fullmatch(text)
    if match is None:
        raise KeyInvalid(text)
    return OperationKey(
        daemon=match["daemon"],
        incarnation=int(match["incarnation"], 16),
        minted_ms=int(match["minted_ms"], 16),
        serial=int(match["serial"], 16),
        signature=match["signature"],
    )


class KeySigner:
    """Mints and verifies the operation keys of one incarnation of a daemon.

    The daemon that takes over the keys of another has a signer with the secret and
    the clock of the other.

    :param life_ms: lifetime of a key in milliseconds.
    :param secret: secret of the signatures; a random one if it is empty.
    :param clock_ms: current time in milliseconds on the clock of the home.
    """

    def __init__(
        self,
        daemon: str,
        incarnation: int,
        life_ms: int,
        secret: bytes = b"",
        clock_ms: int = 0,
    ) -> None:
        self.daemon = daemon
        self.incarnation = incarnation
        self._life_ms = life_ms
        self.secret = secret or secrets.token_bytes(SECRET_BYTES)
        self._offset_ms = clock_ms - _monotonic_ms()
        self._serials = itertools.count(1)

    @property
    def home_message(self) -> peer_pb2.KeyHolder:
        """Return the home of the keys as a message."""
        return peer_pb2.KeyHolder(daemon=self.daemon, incarnation=self.incarnation)

    def clock_ms(self) -> int:
        """Return the current time in milliseconds on the clock of the home."""
        return _monotonic_ms() + self._offset_ms

    def mint(self) -> OperationKey:
        """Return a new signed key."""
        unsigned = OperationKey(
            daemon=self.daemon,
            incarnation=self.incarnation,
            minted_ms=self.clock_ms(),
            serial=next(self._serials),
            signature="",
        )
        return attrs.evolve(unsigned, signature=self._sign(unsigned))

    def verify(self, key: OperationKey) -> None:
        """Verify the signature of a key and that the key has not expired.

        :raises KeyInvalid: the key was not signed with the secret.
        :raises KeyExpired: the lifetime of the key has ended.
        """
        if not hmac.compare_digest(self._sign(key), key.signature):
            raise KeyInvalid(str(key))
        if self.is_expired(key):
            raise KeyExpired(str(key))

    def is_expired(self, key: OperationKey) -> bool:
        """Return whether the lifetime of a key has ended."""
        return self.clock_ms() - key.minted_ms > self._life_ms

    def _sign(self, key: OperationKey) -> str:
        digest = hmac.new(self.secret, key.signed_text.encode(), hashlib.sha256)
        return digest.hexdigest()[:SIGNATURE_HEX_DIGITS]


def _monotonic_ms() -> int:
    return int(time.monotonic() * 1000)
