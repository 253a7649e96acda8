"""CONFIG: a configuration with more than ten attempts is never in force."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import BOUNDS, Endpoint, configuration, main, route, send  # noqa: E402

VERSIONS = (9, 12, 15)  # "Versions increase in uneven steps."
INTERVAL_S = 7.0
HOLDS_EACH = 12


def routes(service: str, attempts: int) -> list[dict]:
    return [
        route("lookup", "idempotent", "slot-desk", max_attempts=attempts),
        route("hold", "non_idempotent", service),
    ]


async def case(fleet, trouble: bool) -> list[str]:
    await fleet.store.start()
    services = ["slot-desk", "slot-desk-2"]
    first = configuration(7, routes("slot-desk", 2), services)
    fleet.store.put("keyed.op", "config", first)
    machines = [
        fleet.add("sidecar-makati-1", "makati", "slot-desk"),
        fleet.add("sidecar-makati-2", "makati", "slot-desk-2"),
        fleet.add("sidecar-pasig-1", "pasig", "slot-desk"),
        fleet.add("sidecar-pasig-2", "pasig", "slot-desk-2"),
    ]
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    endpoints = [Endpoint(m, f"i-{n}") for n, m in enumerate(machines)]
    for endpoint in endpoints:
        await endpoint.start()
    await asyncio.sleep(5)  # all machines are in touch

    broken = []
    for version in VERSIONS:
        # The holds move to another service; in the case of trouble, lookups may also be
        # sent to up to twelve endpoints.
        document = configuration(
            version, routes("slot-desk-2", 12 if trouble else 2), services
        )
        fleet.store.put("keyed.op", "config", document)
        written_s = fleet.record.now()
        fleet.record.write("version", version, "is written and acknowledged")
        await asyncio.sleep(BOUNDS["config_apply_s"] + 1.0)
        for number in range(HOLDS_EACH):
            machine = machines[number % len(machines)]
            sent_s = fleet.record.now()
            answer = await send(machine, "POST", f"/hold/{version}-{number}", b"{}")
            for endpoint in endpoints:
                old = endpoint.machine.service == "slot-desk"
                if old and any(each[1] == answer.attempt for each in endpoint.ran):
                    broken.append(
                        f"CONFIG: {answer.attempt}, sent {sent_s - written_s:.1f} s after"
                        f" version {version} to {machine.name}, was run by the old"
                        f" service on {endpoint.id}"
                    )
            await asyncio.sleep(0.1)
        await asyncio.sleep(max(0.0, written_s + INTERVAL_S - fleet.record.now()))
    return broken


main(case)
