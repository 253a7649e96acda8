"""Settings fetch.

Asks peers for newer settings, and further peers if the first ones do not reply in time.
This keeps a daemon up to date while connections to some peers deliver nothing.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Iterator

__all__ = ["HEDGE_DELAY_S", "MAX_CONCURRENT_FETCHES", "fetch_from_any"]

#: A peer replies within a few milliseconds; this is a tenth of the time in which a
#: change must be in force.
HEDGE_DELAY_S = 0.2
MAX_CONCURRENT_FETCHES = 4


async def fetch_from_any(
    addresses: Iterable[str], fetch: Callable[[str, bool], Awaitable[bool]]
) -> list[str]:
    """Ask peers one after the other until one has delivered the settings.

    The next peer is asked when a request fails, or when no reply came for
    ``HEDGE_DELAY_S``. Requests without a reply go on meanwhile and are cancelled at the
    end.

    :param addresses: the peers in the order in which to ask them.
    :param fetch: sends a request to a peer, over a new connection if its second
        argument is true; returns whether the peer delivered the settings.
    :returns: the peers whose request had no reply when another one delivered.
    """
    remaining = iter(addresses)
    pending: dict[asyncio.Task[bool], str] = {}
    try:
        _start_next(remaining, pending, fetch, new_connection=False)
        while pending:
            done, _ = await asyncio.wait(
                pending,
                timeout=HEDGE_DELAY_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                del pending[task]
            if any(task.result() for task in done):
                return list(pending.values())
            _start_next(remaining, pending, fetch, new_connection=True)
        return []
    finally:
        for task in pending:
            task.cancel()


def _start_next(
    remaining: Iterator[str],
    pending: dict[asyncio.Task[bool], str],
    fetch: Callable[[str, bool], Awaitable[bool]],
    new_connection: bool,
) -> None:
    """Send a request to the next peer, if there is one and the limit allows it."""
    if len(pending) >= MAX_CONCURRENT_FETCHES:
        return
    address = next(remaining, None)
    if address is not None:
        task = asyncio.ensure_future(fetch(address, new_connection))
        pending[task] = address
