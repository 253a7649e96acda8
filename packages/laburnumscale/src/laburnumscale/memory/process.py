"""Process memory.

Reads how much memory this process uses and how many descriptors it may open.
"""

import os
import resource
from pathlib import Path

__all__ = ["connection_limit", "resident_bytes"]

RESIDENT_PAGES_FIELD = 1
#: The other half is for the connections to targets, peers, the log and operators.
CALLER_DESCRIPTOR_SHARE = 0.5


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[RESIDENT_PAGES_FIELD]) * os.sysconf("SC_PAGE_SIZE")


def connection_limit() -> int:
    """Return how many connections of callers the limit of descriptors allows."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(soft_limit * CALLER_DESCRIPTOR_SHARE)
