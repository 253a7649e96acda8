"""Keyed log.

Stand-in for the client of a log whose records have keys.
"""

import attrs

from laburnumscale.errors import LogUnavailable
from laburnumscale.platformlog import Batch, LogClient, Record

__all__ = ["KeyedLog"]


class KeyedLog(LogClient):
    """A log in memory of keyed records that can come back from an older copy.

    :ivar down: no call is answered.
    """

    def __init__(self):
        self.records = []
        self.oldest_offset = 0
        self.era = 1
        self.down = False
        self.numbers = {}

    async def append(self, stream, payload, key="", number=0):
        """Append a record, unless the key has a record with a higher number."""
        self._check_up()
        if number < self.numbers.get(key, 0):
            raise LogUnavailable("log", "outdated")
        self.numbers[key] = number
        self.records.append((key, payload))
        return self.next_offset - 1

    @property
    def next_offset(self):
        """Return the offset of the next record."""
        return self.oldest_offset + len(self.records)

    def come_back(self, count):
        """Lose the last records."""
        del self.records[max(0, len(self.records) - count) :]
        self.numbers.clear()
        self.era += 1

    def drop_first(self, count):
        """Drop the oldest records, but not the newest of a key."""
        while count and self.records:
            key = self.records[0][0]
            if all(other != key for other, _ in self.records[1:]):
                return
            del self.records[0]
            self.oldest_offset += 1
            count -= 1

    def _check_up(self):
        if self.down:
            raise LogUnavailable("log", "down")

    def _batch(self, start):
        records = tuple(
            Record(self.oldest_offset + index, payload, key)
            for index, (key, payload) in enumerate(self.records)
            if self.oldest_offset + index >= start
        )
        return Batch(records, self.oldest_offset, self.next_offset, self.era)

    async def read(self, stream, offset, wait_ms=0):
        """Read records, starting at ``offset``."""
        self._check_up()
        if not self.oldest_offset <= offset <= self.next_offset:
            first = self.oldest_offset
            return Batch((), first, first, self.era, is_missing=True)
        return self._batch(offset)

    async def read_newest(self, stream):
        """Read the newest record of each key, in the order of their offsets."""
        self._check_up()
        batch = self._batch(0)
        newest = {record.key: record for record in batch.records}
        ordered = sorted(newest.values(), key=lambda record: record.offset)
        return attrs.evolve(batch, records=tuple(ordered))

    def newest(self):
        """Return the newest record of each key."""
        return dict(self.records)
