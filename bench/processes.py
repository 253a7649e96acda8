"""Processes.

Processor time and memory of the processes of a measurement, from ``/proc``.
"""

import os
from pathlib import Path

__all__ = ["cpu_us", "memory_bytes"]

US_PER_S = 1_000_000
BYTES_PER_KIB = 1024


def cpu_us(pid: int) -> int:
    """Return the processor time that a process has used so far, in microseconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks * US_PER_S // os.sysconf("SC_CLK_TCK")


def memory_bytes(pid: int, name: str = "VmRSS") -> int:
    """Return the resident memory of a process, in bytes.

    :param name: ``VmRSS`` for now, ``VmHWM`` for the highest so far.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * BYTES_PER_KIB
    raise ProcessLookupError(pid)
