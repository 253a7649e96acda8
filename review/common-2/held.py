"""Clients hold request bodies just short of their end, at two of three machines.

The platform's part is played as the pages say: a process that exceeds the memory of its
machine is killed, and started again after a short delay. The check is that of Fault: on
a tenth of the machines in use (two at least) processes end by themselves three times,
with no disruption there; memory over the limit counts.
"""

import asyncio
import random
import time

import harness

SERVICE = "huvo11a"
MEMORY_MB = harness.BOUNDS["memory_limit_mb"]
MACHINES = 3
ATTACKED = 2
ENDS, MACHINES_WITH_ENDS = 3, 2
RESTART_DELAY_S = 0.5
#: So slowly that their bodies don't fill the links of 1,000 Mbit/s.
CLIENTS_COME_IN_S = 6.0


class HeldBodies:
    """Plays the case.

    :param clients: clients at each of the attacked machines.
    :param new_head: returns the head of a request, given its id.
    :param body_bytes: length of the body that the head announces.
    """

    def __init__(self, record, clients, new_head, body_bytes, run_s):
        self.record, self.clients, self.new_head = record, clients, new_head
        self.body_bytes, self.run_s = body_bytes, run_s
        self.ends = {}
        self.peaks = {}
        self.has_died = {}

    async def run(self, trouble):
        fleet = harness.Fleet(self.record, services=(SERVICE,) * MACHINES)
        tasks = []
        try:
            await fleet.start()
            until_s = time.monotonic() + self.run_s
            attacked = fleet.daemons[:ATTACKED]
            for daemon in attacked:
                tasks.append(asyncio.create_task(self._enforce_memory(daemon, until_s)))
                tasks.append(asyncio.create_task(self._call(daemon, until_s)))
                if trouble:
                    tasks += [
                        asyncio.create_task(self._hold(daemon, number, until_s))
                        for number in range(self.clients)
                    ]
            await asyncio.sleep(until_s - time.monotonic())
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await fleet.stop()
        ends = {name: len(each) for name, each in self.ends.items()}
        self.record.add(
            f"processes that ended by themselves, over {MEMORY_MB} MB or otherwise: {ends}; "
            f"peaks in MB: {self.peaks}"
        )
        return sum(count >= ENDS for count in ends.values()) < MACHINES_WITH_ENDS

    async def _enforce_memory(self, daemon, until_s):
        """Kill a process over the limit, and start again one that has ended."""
        ends = self.ends.setdefault(daemon.name, [])
        while time.monotonic() < until_s:
            size_mb = daemon.resident_mb()
            self.peaks[daemon.name] = max(self.peaks.get(daemon.name, 0), round(size_mb))
            if size_mb > MEMORY_MB or daemon.process.returncode is not None:
                self.record.add(f"{daemon.name} holds {size_mb:.0f} MB, return code "
                                f"{daemon.process.returncode}: it ends")
                ends.append(time.monotonic())
                await daemon.kill()
                await asyncio.sleep(RESTART_DELAY_S)
                await daemon.start()
            await asyncio.sleep(0.05)

    async def _hold(self, daemon, number, until_s):
        """Send a body but its last byte, and stay; come again if the daemon closes."""
        while time.monotonic() < until_s:
            await asyncio.sleep(random.uniform(0, CLIENTS_COME_IN_S))
            writer = None
            identity = f"held-{daemon.name[-1]}-{number}-{time.monotonic_ns()}"
            outcome = "closed"
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", daemon.caller)
                writer.write(self.new_head(identity, self.body_bytes))
                writer.write(b"h" * (self.body_bytes - 1))
                await writer.drain()
                self.record.add(f"held {identity} sent but for its last byte")
                answer = await harness.read_answer(reader)
                outcome = f"answered {answer.status}"
            except ConnectionRefusedError:
                continue
            except (OSError, ValueError, asyncio.IncompleteReadError) as error:
                outcome = f"closed {type(error).__name__}"
            finally:
                if writer is not None:
                    writer.transport.abort()
            self.record.add(f"held {identity} {outcome}")

    async def _call(self, daemon, until_s):
        """Make ordinary calls, which are not part of the check."""
        number = 0
        while time.monotonic() < until_s:
            number += 1
            identity = f"ordinary-{daemon.name[-1]}-{number}"
            self.record.add(f"{identity} sent")
            answer = await harness.call(
                daemon.caller, "POST", f"/pufi791/{identity}",
                [("X-Attempt-Id", identity), ("X-Deadline-Ms", "2500")], b"hold", timeout_s=2.5,
            )
            self.record.add(f"{identity} got {answer.status} {answer.error}")
            await asyncio.sleep(0.3)
