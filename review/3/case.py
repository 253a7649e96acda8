"""DRAIN: an endpoint that has left is used again after a restart of its daemon."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import BOUNDS, Endpoint, configuration, main, route, send  # noqa: E402

RESTART_DELAY_S = 0.5  # "restarted after a short delay"
LATE_S = 2.0  # "A heartbeat may arrive seconds late"
#: "continues to serve for the same length of time" as `drain_s`, "and a little longer
#: (at times many seconds)".
SERVES_S = 10.0
HOLD_WORK_S = 0.8
REQUEST_INTERVAL_S = 0.25


async def case(fleet, trouble: bool) -> list[str]:
    await fleet.store.start()
    routes = [route("hold", "non_idempotent", "slot-desk")]
    services = ["slot-desk", "proof-vault"]
    fleet.store.put("keyed.op", "config", configuration(7, routes, services))
    desk = fleet.add("sidecar-makati-1", "makati", "slot-desk")
    other = fleet.add("sidecar-makati-2", "makati", "slot-desk")
    vault = fleet.add("sidecar-pasig-1", "pasig", "proof-vault")
    machines = [desk, other, vault]
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    leaving = Endpoint(desk, "i-leaving", HOLD_WORK_S)
    endpoints = [
        leaving,
        Endpoint(other, "i-stays", HOLD_WORK_S),
        Endpoint(vault, "i-v"),
    ]
    for endpoint in endpoints:
        await endpoint.start()
    await asyncio.sleep(5)  # all machines are in touch

    record = fleet.record
    answers = {}
    calls = []

    async def call(number: int) -> None:
        answer = await send(vault, "POST", f"/hold/{number}", b"{}", 2500)
        answers[answer.attempt] = answer

    async def send_forever() -> None:
        number = 0
        while True:
            number += 1
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    sending = asyncio.create_task(send_forever())
    await asyncio.sleep(2)
    started_s = record.now() - BOUNDS["stable_window_s"]
    leaving.stop_beats()
    if trouble:
        record.write("kills the daemon of", desk.name)
        desk.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        desk.start()
        started_s = record.now()
        await desk.wait_ready()
        record.write("the daemon of", desk.name, "is ready again")
    late_beat = leaving.beat_body()  # sent now, arrives later
    status = await leaving.deregister()
    acknowledged_s = record.now()
    record.write("deregisters", leaving.id, "->", status)
    if status // 100 != 2:
        return []
    await asyncio.sleep(LATE_S)
    record.write("late beat", leaving.id, "->", await leaving.send_beat(late_beat))
    await asyncio.sleep(SERVES_S - LATE_S)
    record.write("exits", leaving.id)
    await leaving.exit()
    sending.cancel()
    await asyncio.gather(*calls)

    # The machines are in touch again `stable_window_s` after the start of the daemon.
    since_s = max(
        acknowledged_s + BOUNDS["drain_s"], started_s + BOUNDS["stable_window_s"]
    )
    late = [(at_s, each) for at_s, each, _ in leaving.arrivals if at_s > since_s]
    lost = [each for _, each in late if answers[each].status not in (200, 503)]
    broken = [
        f"DRAIN: {each} reached {leaving.id} {at_s - acknowledged_s:.1f} s after the"
        f" acknowledgement, answered {answers[each].status}"
        for at_s, each in late
    ]
    if broken:
        broken.append(
            f"{len(late)} in all, {len(lost)} of them lost as the endpoint ended"
        )
    return broken


main(case)
