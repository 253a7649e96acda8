"""Health bench.

Runs daemons with many stand-in targets and injects seeded faults to measure how soon a
failing target receives no more calls and how often a healthy target is ejected.
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
    HELD_OUT_SEEDS,
    SEEDS,
    SERVICES,
    Fault,
    ServiceSpec,
)
from bench.healthload import ServiceLoad
from bench.healthmeasures import Episode, measure_episode, read_target_events, summarise
from tests.standins.fleet import Fleet, request, wait_until

__all__ = ["main"]

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "build" / "health"
DATA_CENTRES = ("makati", "pasig", "quezon", "taguig")
TARGET_GROUPS = 2
#: Number of scenarios that run at the same time.
WORKERS = 3
#: Mean call rate for each target of a service.
ENDPOINT_RATE_PER_S = 4.0
#: Time from the announcement of the targets to the first call.
STARTUP_S = 3.2
#: Time from the first call to the start of the fault.
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
class Scenario:
    """One fault with one seed, run as one episode in each service.

    :ivar number: distinguishes the service names of this scenario from those of others.
    """

    number: int
    fault: Fault
    seed: int

    def service_name(self, spec: ServiceSpec) -> str:
        """Return the name of the service in this scenario."""
        return f"{spec.service}.e{self.number}"


class HealthBench:
    """One run of the bench.

    :ivar episodes: finished episodes.
    """

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.episodes: list[Episode] = []
        self._fleet = fleet
        self._session = session
        self._group_ports: list[int] = []

    def start(self, scenarios: list[Scenario], policy: dict) -> None:
        """Start the processes and publish the settings of all scenarios."""
        fleet = self._fleet
        fleet.start_log()
        fleet.link_daemons("d1", "d2")
        for index, data_centre in enumerate(DATA_CENTRES):
            fleet.start_daemon(f"d{index + 1}", data_centre)
        for index in range(TARGET_GROUPS):
            port = fleet.free_port()
            self._group_ports.append(port)
            arguments = ("--port", str(port), "--seed", str(index))
            fleet.start(f"g{index}", "-m", "tests.standins.targetgroup", *arguments)
            url = f"http://127.0.0.1:{port}/healthz"
            wait_until(lambda u=url: request("GET", u).status == 200, url)
        fleet.wait_ready()
        path = fleet.directory / "services.jsonc"
        path.write_text(json.dumps(_settings(scenarios, policy)))
        published = fleet.run_cli("d1", "publish", str(path))
        assert published.returncode == 0, published

    async def run(self, scenarios: list[Scenario]) -> None:
        """Run the scenarios, several at a time.

        Those that break a link between daemons run last, one at a time.
        """
        queue = [scenario for scenario in scenarios if not scenario.fault.breaks_link]
        link_failures = [
            scenario for scenario in scenarios if scenario.fault.breaks_link
        ]
        worker_ports = [self._free_ports() for _ in range(WORKERS)]
        await asyncio.gather(
            *(
                self._run_worker(queue, ports, index)
                for index, ports in enumerate(worker_ports)
            )
        )
        for scenario in link_failures:
            await self._run_scenario(scenario, worker_ports[0])

    def _free_ports(self) -> list[int]:
        count = sum(spec.endpoints for spec in SERVICES)
        return [self._fleet.free_port() for _ in range(count)]

    async def _run_worker(
        self, queue: list[Scenario], ports: list[int], index: int
    ) -> None:
        await asyncio.sleep(index * (STARTUP_S + WARM_UP_S + FAULT_S) / WORKERS)
        while queue:
            await self._run_scenario(queue.pop(0), ports)

    async def _run_scenario(self, scenario: Scenario, ports: list[int]) -> None:
        free_ports = iter(ports)
        group = self._group_ports[scenario.number % TARGET_GROUPS]
        url = f"http://127.0.0.1:{group}"
        episodes, targets = [], []
        for spec in SERVICES:
            generator = random.Random(f"{scenario.seed}-{spec.service}")
            victim_numbers = scenario.fault.choose_victims(generator, spec.endpoints)
            victims = {f"t{number}" for number in victim_numbers}
            service = scenario.service_name(spec)
            episodes.append(
                Episode(spec, scenario.fault, scenario.seed, service, victims)
            )
            targets += self._describe_targets(spec, service, free_ports)
        late_targets = [
            t
            for t in targets
            if scenario.fault.victims_join_late and _is_victim(t, episodes)
        ]
        await self._post(
            f"{url}/targets", [t for t in targets if t not in late_targets]
        )
        await asyncio.sleep(STARTUP_S)
        fault_start_s = time.time() + WARM_UP_S
        for episode in episodes:
            episode.fault_start_s, episode.fault_end_s = (
                fault_start_s,
                fault_start_s + FAULT_S,
            )
        await asyncio.gather(
            *(self._run_load(episode) for episode in episodes),
            *(self._poll_selection(episode) for episode in episodes),
            self._inject_fault(scenario.fault, episodes, targets, late_targets, url),
        )
        ports_used = [target["port"] for target in targets]
        work_starts_s = await self._post(f"{url}/remove", ports_used)
        for episode in episodes:
            names = [t["endpoint"] for t in targets if t["service"] == episode.service]
            episode.work_starts_s = {_target_name(n): work_starts_s[n] for n in names}
        self.episodes += episodes

    def _describe_targets(
        self, spec: ServiceSpec, service: str, free_ports
    ) -> list[dict]:
        daemons = list(self._fleet.daemons.values())
        return [
            {
                "service": service,
                "endpoint": f"t{number}.{service}",
                "daemon": f"127.0.0.1:{daemons[number % len(daemons)].ports['target']}",
                "port": next(free_ports),
                "work_ms": spec.work_ms,
            }
            for number in range(spec.endpoints)
        ]

    async def _run_load(self, episode: Episode) -> None:
        spec = episode.spec
        entry_urls = [daemon.callers for daemon in self._fleet.daemons.values()]
        seed = episode.seed * 1000 + spec.endpoints
        load = ServiceLoad(self._session, entry_urls, seed)
        rate_per_s = ENDPOINT_RATE_PER_S * spec.endpoints * episode.fault.rate_factor
        until_s = episode.fault_end_s
        await load.run(episode.service, rate_per_s, spec.non_idempotent_share, until_s)
        episode.calls = load.results

    async def _inject_fault(
        self,
        fault: Fault,
        episodes: list[Episode],
        targets: list[dict],
        late_targets: list[dict],
        url: str,
    ) -> None:
        await asyncio.sleep(max(0.0, episodes[0].fault_start_s - time.time()))
        if late_targets:
            await self._post(
                f"{url}/targets", [{**t, **fault.settings} for t in late_targets]
            )
            return
        faults = {t["port"]: fault.settings for t in targets if _is_victim(t, episodes)}
        await self._post(f"{url}/faults", faults)
        if fault.breaks_link:
            link = self._fleet.links["d1>d2"]
            await asyncio.to_thread(link.faults, forward={"cut": True})
            await asyncio.sleep(max(0.0, episodes[0].fault_end_s - time.time()))
            await asyncio.to_thread(link.faults, forward={"cut": False})

    async def _poll_selection(self, episode: Episode) -> None:
        await asyncio.sleep(max(0.0, episode.fault_start_s - time.time()))
        while time.time() < episode.fault_end_s:
            for daemon in self._fleet.daemons.values():
                url = f"http://{daemon.operator_address}/v1/selection/{episode.service}"
                async with self._session.get(url) as response:
                    _record_selection(episode, await response.json())
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _post(self, url: str, value) -> dict:
        async with self._session.post(url, json=value) as response:
            return await response.json()


def _target_name(endpoint: str) -> str:
    return endpoint.partition(".")[0]


def _is_victim(target: dict, episodes: list[Episode]) -> bool:
    return any(
        episode.service == target["service"]
        and _target_name(target["endpoint"]) in episode.victims
        for episode in episodes
    )


def _record_selection(episode: Episode, selection: dict) -> None:
    spare = selection["in_use_slots"] - selection["floor_slots"]
    healthy = sum(
        endpoint["slots"]
        for endpoint in selection["in_use"]
        if _target_name(endpoint["endpoint"]) not in episode.victims
    )
    spare_values = [spare, episode.spare_slots]
    episode.spare_slots = min(value for value in spare_values if value is not None)
    healthy_values = [healthy, episode.healthy_slots]
    episode.healthy_slots = min(value for value in healthy_values if value is not None)


def _settings(scenarios: list[Scenario], policy: dict) -> dict:
    """Return the example settings of each service, repeated for each scenario."""
    services = {}
    for spec in SERVICES:
        path = ROOT / "examples" / spec.deployment / "services.jsonc"
        file = jsonc.loads(path.read_text())
        settings = {
            **file.get("fleet", {}),
            **file["services"][spec.service],
            **policy,
        }
        for scenario in scenarios:
            services[scenario.service_name(spec)] = settings
    return {"services": services}


async def run_bench(
    policy: dict, seeds: tuple[int, ...], fault_names: list[str]
) -> dict:
    """Run each fault with each seed and return the results.

    :param policy: settings that override those of the examples.
    :param seeds: seeds of the scenarios.
    :param fault_names: names of the faults to run; all if empty.
    """
    selected = [
        fault for fault in FAULTS if not fault_names or fault.name in fault_names
    ]
    combinations = [(fault, seed) for seed in seeds for fault in selected]
    scenarios = [
        Scenario(n, fault, seed) for n, (fault, seed) in enumerate(combinations)
    ]
    fleet = Fleet()
    connector = aiohttp.TCPConnector(limit=0)
    try:
        async with aiohttp.ClientSession(connector=connector) as session:
            bench = HealthBench(fleet, session)
            await asyncio.to_thread(bench.start, scenarios, policy)
            await bench.run(scenarios)
        target_events = read_target_events(fleet.directory)
        target_events = [
            attrs.evolve(event, endpoint=_target_name(event.endpoint))
            for event in target_events
        ]
    finally:
        fleet.close()
    rows = [measure_episode(episode, target_events) for episode in bench.episodes]
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
    """Print the summary as a table, one line for each service and fault."""
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
    parser.add_argument("--seeds", type=int, default=2, help="number of seeds")
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--held-back", action="store_true")
    parser.add_argument("--setting", action="append", default=[], help="NAME=JSON")
    parser.add_argument("--name", default="", help="name of the result file")
    parser.add_argument("faults", nargs="*")
    options = parser.parse_args()
    seeds = HELD_OUT_SEEDS if options.held_back else SEEDS
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
