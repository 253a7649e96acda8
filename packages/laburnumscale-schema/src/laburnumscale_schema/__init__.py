"""Schema.

Modules generated from the ``.proto`` files of laburnumscale.
"""

from laburnumscale_schema import (
    daemon_pb2,
    gossip_pb2,
    peer_pb2,
    peer_pb2_grpc,
    settings_pb2,
    target_pb2,
)

__all__ = [
    "daemon_pb2",
    "gossip_pb2",
    "peer_pb2",
    "peer_pb2_grpc",
    "settings_pb2",
    "target_pb2",
]
