"""All daemons are killed just after an endpoint has deregistered; a heartbeat comes late.

The check is DRAIN: holds that reach the endpoint later than ``drain_s`` after the
acknowledgement, sent when all machines have been in touch again.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402

SERVICE = "huvo11a"
MACHINES = 4
DRAIN_S, STABLE_WINDOW_S = 2.0, 3.0
#: From the acknowledgement to the exit of the endpoint ("at times many seconds").
SERVES_S = 12.0
KILL_AFTER_S, DOWN_S = 0.3, 0.5
LATE_S = 3.0
HOLDS_PER_S = 16


async def case(record, trouble):
    fleet = harness.Fleet(record, services=(SERVICE,) * MACHINES)
    sent_s, lost = {}, []
    state = {}

    async def hold(daemon, number):
        identity = f"hold-{number}"
        sent_s[identity] = time.monotonic()
        answer = await harness.call(
            daemon.caller, "POST", f"/pufi791/{number}",
            [("X-Attempt-Id", identity), ("X-Deadline-Ms", "2500")], b"hold", timeout_s=3,
        )
        record.add(f"client {identity} sent {sent_s[identity] - record.started_s:.3f} got "
                   f"{answer.status} {answer.error}")
        if answer.status in (0, 502, 504):
            lost.append(identity)

    async def send(until_s):
        number, tasks = 0, []
        while time.monotonic() < until_s:
            number += 1
            daemon = fleet.daemons[number % MACHINES]
            tasks.append(asyncio.create_task(hold(daemon, number)))
            await asyncio.sleep(1 / HOLDS_PER_S)
        await asyncio.gather(*tasks)

    async def kill_all():
        await asyncio.gather(*(daemon.kill() for daemon in fleet.daemons))
        await asyncio.sleep(DOWN_S)
        for daemon in fleet.daemons:
            await daemon.start()
        state["restarted_s"] = time.monotonic()

    async def deliver_late(endpoint, body):
        """Deliver a heartbeat that was sent before the endpoint left."""
        at_s = time.monotonic() + LATE_S
        await asyncio.sleep(LATE_S)
        answer = await endpoint.beat(body)
        record.add(f"the late heartbeat, sequence {body['status']['sequence']}, sent "
                   f"{at_s - LATE_S - record.started_s:.3f}, got {answer.status} {answer.error}")

    try:
        await fleet.start()
        leaving = fleet.endpoints[1]
        for endpoint in fleet.endpoints:
            endpoint.latency_s = 0.38
        sending = asyncio.create_task(send(time.monotonic() + 22))
        await asyncio.sleep(5)
        leaving.beats = False
        late = asyncio.create_task(deliver_late(leaving, leaving.beat_body()))
        await asyncio.sleep(0.1)
        answer = await leaving.deregister()
        acknowledged_s = time.monotonic()
        record.add(f"endpoint {leaving.name} deregisters: {answer.status}")
        if answer.status != 200:
            raise RuntimeError("the endpoint's leaving was not acknowledged")
        state["restarted_s"] = acknowledged_s - 10
        await asyncio.sleep(KILL_AFTER_S)
        if trouble:
            await kill_all()
        await asyncio.sleep(acknowledged_s + SERVES_S - time.monotonic())
        await leaving.stop()
        record.add(f"endpoint {leaving.name} ends")
        await asyncio.gather(sending, late)
    finally:
        await fleet.stop()
    in_touch_s = max(acknowledged_s + DRAIN_S, state["restarted_s"] + STABLE_WINDOW_S)
    counted = [
        request.get("X-Attempt-Id") for at_s, request in leaving.runs
        if at_s > acknowledged_s + DRAIN_S and sent_s[request.get("X-Attempt-Id")] > in_touch_s
    ]
    lost_there = [each for each in counted if each in lost]
    record.add(f"{len(counted)} holds reached {leaving.name} later than {DRAIN_S} s after the "
               f"acknowledgement and {STABLE_WINDOW_S} s after the restart; lost of them: {lost_there}")
    return not counted


if __name__ == "__main__":
    harness.main(case, pathlib.Path(__file__).parent)
