"""Health bench.

Real daemons before many stand-in targets, with seeded faults: how soon a failing
target gets no more work, and how often a healthy one is left out.
"""

import argparse
import asyncio
import json
import random
import time
from pathlib import Path

import aiohttp
import attrs
import jsonc

from bench.healthfaults import (
    FAULTS,
    HELD_BACK_SEEDS,
    SEEDS,
    SERVICES,
    Fault,
    ServiceShape,
)
from bench.healthload import ServiceLoad
from bench.healthmeasures import Episode, measure, read_verdicts, summarise
from tests.standins.fleet import Fleet, request, wait_until

__all__ = ["main"]

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "build" / "health"
DATA_CENTRES = ("makati", "pasig", "quezon", "taguig")
GROUPS = 2
LANES = 3
RATE_PER_ENDPOINT = 4.0
COLD_S = 3.2
WARM_UP_S = 1.5
FAULT_S = 5.0
POLL_INTERVAL_S = 0.5
POLICIES = {
    "evidence": {},
    "round-robin": {"routing_policy": "round-robin", "ejection_policy": "none"},
    "least-requests": {"routing_policy": "least-requests", "ejection_policy": "none"},
    "consecutive-errors": {
        "routing_policy": "least-requests",
        "ejection_policy": "consecutive-errors",
    },
}


@attrs.define
class Planned:
    """One episode in all services.

    :ivar number: tells its services from those of other episodes.
    """

    number: int
    fault: Fault
    seed: int

    def service(self, shape: ServiceShape) -> str:
        """Return the service's name in this episode."""
        return f"{shape.service}.e{self.number}"


class HealthBench:
    """One run of the bench."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.episodes: list[Episode] = []
        self._fleet = fleet
        self._session = session
        self._group_ports: list[int] = []

    def start(self, planned: list[Planned], policy: dict) -> None:
        """Start the processes and publish the settings of all episodes."""
        fleet = self._fleet
        fleet.start_log()
        fleet.link_daemons("d1", "d2")
        for index, data_centre in enumerate(DATA_CENTRES):
            fleet.start_daemon(f"d{index + 1}", data_centre)
        for index in range(GROUPS):
            port = fleet.free_port()
            self._group_ports.append(port)
            arguments = ("--port", str(port), "--seed", str(index))
            fleet.start(f"g{index}", "-m", "tests.standins.targetgroup", *arguments)
            url = f"http://127.0.0.1:{port}/healthz"
            wait_until(lambda u=url: request("GET", u).status == 200, url)
        fleet.wait_ready()
        path = fleet.directory / "services.jsonc"
        path.write_text(json.dumps(_settings(planned, policy)))
        done = fleet.run_cli("d1", "publish", str(path))
        assert done.returncode == 0, done

    async def run(self, planned: list[Planned]) -> None:
        """Run the episodes, several at a time; those that cut a path come last."""
        waiting = [each for each in planned if not each.fault.cuts_path]
        cutting = [each for each in planned if each.fault.cuts_path]
        lanes = [self._ports() for _ in range(LANES)]
        await asyncio.gather(
            *(self._lane(waiting, ports, index) for index, ports in enumerate(lanes))
        )
        for each in cutting:
            await self._run_planned(each, lanes[0])

    def _ports(self) -> list[int]:
        count = sum(shape.endpoints for shape in SERVICES)
        return [self._fleet.free_port() for _ in range(count)]

    async def _lane(self, waiting: list[Planned], ports: list[int], index: int) -> None:
        await asyncio.sleep(index * (COLD_S + WARM_UP_S + FAULT_S) / LANES)
        while waiting:
            await self._run_planned(waiting.pop(0), ports)

    async def _run_planned(self, planned: Planned, ports: list[int]) -> None:
        free = iter(ports)
        group = self._group_ports[planned.number % GROUPS]
        url = f"http://127.0.0.1:{group}"
        episodes, targets = [], []
        for shape in SERVICES:
            generator = random.Random(f"{planned.seed}-{shape.service}")
            numbers = planned.fault.victims(generator, shape.endpoints)
            victims = {f"t{number}" for number in numbers}
            service = planned.service(shape)
            episodes.append(
                Episode(shape, planned.fault, planned.seed, service, victims)
            )
            targets += self._targets(shape, service, free)
        late = [t for t in targets if planned.fault.late and _fails(t, episodes)]
        await self._post(f"{url}/targets", [t for t in targets if t not in late])
        await asyncio.sleep(COLD_S)
        onset_s = time.time() + WARM_UP_S
        for episode in episodes:
            episode.onset_s, episode.end_s = onset_s, onset_s + FAULT_S
        await asyncio.gather(
            *(self._load(episode) for episode in episodes),
            *(self._watch(episode) for episode in episodes),
            self._cause(planned.fault, episodes, targets, late, url),
        )
        ports_used = [target["port"] for target in targets]
        started = await self._post(f"{url}/remove", ports_used)
        for episode in episodes:
            names = [t["endpoint"] for t in targets if t["service"] == episode.service]
            episode.started = {_plain(n): started[n] for n in names}
        self.episodes += episodes

    def _targets(self, shape: ServiceShape, service: str, free) -> list[dict]:
        daemons = list(self._fleet.daemons.values())
        return [
            {
                "service": service,
                "endpoint": f"t{number}.{service}",
                "daemon": f"127.0.0.1:{daemons[number % len(daemons)].ports['target']}",
                "port": next(free),
                "work_ms": shape.work_ms,
            }
            for number in range(shape.endpoints)
        ]

    async def _load(self, episode: Episode) -> None:
        shape = episode.shape
        entries = [daemon.callers for daemon in self._fleet.daemons.values()]
        seed = episode.seed * 1000 + shape.endpoints
        load = ServiceLoad(self._session, entries, seed)
        rate_per_s = RATE_PER_ENDPOINT * shape.endpoints * episode.fault.rate_factor
        until_s = episode.end_s
        await load.run(episode.service, rate_per_s, shape.write_share, until_s)
        episode.calls = load.results

    async def _cause(
        self,
        fault: Fault,
        episodes: list[Episode],
        targets: list[dict],
        late: list[dict],
        url: str,
    ) -> None:
        await asyncio.sleep(max(0.0, episodes[0].onset_s - time.time()))
        if late:
            await self._post(f"{url}/targets", [{**t, **fault.settings} for t in late])
            return
        faults = {t["port"]: fault.settings for t in targets if _fails(t, episodes)}
        await self._post(f"{url}/faults", faults)
        if fault.cuts_path:
            link = self._fleet.links["d1>d2"]
            await asyncio.to_thread(link.faults, forward={"cut": True})
            await asyncio.sleep(max(0.0, episodes[0].end_s - time.time()))
            await asyncio.to_thread(link.faults, forward={"cut": False})

    async def _watch(self, episode: Episode) -> None:
        await asyncio.sleep(max(0.0, episode.onset_s - time.time()))
        while time.time() < episode.end_s:
            for daemon in self._fleet.daemons.values():
                url = f"http://{daemon.operator_address}/v1/selection/{episode.service}"
                async with self._session.get(url) as response:
                    _note(episode, await response.json())
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _post(self, url: str, value) -> dict:
        async with self._session.post(url, json=value) as response:
            return await response.json()


def _plain(endpoint: str) -> str:
    return endpoint.partition(".")[0]


def _fails(target: dict, episodes: list[Episode]) -> bool:
    return any(
        episode.service == target["service"]
        and _plain(target["endpoint"]) in episode.victims
        for episode in episodes
    )


def _note(episode: Episode, selection: dict) -> None:
    spare = selection["in_use_slots"] - selection["floor_slots"]
    healthy = sum(
        endpoint["slots"]
        for endpoint in selection["in_use"]
        if _plain(endpoint["endpoint"]) not in episode.victims
    )
    spares = [spare, episode.spare_slots]
    episode.spare_slots = min(value for value in spares if value is not None)
    healthies = [healthy, episode.healthy_slots]
    episode.healthy_slots = min(value for value in healthies if value is not None)


def _settings(planned: list[Planned], policy: dict) -> dict:
    """Return the settings of the examples, once for each episode."""
    services = {}
    for shape in SERVICES:
        path = ROOT / "examples" / shape.deployment / "services.jsonc"
        file = jsonc.loads(path.read_text())
        settings = {
            **file.get("fleet", {}),
            **file["services"][shape.service],
            **policy,
        }
        for each in planned:
            services[each.service(shape)] = settings
    return {"services": services}


async def run_bench(policy: dict, seeds: tuple[int, ...], names: list[str]) -> dict:
    """Run all faults with the given seeds and return the figures."""
    chosen = [fault for fault in FAULTS if not names or fault.name in names]
    pairs = [(fault, seed) for seed in seeds for fault in chosen]
    planned = [Planned(n, fault, seed) for n, (fault, seed) in enumerate(pairs)]
    fleet = Fleet()
    connector = aiohttp.TCPConnector(limit=0)
    try:
        async with aiohttp.ClientSession(connector=connector) as session:
            bench = HealthBench(fleet, session)
            await asyncio.to_thread(bench.start, planned, policy)
            await bench.run(planned)
        verdicts = read_verdicts(fleet.directory)
        verdicts = [attrs.evolve(v, endpoint=_plain(v.endpoint)) for v in verdicts]
    finally:
        fleet.close()
    rows = [measure(episode, verdicts) for episode in bench.episodes]
    return {"seeds": seeds, "summary": summarise(rows), "episodes": rows}


COLUMNS = (
    ("service", 13),
    ("fault", 12),
    ("detected", 9),
    ("detected_median_s", 6),
    ("detected_worst_s", 6),
    ("quiet_median_s", 6),
    ("quiet_worst_s", 6),
    ("sent", 5),
    ("sent_after_1s", 5),
    ("false_ejections", 5),
    ("least_spare_slots", 5),
    ("least_healthy_slots", 5),
    ("in_time_percent", 7),
    ("added_p50_ms", 7),
    ("added_p99_ms", 8),
)


def print_table(summary: list[dict]) -> None:
    """Print the figures, one line for each service and fault."""
    print(
        " ".join(name.replace("_", " ")[:width].rjust(width) for name, width in COLUMNS)
    )
    for row in sorted(summary, key=lambda row: (row["service"], row["fault"])):
        cells = dict(row, detected=f"{row['detected']}/{row['victims']}")
        print(" ".join(str(cells[name]).rjust(width) for name, width in COLUMNS))


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", choices=POLICIES, default="evidence")
    parser.add_argument("--seeds", type=int, default=2, help="how many")
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--held-back", action="store_true")
    parser.add_argument("--setting", action="append", default=[], help="NAME=JSON")
    parser.add_argument("--name", default="", help="of the result")
    parser.add_argument("faults", nargs="*")
    options = parser.parse_args()
    seeds = HELD_BACK_SEEDS if options.held_back else SEEDS
    seeds = seeds[options.first_seed :][: options.seeds]
    policy = dict(POLICIES[options.policy])
    for setting in options.setting:
        name, _, value = setting.partition("=")
        policy[name] = json.loads(value)
    started_at_s = time.monotonic()
    result = asyncio.run(run_bench(policy, seeds, options.faults))
    result["policy"] = options.policy
    result["settings"] = policy
    RESULTS.mkdir(parents=True, exist_ok=True)
    name = options.name or options.policy
    (RESULTS / f"{name}.json").write_text(json.dumps(result, indent=1))
    print_table(result["summary"])
    print(f"{name}: seeds {seeds}, {time.monotonic() - started_at_s:.0f} s")


if __name__ == "__main__":
    main()
