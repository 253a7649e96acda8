"""Fault: a heartbeat that can't be read ends the daemon, half a minute later."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import Endpoint, configuration, get_status, main, post, route, send  # noqa: E402

#: platform_down lasts 9 s at most in the site file.
OUTAGE_BEFORE_BEAT_S = 2.2
RESTART_DELAY_S = 0.5  # "restarted after a short delay"
ENDS = 3  # of each of two machines
FOREIGN_BEAT = json.dumps(
    {
        "address": "127.0.0.1:9",
        "info": {"service": "\ud800", "version": "v1", "zone": "makati", "slots": 5},
        "status": {"state": "ready", "sequence": 1, "cold_left_s": 0},
    }
).encode()
LATEST_S = 113.0


async def wait_for_control(machine) -> None:
    while not await get_status(machine.address("control"), "/"):
        await asyncio.sleep(0.05)


async def case(fleet, trouble: bool) -> list[str]:
    await fleet.store.start()
    routes = [route("lookup", "idempotent", "slot-desk")]
    fleet.store.put("keyed.op", "config", configuration(7, routes, ["slot-desk"]))
    machines = [
        fleet.add(f"sidecar-{zone}-1", zone, "slot-desk")
        for zone in ("makati", "pasig", "quezon", "taguig")
    ]
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    for number, machine in enumerate(machines):
        await Endpoint(machine, f"i-{number}").start()
    record = fleet.record
    affected = machines[:2]
    ends = {machine.name: 0 for machine in affected}

    async def send_foreign_beat(machine) -> None:
        path = "/-/rpc?call=instances.heartbeat&of=i-foreign"
        status = await post(machine.address("control"), path, FOREIGN_BEAT)
        record.write("foreign beat at", machine.name, "->", status)

    outages = 0

    async def begin_outage() -> None:
        nonlocal outages
        outages += 1
        if outages == 1:
            record.write("the store is down")
            fleet.store.set_down(True)
        await asyncio.sleep(OUTAGE_BEFORE_BEAT_S)

    def end_outage() -> None:
        nonlocal outages
        outages -= 1
        if outages == 0:
            fleet.store.set_down(False)
            record.write("the store is back")

    async def watch(machine) -> None:
        """Count the ends of a daemon; start it again, and a foreign beat comes again."""
        while True:
            while machine.process.poll() is None:
                await asyncio.sleep(0.05)
            ends[machine.name] += 1
            record.write("the daemon of", machine.name, "ended by itself, exit code",
                         machine.process.returncode)  # fmt: skip
            if ends[machine.name] >= ENDS:
                return
            outage = asyncio.create_task(begin_outage())
            await asyncio.sleep(RESTART_DELAY_S)
            machine.start()
            await wait_for_control(machine)
            await outage
            await send_foreign_beat(machine)
            end_outage()

    async def send_lookups() -> None:
        number = 0
        while True:
            number += 1
            await send(machines[3], "GET", f"/lookup/{number}")
            await asyncio.sleep(0.5)

    await begin_outage()
    if trouble:
        for machine in affected:
            await send_foreign_beat(machine)
    end_outage()
    lookups = asyncio.create_task(send_lookups())
    watches = [asyncio.create_task(watch(machine)) for machine in affected]
    await asyncio.wait(watches, timeout=LATEST_S - record.now())
    lookups.cancel()
    for each in watches:
        each.cancel()
    if min(ends.values()) >= ENDS:
        return [f"Fault: daemons ended by themselves with no disruption there: {ends}"]
    record.write("ends:", ends)
    return []


main(case)
