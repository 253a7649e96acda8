"""Client accounts.

Identifies the account on whose behalf a call is made; imports only the settings schema,
the names of places and the metrics, and nothing that opens a connection.
"""

from laburnumscale.accounts.callcounts import AccountCallCounts
from laburnumscale.accounts.digests import DIGEST_BYTES, digest_key
from laburnumscale.accounts.table import (
    AccountTable,
    account_place,
    is_account_place,
)

__all__ = [
    "DIGEST_BYTES",
    "AccountCallCounts",
    "AccountTable",
    "account_place",
    "digest_key",
    "is_account_place",
]
