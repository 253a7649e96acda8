"""Memory.

Accounts for the memory that a daemon holds for callers, targets and peers. This
package may import ``deadlines`` and ``metrics``, and nothing that opens a connection.
"""

from laburnumscale.memory.budget import MemoryBudget, Purpose
from laburnumscale.memory.connections import ConnectionMemory
from laburnumscale.memory.costs import (
    BODY_COPIES,
    CONNECTION_BYTES,
    ENTRY_CALL_BYTES,
    ENTRY_UPLOAD_BYTES,
    FREE_BYTES,
    GUARD_CALL_BYTES,
    GUARD_UPLOAD_BYTES,
    MEMORY_RETRY_AFTER_MS,
    OBJECT_BYTES,
    entry_head_bytes,
    guard_head_bytes,
)
from laburnumscale.memory.process import (
    connection_limit,
    resident_bytes,
    return_freed_blocks,
)
from laburnumscale.memory.responses import AnswerRoom, TargetResponseRoom

__all__ = [
    "BODY_COPIES",
    "CONNECTION_BYTES",
    "ENTRY_CALL_BYTES",
    "ENTRY_UPLOAD_BYTES",
    "FREE_BYTES",
    "GUARD_CALL_BYTES",
    "GUARD_UPLOAD_BYTES",
    "MEMORY_RETRY_AFTER_MS",
    "OBJECT_BYTES",
    "AnswerRoom",
    "ConnectionMemory",
    "MemoryBudget",
    "Purpose",
    "TargetResponseRoom",
    "connection_limit",
    "entry_head_bytes",
    "guard_head_bytes",
    "resident_bytes",
    "return_freed_blocks",
]
