"""Quotas.

Limits the calls of a client account over all daemons combined; it may import members,
outcomes, deadlines, metrics and logs, and nothing that opens a connection.
"""

from laburnumscale.quotas.bucket import QuotaBucket
from laburnumscale.quotas.keeper import QuotaKeeper
from laburnumscale.quotas.keeperview import KeeperView
from laburnumscale.quotas.quota import Quota, QuotaTolerance, quota_of
from laburnumscale.quotas.quotaclient import QuotaClient, QuotaGrant
from laburnumscale.quotas.quotaservice import QuotaService

__all__ = [
    "KeeperView",
    "Quota",
    "QuotaBucket",
    "QuotaClient",
    "QuotaGrant",
    "QuotaKeeper",
    "QuotaService",
    "QuotaTolerance",
    "quota_of",
]
