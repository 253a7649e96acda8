"""Digests.

Computes the digests by which account keys are known to daemons.
"""

import hashlib

__all__ = ["DIGEST_BYTES", "digest_key"]

DIGEST_BYTES = 16
#: Separates these digests from others of the same text.
PURPOSE = b"laburnumscale"


def digest_key(key: str) -> bytes:
    """Return the digest of an account key.

    Keys are long and random, so the digest of one does not reveal it, and no secret
    is needed that all daemons and operators would have to share.
    """
    encoded = key.encode(errors="surrogatepass")
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES, person=PURPOSE).digest()
