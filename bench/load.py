"""Load generator.

Sends calls at a fixed mean rate from a separate process and prints their latencies.
"""

import argparse
import asyncio
import json
import random
import sys

import aiohttp
import attrs
import uvloop

__all__ = ["main"]

US_PER_S = 1_000_000


@attrs.define
class LoadGenerator:
    """Open-loop load generator: slow responses do not delay the following calls.

    :ivar url: URL that is requested.
    :ivar rate_per_s: mean call rate.
    :ivar duration_s: time during which calls are sent.
    :ivar latencies_us: time from the scheduled start of each call until its response
        was read completely or the call failed.
    :ivar failures: number of calls that failed or were answered with status 400 or
        above.
    """

    url: str
    rate_per_s: float
    duration_s: float
    rng: random.Random
    latencies_us: list[int] = attrs.field(factory=list)
    failures: int = 0

    async def run(self) -> None:
        """Send all calls and wait for their responses."""
        loop = asyncio.get_running_loop()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await self._warm_up(session)
            async with asyncio.TaskGroup() as group:
                started_at_s = loop.time()
                due_at_s = started_at_s
                while due_at_s < started_at_s + self.duration_s:
                    await asyncio.sleep(max(0.0, due_at_s - loop.time()))
                    group.create_task(self._send(session, due_at_s))
                    due_at_s += self.rng.expovariate(self.rate_per_s)

    async def _warm_up(self, session: aiohttp.ClientSession) -> None:
        for _ in range(20):
            async with session.get(self.url) as response:
                await response.read()

    async def _send(self, session: aiohttp.ClientSession, due_at_s: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with session.get(self.url) as response:
                await response.read()
                self.failures += response.status >= 400
        except aiohttp.ClientError:
            self.failures += 1
        self.latencies_us.append(int((loop.time() - due_at_s) * US_PER_S))


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--url", required=True)
    parser.add_argument("--rate", type=float, required=True, help="calls per second")
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--seed", type=int, required=True)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    generator = LoadGenerator(options.url, options.rate, options.seconds, rng)
    uvloop.run(generator.run())
    json.dump(
        {"latencies_us": generator.latencies_us, "failures": generator.failures},
        sys.stdout,
    )


if __name__ == "__main__":
    main()
