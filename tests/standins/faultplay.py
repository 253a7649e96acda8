"""Fault play.

Lets series of random faults happen to a fleet of processes under calls, and records
what its callers sent and its targets ran.
"""

import asyncio
import bisect
import itertools
import signal
import subprocess
import time
from collections.abc import Callable
from random import Random

import aiohttp

from tests.standins.fleet import DaemonProcess, Fleet
from tests.standins.leavingtarget import LeavingTarget

__all__ = ["STORE", "FaultPlay"]

#: Name of the end of links that leads to the log.
STORE = "store"
HOST = "desk.example"
CALL_TIMEOUT_MS = 2_000
QUOTA_KEY, OTHER_KEY = "key-1", "key-2"
#: Calls a second to each daemon.
CALLS_PER_S = {QUOTA_KEY: 20.0, OTHER_KEY: 4.0}
FAULTS_S = 8.0
CALM_S = 8.0
TARGETS_PER_DAEMON = 2
MAX_CUT_S = 12.0
#: A daemon is dead to the others after some 4 s, and starts in one or two.
MIN_CUT_WITH_RESTART_S = 8.0
#: A daemon that drains may be frozen meanwhile.
MAX_END_S = 30.0


class FaultPlay:
    """Random faults in series that overlap, with calm times between them.

    :param start_daemon: starts a daemon by its name, also again.
    :ivar sent_at_s: when each request was sent, by its id.
    :ivar keys: the account key of each request, by its id.
    :ivar calm_times_s: beginnings and ends of the times without faults.
    :ivar events: the faults, for the message of a check that fails.
    :ivar targets: the targets beside all daemons.
    """

    def __init__(
        self, fleet: Fleet, seed: int, start_daemon: Callable[[str], DaemonProcess]
    ) -> None:
        self.sent_at_s: dict[str, float] = {}
        self.keys: dict[str, str] = {}
        self.calm_times_s: list[tuple[float, float]] = []
        self.events: list[str] = []
        self.targets: list[LeavingTarget] = []
        self._fleet = fleet
        self._names = list(fleet.daemons)
        self._start_daemon = start_daemon
        self._chance = Random(seed)
        self._began_at_s = time.monotonic()
        self._request_numbers = itertools.count(1)

    async def run(self, series_count: int) -> None:
        """Play some series of faults, each followed by a calm time."""
        tasks = []
        async with aiohttp.ClientSession() as session:
            for name in self._names:
                tasks += self._start_targets(name, session)
                tasks += [
                    asyncio.create_task(self._send_calls(name, key))
                    for key in CALLS_PER_S
                ]
            await self._stay_calm()
            for _ in range(series_count):
                await self._cause_faults()
                await self._stay_calm()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def runs(self, key: str) -> list[tuple[float, float]]:
        """Return when each request with a key was sent and first reached a target."""
        first_at_s: dict[str, float] = {}
        for target in self.targets:
            for each in target.arrivals:
                if self.keys.get(each.request_id) == key:
                    known_at_s = first_at_s.get(each.request_id, each.at_s)
                    first_at_s[each.request_id] = min(known_at_s, each.at_s)
        return [(self.sent_at_s[name], at_s) for name, at_s in first_at_s.items()]

    def most_in_window(self, window_s: float) -> int:
        """Return the most requests with a quota that were sent and run in a window."""
        runs = self.runs(QUOTA_KEY)
        most = 0
        for start_s, _ in runs:
            inside = (
                start_s <= sent_s and at_s < start_s + window_s for sent_s, at_s in runs
            )
            most = max(most, sum(inside))
        return most

    def runs_after_leaving(self, drain_s: float, in_touch_after_s: float) -> list[str]:
        """Return requests that reached a process whose leaving was acknowledged.

        Counted are those that were sent in calm times, after all daemons have been in
        touch, and arrived later than ``drain_s`` after the acknowledgement.
        """
        found = []
        for target in self.targets:
            for each in target.arrivals:
                left_at_s = each.run.acknowledged_at_s
                sent_at_s = self.sent_at_s.get(each.request_id, 0.0)
                if (
                    left_at_s
                    and each.at_s > left_at_s + drain_s
                    and self._is_calm(sent_at_s - in_touch_after_s, each.at_s)
                ):
                    late = f"{each.at_s - left_at_s:.1f} s"
                    found.append(f"{each.request_id} at {target.name}: {late}")
        return found

    def count_departures(self) -> int:
        """Return the number of processes whose leaving was acknowledged."""
        runs = {each.run for target in self.targets for each in target.arrivals}
        return sum(run.acknowledged_at_s > 0 for run in runs)

    def _is_calm(self, from_s: float, until_s: float) -> bool:
        index = bisect.bisect(self.calm_times_s, (from_s, float("inf"))) - 1
        return index >= 0 and until_s <= self.calm_times_s[index][1]

    def _record(self, event: str) -> None:
        self.events.append(f"{time.monotonic() - self._began_at_s:6.1f} {event}")

    async def _stay_calm(self) -> None:
        started_at_s = time.monotonic()
        await asyncio.sleep(CALM_S)
        self.calm_times_s.append((started_at_s, time.monotonic()))

    def _start_targets(self, name: str, session) -> list[asyncio.Task]:
        port = self._fleet.daemons[name].ports["target"]
        targets = [
            LeavingTarget(
                f"{name}-e{number}",
                self._fleet.free_port(),
                port,
                Random(self._chance.random()),
            )
            for number in range(TARGETS_PER_DAEMON)
        ]
        self.targets += targets
        return [asyncio.create_task(target.live(session)) for target in targets]

    async def _send_calls(self, name: str, key: str) -> None:
        """Send calls on kept connections, whatever the daemon says."""
        calls = set()
        async with aiohttp.ClientSession() as session:
            while True:
                call = asyncio.create_task(self._send_call(session, name, key))
                calls.add(call)
                call.add_done_callback(calls.discard)
                await asyncio.sleep(1 / CALLS_PER_S[key])

    async def _send_call(self, session, name: str, key: str) -> None:
        request_id = f"r{next(self._request_numbers)}"
        self.sent_at_s[request_id] = time.monotonic()
        self.keys[request_id] = key
        method, path = ("GET", "lookup") if key == QUOTA_KEY else ("POST", "hold")
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(CALL_TIMEOUT_MS),
            "X-Key": key,
        }
        url = f"{self._fleet.daemons[name].callers}/{path}/{request_id}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_MS / 1000)
        try:
            async with session.request(
                method, url, headers=headers, timeout=timeout
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            pass  # the checks compare what was sent with what was run

    async def _cause_faults(self) -> None:
        """Let faults begin in a series; some overlap."""
        end_s = time.monotonic() + FAULTS_S
        tasks = []
        while time.monotonic() < end_s:
            fault = self._chance.choice(FAULTS)
            tasks.append(asyncio.create_task(fault(self)))
            await asyncio.sleep(self._chance.uniform(0.1, 3))
        await asyncio.gather(*tasks)

    def _draw_names(self) -> list[str]:
        count = self._chance.choice([1, 1, len(self._names) // 2])
        return self._chance.sample(self._names, count)

    async def _cut_from_others(self) -> None:
        inside = self._draw_names()
        await self._cut(f"cut {inside} from the others", self._crossing(inside))

    async def _restart_behind_cut(self) -> None:
        inside = self._draw_names()
        event = f"cut {inside} from the others, and restart them"
        cut = self._cut(event, self._crossing(inside), MIN_CUT_WITH_RESTART_S)
        task = asyncio.create_task(cut)
        await asyncio.sleep(self._chance.uniform(0.5, 3))
        await self._kill(inside)
        await task

    def _crossing(self, inside: list[str]) -> list[tuple[str, str]]:
        """Return the ends of the links between some daemons and the others."""
        return [
            (source, destination)
            for source, destination in itertools.permutations(self._names, 2)
            if (source in inside) != (destination in inside)
        ]

    async def _cut_from_store(self) -> None:
        inside = self._chance.choice([self._draw_names(), self._names])
        await self._cut(f"cut {inside} from the log", [(n, STORE) for n in inside])

    async def _cut(
        self, event: str, ends: list[tuple[str, str]], min_duration_s: float = 1.0
    ) -> None:
        self._record(event)
        await self._set_links(ends, cut=True)
        await asyncio.sleep(self._chance.uniform(min_duration_s, MAX_CUT_S))
        await self._set_links(ends, cut=False)
        self._record(f"end of {event}")

    async def _delay_store(self) -> None:
        delay_ms = self._chance.choice([100, 300, 450])
        ends = [(name, STORE) for name in self._names]
        self._record(f"log slower by {delay_ms} ms each way")
        await self._set_links(ends, delay_ms=delay_ms)
        await asyncio.sleep(self._chance.uniform(1, 5))
        await self._set_links(ends, delay_ms=0)

    async def _set_links(self, ends: list[tuple[str, str]], **faults) -> None:
        links = [self._fleet.links[f"{source}>{end}"] for source, end in ends]
        await asyncio.gather(
            *(
                asyncio.to_thread(link.faults, forward=faults, backward=faults)
                for link in links
            )
        )

    async def _kill_some(self) -> None:
        await self._kill(self._draw_names())

    async def _kill_all(self) -> None:
        await self._kill(self._names)

    async def _kill(self, names: list[str]) -> None:
        self._record(f"kill {names}")
        processes = {name: self._fleet.daemons[name].process for name in names}
        for process in processes.values():
            process.kill()
        await asyncio.sleep(self._chance.uniform(0.1, 2))
        for name, process in processes.items():
            await self._start_again(name, process)

    async def _start_again(self, name: str, process: subprocess.Popen) -> None:
        """Start a daemon whose process ends, unless another fault has done so."""
        await asyncio.to_thread(process.wait, MAX_END_S)
        if self._fleet.daemons[name].process is process:
            self._record(f"start {name}")
            self._start_daemon(name)

    async def _drain_one(self) -> None:
        name = self._chance.choice(self._names)
        self._record(f"SIGTERM to {name}")
        process = self._fleet.daemons[name].process
        process.send_signal(signal.SIGTERM)
        await self._start_again(name, process)

    async def _freeze_one(self) -> None:
        name = self._chance.choice(self._names)
        self._record(f"freeze {name}")
        process = self._fleet.daemons[name].process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._chance.uniform(0.3, 4))
        process.send_signal(signal.SIGCONT)


FAULTS = (
    FaultPlay._cut_from_others,
    FaultPlay._restart_behind_cut,
    FaultPlay._restart_behind_cut,
    FaultPlay._cut_from_store,
    FaultPlay._delay_store,
    FaultPlay._kill_some,
    FaultPlay._kill_some,
    FaultPlay._kill_all,
    FaultPlay._drain_one,
    FaultPlay._freeze_one,
)
