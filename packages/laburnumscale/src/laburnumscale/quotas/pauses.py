"""Pauses.

Remembers which daemons are not asked for some time.
"""

__all__ = ["Pauses"]


class Pauses:
    """Pauses of one length, by daemon; those that have ended are forgotten.

    :param duration_s: length of a pause.
    """

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        self._until_s: dict[str, float] = {}

    def begin(self, daemon: str, now_s: float) -> None:
        """Begin a pause."""
        self._until_s = {
            each: until_s for each, until_s in self._until_s.items() if until_s > now_s
        }
        self._until_s[daemon] = now_s + self._duration_s

    def has(self, daemon: str, now_s: float) -> bool:
        """Return whether a daemon has a pause."""
        return self._until_s.get(daemon, now_s) > now_s

    def end(self, daemon: str) -> None:
        """End the pause of a daemon, if it has one."""
        self._until_s.pop(daemon, None)
