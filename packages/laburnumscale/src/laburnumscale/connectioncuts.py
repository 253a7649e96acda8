"""Connection cuts.

Tells when open connections to several peers fell silent within a moment, and which of
the other peers are still to be checked. It answers the load of calls that would
otherwise find out the silent connections one at a time.
"""

from laburnumscale.deadlines import MS_PER_S, Deadline, now_s

__all__ = ["ConnectionCuts"]

#: Peers whose connections fell silent within ``WINDOW_S``, from which on it is news
#: about the connections to others.
MIN_SILENT_PEERS = 2
WINDOW_S = 1.0
#: How long a cut is suspected after the latest silent connection was found.
SUSPICION_S = 1.0


class ConnectionCuts:
    """The state of a suspected cut of many connections at once.

    When connections that were proven since it fall silent, too, another cut is
    suspected, and all other peers are to be checked again.
    """

    def __init__(self) -> None:
        self._silent_at_s: dict[str, float] = {}
        self._silent_again_at_s: dict[str, float] = {}
        self._proven: set[str] = set()
        self._deadline = Deadline.after_ms(0)

    @property
    def is_suspected(self) -> bool:
        """Return whether several connections fell silent a moment ago."""
        return not self._deadline.has_passed()

    def record_silence(self, peer_address: str) -> None:
        """Record that an open connection was silent while a new one delivered."""
        if not self.is_suspected:
            self._proven.clear()
            self._silent_again_at_s.clear()
        if peer_address in self._proven:
            _add_recent(self._silent_again_at_s, peer_address)
        _add_recent(self._silent_at_s, peer_address)
        if len(self._silent_at_s) < MIN_SILENT_PEERS:
            return
        if len(self._silent_again_at_s) >= MIN_SILENT_PEERS:
            self._proven = set(self._silent_again_at_s)
            self._silent_again_at_s.clear()
        if not self.is_suspected:
            self._proven.update(self._silent_at_s)
        self._proven.add(peer_address)
        self._deadline = Deadline.after_ms(SUSPICION_S * MS_PER_S)

    def record_delivery(self, peer_address: str) -> None:
        """Record that a peer responded over the connection that is in use."""
        if self.is_suspected:
            self._proven.add(peer_address)

    def is_doubtful(self, peer_address: str) -> bool:
        """Return whether a peer is to be checked because of a cut."""
        return self.is_suspected and peer_address not in self._proven


def _add_recent(silent_at_s: dict[str, float], peer_address: str) -> None:
    """Add a peer that was found silent now, and remove those found long ago."""
    at_s = now_s()
    for address, found_at_s in list(silent_at_s.items()):
        if at_s - found_at_s >= WINDOW_S:
            del silent_at_s[address]
    silent_at_s[peer_address] = at_s
