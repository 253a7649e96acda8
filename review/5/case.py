"""UNASKED: a hold runs under the service of the daemon that has its key."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import (  # noqa: E402
    BOUNDS,
    CannotRun,
    Endpoint,
    configuration,
    main,
    post_for_body,
    route,
    send,
)

HOLDS = 20
RESTART_DELAY_S = 0.5  # "restarted after a short delay"
KEYS_PATH = "/_laburnumscale/v1/operation-keys?count="


class CallerEndpoint(Endpoint):
    """Records under which service each request is run."""

    def __init__(self, machine, endpoint: str) -> None:
        super().__init__(machine, endpoint)
        self.callers: dict[str, str] = {}

    async def handle(self, first, headers, reader, writer) -> None:
        attempt, caller = headers.get("x-attempt-id"), headers.get("x-caller-service")
        if attempt:
            self.callers[attempt] = caller
            self.record.write("caller service of", attempt, "is", caller)
        await super().handle(first, headers, reader, writer)


async def case(fleet, trouble: bool) -> list[str]:
    await fleet.store.start()
    routes = [route("hold", "non_idempotent", "proof-vault")]
    services = ["slot-desk", "proof-vault"]
    fleet.store.put("keyed.op", "config", configuration(7, routes, services))
    desk = fleet.add("sidecar-makati-1", "makati", "slot-desk")
    vaults = [
        fleet.add("sidecar-makati-2", "makati", "proof-vault"),
        fleet.add("sidecar-pasig-1", "pasig", "proof-vault"),
    ]
    machines = [desk, *vaults]
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    endpoints = [CallerEndpoint(m, f"i-{n}") for n, m in enumerate(machines)]
    for endpoint in endpoints:
        await endpoint.start()
    await asyncio.sleep(5)
    status, body = await post_for_body(
        desk.address("outbound"), f"{KEYS_PATH}{HOLDS}", b""
    )
    if status != 200:
        raise CannotRun(f"no operation keys: {status}")
    keys = json.loads(body)["keys"]
    if trouble:
        fleet.record.write("SIGTERM to the daemon of", desk.name)
        desk.process.send_signal(signal.SIGTERM)
        while desk.process.poll() is None:
            await asyncio.sleep(0.05)
        fleet.record.write("it has ended, exit code", desk.process.returncode)
        await asyncio.sleep(RESTART_DELAY_S)
        desk.start()
        await desk.wait_ready()
        await asyncio.sleep(BOUNDS["stable_window_s"] + 1)
    broken = []
    for number, key in enumerate(keys):
        fields = {"Idempotency-Key": key}
        answer = await send(desk, "POST", f"/hold/{number}", b"{}", 2500, fields)
        for endpoint in endpoints:
            caller = endpoint.callers.get(answer.attempt, desk.service)
            if caller != desk.service:
                broken.append(
                    f"UNASKED: {answer.attempt} began at a machine of {desk.service}"
                    f" and ran on {endpoint.id} as a request of {caller}"
                )
        await asyncio.sleep(0.1)
    return broken


main(case)
