"""Joined answers.

Joins the messages of a small answer, so that a guard can give it again as a whole. It
answers the load of targets that send small responses in chunks.
"""

from laburnumscale.targetresponses import MAX_SINGLE_MESSAGE_BODY_BYTES
from laburnumscale_schema import peer_pb2

__all__ = ["JoinedAnswer"]


class JoinedAnswer:
    """The messages of one answer, while their bodies fit into a single message.

    :param is_needed: whether the whole answer is needed.
    """

    def __init__(self, is_needed: bool) -> None:
        self._has_room = is_needed
        self._messages: list[peer_pb2.CallReply] = []
        self._size_bytes = 0

    def add(self, reply: peer_pb2.CallReply) -> peer_pb2.CallReply:
        """Add a message and return the whole answer, or the message if it is none."""
        has_failed = reply.HasField("not_run") or reply.HasField("unknown")
        if has_failed or not self._has_room:
            return reply
        self._messages.append(reply)
        self._size_bytes += len(reply.body)
        if self._size_bytes > MAX_SINGLE_MESSAGE_BODY_BYTES:
            self._has_room = False
            self._messages.clear()
            return reply
        is_joined = reply.end and len(self._messages) > 1
        return self._join() if is_joined else reply

    def _join(self) -> peer_pb2.CallReply:
        whole = peer_pb2.CallReply()
        whole.CopyFrom(self._messages[-1])
        whole.head.CopyFrom(self._messages[0].head)
        whole.body = b"".join(message.body for message in self._messages)
        return whole
