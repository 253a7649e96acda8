"""Client accounts.

Identifies the account on whose behalf a call is made; imports only the settings schema
and the names of places, and nothing that opens a connection.
"""

from laburnumscale.accounts.digests import DIGEST_BYTES, digest_key
from laburnumscale.accounts.table import AccountTable, account_place

__all__ = ["DIGEST_BYTES", "AccountTable", "account_place", "digest_key"]
