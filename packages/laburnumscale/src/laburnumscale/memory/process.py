"""Process memory.

Reads how much memory this process uses and how many descriptors it may open, and makes
it give freed memory back to the system.
"""

import ctypes
import os
import resource
from pathlib import Path

__all__ = ["connection_limit", "resident_bytes", "return_freed_blocks"]

RESIDENT_PAGES_FIELD = 1
#: Option of ``mallopt`` of glibc: size from which blocks are mapped on their own.
M_MMAP_THRESHOLD = -3
#: Responses of one message and parts of streamed bodies are about that large.
MAPPED_BLOCK_BYTES = 64 * 1024
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


def return_freed_blocks() -> None:
    """Let the C library give large blocks back to the system once they are freed.

    By default glibc keeps blocks of up to 32 MiB in its heap after some were freed,
    where small objects behind them prevent that. Other C libraries are left as is.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
