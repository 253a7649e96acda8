"""Log pacing.

Decides how often a daemon calls the platform's log, so that the calls of all daemons
together grow little with the fleet: at rest, when all daemons start, and while the log
refuses calls.
"""

import random

__all__ = [
    "departure_writes_per_s",
    "draw_read_wait_ms",
    "draw_retry_delay_s",
    "reads_presence_after_start",
]

#: Mean time between two reads of the whole fleet that wait for a record. A reader whose
#: answer was lost notices it only at the end of its wait; the others read before.
FLEET_READ_INTERVAL_MS = 1_200
MIN_READ_WAIT_MS = 1_000
MAX_READ_WAIT_MS = 25_000  # the platform allows 30 s
FIRST_RETRY_DELAY_S = 0.1
#: Time between two retries of the whole fleet while the log refuses calls.
FLEET_RETRY_INTERVAL_S = 0.25
MIN_MAX_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 5.0
#: Daemons that read the presence records again after a start of the whole fleet.
PRESENCE_READERS_AFTER_START = 4
#: Records of departures that the whole fleet writes at most in the long run.
FLEET_DEPARTURE_WRITES_PER_S = 40.0
#: Departures that are written later are acknowledged too late. Only a fleet that
#: replaces most targets at once writes more than the above; the log then refuses some.
MIN_DEPARTURE_WRITES_PER_S = 0.5


def draw_read_wait_ms(reader_count: int) -> int:
    """Return how long a read waits for a record, in milliseconds.

    The times of the readers are spread, also after a record has ended all their waits
    at once.

    :param reader_count: daemons that read the log continuously.
    """
    limit_ms = 2 * FLEET_READ_INTERVAL_MS * reader_count
    limit_ms = min(MAX_READ_WAIT_MS, max(2 * MIN_READ_WAIT_MS, limit_ms))
    return round(random.uniform(MIN_READ_WAIT_MS, limit_ms))


def draw_retry_delay_s(attempt: int, reader_count: int) -> float:
    """Return the time before a call that failed is made again, in seconds.

    The delay doubles up to a limit that grows with the number of readers: after an
    outage, the daemon that reads first informs the others.

    :param attempt: number of the failed attempt, counted from 0.
    :param reader_count: daemons that read the log continuously.
    """
    limit_s = reader_count * FLEET_RETRY_INTERVAL_S
    limit_s = min(MAX_RETRY_DELAY_S, max(MIN_MAX_RETRY_DELAY_S, limit_s))
    delay_s = min(limit_s, FIRST_RETRY_DELAY_S * 2 ** min(attempt, 10))
    return delay_s * random.uniform(0.5, 1.5)


def reads_presence_after_start(group_size: int) -> bool:
    """Return whether a daemon that knows peers reads the presence records again.

    Daemons that start at once may not have seen each other's records. A few that read
    again find all of them and connect the groups.

    :param group_size: number of daemons alive or suspected.
    """
    return random.random() < PRESENCE_READERS_AFTER_START / group_size


def departure_writes_per_s(group_size: int) -> float:
    """Return how often a daemon may write departures of targets in the long run.

    :param group_size: number of daemons alive or suspected.
    """
    return max(MIN_DEPARTURE_WRITES_PER_S, FLEET_DEPARTURE_WRITES_PER_S / group_size)
