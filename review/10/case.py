"""A machine is cut off from the others, and its daemon starts again meanwhile.

The count is that of QUOTA: requests of one tenant that were sent and run in a window.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import cut as links  # noqa: E402
import harness  # noqa: E402

SERVICE = "huvo11a"
MACHINES = 4
#: Bounds of cascadia-replay-grown.
WINDOW_S, OVER, SLACK = 5.0, 0.1, 20
SETTINGS = {
    "quota_window_ms": 5000,
    "quota_over_percent": 10,
    "quota_slack_calls": 20,
    "drain_ms": 6000,
    "settings_apply_ms": 2500,
}
RATE_PER_S, BURST = 14.0, 10
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK
#: Requests of the tenant a second at the machine that is cut off, and at all others.
CUT_OFF_PER_S, OTHERS_PER_S = 18, 18
DEADLINE_MS = 4000
CUT_S = 12.0


async def case(record, trouble):
    fleet = harness.Fleet(record, services=(SERVICE,) * MACHINES, extra_settings=SETTINGS)
    tenants = [
        {"name": "planner", "api_keys": ["k-planner"], "priority": 1,
         "rate_per_s": RATE_PER_S, "burst": BURST},
    ]
    document = harness.configuration(tenants=tenants)
    sent_s, ran = {}, []
    cut = links.Cut()
    opened = []

    async def client(machine, daemon, number):
        identity = f"{machine}-{number}"
        sent_s[identity] = time.monotonic()
        answer = await harness.call(
            daemon.caller, "GET", f"/lohu930/{number}",
            [("X-Attempt-Id", identity), ("X-Deadline-Ms", str(DEADLINE_MS)),
             ("X-Key", "k-planner")],
            timeout_s=DEADLINE_MS / 1000,
        )
        record.add(f"client {identity} sent {sent_s[identity] - record.started_s:.3f} got "
                   f"{answer.status} {answer.error} Retry-After {answer.get('Retry-After')!r}")

    async def send(machines, per_s, until_s):
        number = 0
        tasks = []
        while time.monotonic() < until_s:
            index = machines[number % len(machines)]
            number += 1
            tasks.append(asyncio.create_task(client(f"m{index + 1}", fleet.daemons[index], number)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    async def add_links(daemons):
        """Put a link between the last machine and each other one, in both directions."""
        last = daemons[-1]
        to_last = links.Link(cut, last.peer)
        opened.append(to_last)
        await to_last.start()
        for other in daemons[:-1]:
            link = links.Link(cut, other.peer)
            opened.append(link)
            await link.start()
            last.overrides[f"127.0.0.1:{other.peer}"] = f"127.0.0.1:{link.port}"
            other.overrides[f"127.0.0.1:{last.peer}"] = f"127.0.0.1:{to_last.port}"

    try:
        await fleet.start(document, prepare=add_links)
        last = fleet.daemons[-1]
        for endpoint in fleet.endpoints:
            endpoint.latency_s = 0.29
        begin_s = time.monotonic()
        sending = [
            asyncio.create_task(send(range(MACHINES - 1), OTHERS_PER_S, begin_s + 28)),
            asyncio.create_task(send([MACHINES - 1], CUT_OFF_PER_S, begin_s + 28)),
        ]
        await asyncio.sleep(8)
        if trouble:
            record.add("machine 4 is cut off from the other machines, not from the store")
            cut.is_cut = True
            await asyncio.sleep(2)
            await last.kill()
            await asyncio.sleep(0.5)
            await last.start()
            await asyncio.sleep(CUT_S - 2.5)
            cut.is_cut = False
            record.add("the cut has healed")
        await asyncio.gather(*sending)
    finally:
        await fleet.stop()
        for link in opened:
            link.stop()
    for endpoint in fleet.endpoints:
        for at_s, request in endpoint.runs:
            ran.append((at_s, sent_s[request.get("X-Attempt-Id")]))
    ran.sort()
    most, at = max(
        (
            (sum(at_s <= other and was_sent >= at_s and other < at_s + WINDOW_S
                 for other, was_sent in ran), at_s)
            for at_s in sorted(was_sent for _, was_sent in ran)
        ),
        default=(0, 0),
    )
    record.add(f"{len(ran)} requests of the tenant ran; at most {most} were sent and ran in "
               f"{WINDOW_S} s from {at - record.started_s:.3f}, allowed {ALLOWED:.1f}")
    if not ran:
        raise RuntimeError("no request ran")
    return most <= ALLOWED


if __name__ == "__main__":
    harness.main(case, pathlib.Path(__file__).parent)
