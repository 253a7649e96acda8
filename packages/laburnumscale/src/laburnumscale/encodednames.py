"""Encoded names.

Translates names of other programs into names that the settings tree allows.
"""

import hashlib
import re

from laburnumscale.acceptance import MAX_NAME_BYTES
from laburnumscale.places import NAME_PATTERN

__all__ = ["encode_name"]

PLAIN_NAME = re.compile(NAME_PATTERN)
HEX_PREFIX = "hex."
HASH_PREFIX = "sha256."


def encode_name(name: str) -> str:
    """Return the form of a name in places of the settings tree.

    Different names stay different: one that the tree does not allow, or that looks
    like an encoded one, is encoded.
    """
    is_plain = PLAIN_NAME.fullmatch(name) and len(name) <= MAX_NAME_BYTES
    if is_plain and not name.startswith((HEX_PREFIX, HASH_PREFIX)):
        return name
    encoded = name.encode(errors="surrogatepass")
    translated = HEX_PREFIX + encoded.hex()
    if len(translated) <= MAX_NAME_BYTES:
        return translated
    return HASH_PREFIX + hashlib.sha256(encoded).hexdigest()
