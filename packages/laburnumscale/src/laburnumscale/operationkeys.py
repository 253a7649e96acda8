"""Operation keys.

Mints the keys by which callers repeat a request safely, and checks them.
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

__all__ = ["KeyExpired", "KeyInvalid", "KeyMint", "OperationKey", "parse_key"]

SECRET_BYTES = 32
SIGNATURE_DIGITS = 32
KEY_PATTERN = re.compile(
    r"(?P<daemon>[^~]{1,100})~(?P<incarnation>[0-9a-f]{1,16})"
    r"~(?P<minted_ms>[0-9a-f]{1,16})~(?P<serial>[0-9a-f]{1,16})"
    rf"~(?P<signature>[0-9a-f]{{{SIGNATURE_DIGITS}}})"
)


@dataclass(eq=False)
class KeyInvalid(LaburnumscaleError):
    """A text is no operation key of this fleet."""

    key: str
    template: ClassVar[str] = 'operation key "{key}" was not minted by this fleet'


@dataclass(eq=False)
class KeyExpired(LaburnumscaleError):
    """The life of an operation key has ended."""

    key: str
    template: ClassVar[str] = 'operation key "{key}" has expired'


@attrs.frozen
class OperationKey:
    """A key and the incarnation that minted it.

    :ivar minted_ms: time of minting on the clock of the home.
    """

    daemon: str
    incarnation: int
    minted_ms: int
    serial: int
    signature: str

    @property
    def home(self) -> tuple[str, int]:
        """Return the daemon and incarnation that minted the key."""
        return self.daemon, self.incarnation

    @property
    def signed_text(self) -> str:
        """Return the part of the key that the signature covers."""
        return f"{self.daemon}~{self.incarnation:x}~{self.minted_ms:x}~{self.serial:x}"

    def __str__(self) -> str:
        return f"{self.signed_text}~{self.signature}"


def parse_key(text: str) -> OperationKey:
    """Parse the text form of a key; its signature is checked by its home.

    :raises KeyInvalid: the text is no key.
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


class KeyMint:
    """Mints and checks the keys of one incarnation of a daemon.

    :param life_ms: how long a key can be used after it was minted.
    :param secret: key of the signatures; made anew if it is left out.
    :param clock_ms: the present time on the clock of the home.
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
    def holder(self) -> peer_pb2.KeyHolder:
        """Return the incarnation whose keys these are, as a message."""
        return peer_pb2.KeyHolder(daemon=self.daemon, incarnation=self.incarnation)

    def clock_ms(self) -> int:
        """Return the present time on the clock of the home."""
        return _monotonic_ms() + self._offset_ms

    def mint(self) -> OperationKey:
        """Return a new key."""
        unsigned = OperationKey(
            daemon=self.daemon,
            incarnation=self.incarnation,
            minted_ms=self.clock_ms(),
            serial=next(self._serials),
            signature="",
        )
        return attrs.evolve(unsigned, signature=self._signature(unsigned))

    def check(self, key: OperationKey) -> None:
        """Check that a key was minted here and can still be used.

        :raises KeyInvalid: the signature is not ours.
        :raises KeyExpired: the life of the key has ended.
        """
        if not hmac.compare_digest(self._signature(key), key.signature):
            raise KeyInvalid(str(key))
        if self.is_expired(key):
            raise KeyExpired(str(key))

    def is_expired(self, key: OperationKey) -> bool:
        """Tell whether the life of a key has ended."""
        return self.clock_ms() - key.minted_ms > self._life_ms

    def _signature(self, key: OperationKey) -> str:
        digest = hmac.new(self.secret, key.signed_text.encode(), hashlib.sha256)
        return digest.hexdigest()[:SIGNATURE_DIGITS]


def _monotonic_ms() -> int:
    return int(time.monotonic() * 1000)
