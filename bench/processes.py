"""Processes.

Reads the processor time and the memory of processes from ``/proc``.
"""

import os
from pathlib import Path

__all__ = ["cpu_us", "memory_bytes"]

US_PER_S = 1_000_000
BYTES_PER_KIB = 1024


def cpu_us(pid: int) -> int:
    """Return the user and system time of a process, in microseconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks * US_PER_S // os.sysconf("SC_CLK_TCK")


def memory_bytes(pid: int, field: str = "VmRSS") -> int:
    """Return the resident memory of a process, in bytes.

    :param field: ``VmRSS`` for the current size, ``VmHWM`` for the peak.
    :raises ProcessLookupError: if the process has no such field, such as a zombie.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * BYTES_PER_KIB
    raise ProcessLookupError(f"/proc/{pid}/status has no field {field}")
