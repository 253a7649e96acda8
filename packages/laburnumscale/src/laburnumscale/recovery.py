"""Recovery.

Returns ejected targets to service in steps: a wait, probes, a trial call and a slow
start.
"""

import asyncio
import time
from collections.abc import Callable

import aiohttp
import attrs

from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.localtarget import LocalTarget
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.slots import concurrency_limit, release_slot
from laburnumscale_schema import peer_pb2

__all__ = ["EjectionBackoff", "TargetRecovery"]

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
#: Probes do not detect gray failures reliably, so the trial call decides.
REQUIRED_PROBE_SUCCESSES = 1
TRIAL_TIMEOUT_S = 2.0  # a service with traffic sends a trial call within a second
#: A target that still fails some calls may pass its trial; its next ejection is then
#: due to the same failure, not to a second one. A second of its slots is worth more
#: than the one call that detects the failure again, so the backoff stays short.
MAX_DOUBLINGS = 1
#: At the shortest ejection time, this many trials cover a failure of several seconds.
TRIALS_PER_DOUBLING = 6
#: Time in service that cancels one doubling, in multiples of the base ejection time.
#: A flapping target is in service for less than that.
DOUBLING_DECAY_FACTOR = 4
MS_PER_S = 1000
OK = 200
MAX_PROBE_BODY_BYTES = 64 * 1024


@attrs.define
class EjectionBackoff:
    """Ejection time of a target, which doubles with each ejection up to a maximum.

    The first failed trials do not lengthen the ejection: failures of a few seconds
    are frequent, and a longer ejection would leave slots unused after their end.

    :ivar doublings: how often the base time is doubled at the next ejection.
    :ivar returned_at_s: monotonic time of the last return to service, 0 for none.
    :ivar duration_ms: ejection time of the latest ejection.
    :ivar failed_trials: number of failed trials since the latest ejection.
    """

    doublings: int = 0
    returned_at_s: float = 0.0
    duration_ms: int = 0
    failed_trials: int = 0

    def next_ejection_ms(self, base_ms: int) -> int:
        """Return the time of an ejection that starts now.

        Time in service since the last ejection cancels earlier doublings.

        :param base_ms: ejection time without doublings.
        """
        if self.returned_at_s:
            healthy_s = time.monotonic() - self.returned_at_s
            cancelled = int(healthy_s * MS_PER_S / (base_ms * DOUBLING_DECAY_FACTOR))
            self.doublings = max(0, self.doublings - cancelled)
        self.failed_trials = 0
        self.duration_ms = base_ms * 2**self.doublings
        self.doublings = min(MAX_DOUBLINGS, self.doublings + 1)
        return self.duration_ms

    def after_failed_trial_ms(self) -> int:
        """Record a failed trial and return for how long the target stays ejected."""
        self.failed_trials += 1
        doublings = min(MAX_DOUBLINGS, self.failed_trials // TRIALS_PER_DOUBLING)
        return self.duration_ms * 2**doublings

    def record_return(self) -> None:
        """Record that the target is in service again."""
        self.returned_at_s = time.monotonic()


class TargetRecovery:
    """Probes ejected targets and puts them on trial.

    :param on_verdict_change: called after each change of a verdict.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        metrics: Metrics,
        on_verdict_change: Callable[[], None],
    ) -> None:
        self.on_verdict_change = on_verdict_change
        self._session = session
        self._metrics = metrics

    async def restore_target(
        self, target: LocalTarget, settings: EffectiveSettings, ejection_ms: int
    ) -> None:
        """Reject queued calls, wait, probe the target, and start its trial.

        The result of the first call ends the trial. If no call arrives in time, the
        target returns to service. A target that was withdrawn is no longer probed.
        """
        target.queue.evict_all(
            lambda: AttemptRefused(peer_pb2.NOT_RUN_REASON_EJECTED, ejection_ms)
        )
        await asyncio.sleep(ejection_ms / MS_PER_S)
        successes = 0
        while successes < REQUIRED_PROBE_SUCCESSES:
            if target.withdrawn:
                return
            if not target.limit.try_acquire():
                await asyncio.sleep(PROBE_INTERVAL_S)
                continue
            healthy = await self._probe(target, settings)
            successes = successes + 1 if healthy else 0
            if successes < REQUIRED_PROBE_SUCCESSES:
                await asyncio.sleep(PROBE_INTERVAL_S)
        target.set_verdict(on_trial=True)
        _log("target on trial", target)
        self.on_verdict_change()
        version = target.verdict_version
        await asyncio.sleep(TRIAL_TIMEOUT_S)
        if target.verdict_version == version:
            target.set_verdict(slow_start=True)
            target.start_probation(settings.return_successes)
            _log("target returned", target, reason="no trial call came")
            self.on_verdict_change()

    async def _probe(self, target: LocalTarget, settings: EffectiveSettings) -> bool:
        """Return whether a target passes its health check."""
        reason = await self._probe_failure(target, settings)
        if reason:
            _log("target probe failed", target, reason=reason)
        return not reason

    async def _probe_failure(
        self, target: LocalTarget, settings: EffectiveSettings
    ) -> str:
        """Probe a target and return why that failed, or an empty string."""
        self._metrics.count("probes", f'service="{target.service}"')
        url = f"http://{target.address}{settings.probe_path}"
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        target.running += 1
        try:
            async with self._session.get(url, timeout=timeout) as response:
                if not await _has_end(response):
                    return f"body of more than {MAX_PROBE_BODY_BYTES} bytes"
                return "" if response.status == OK else f"status {response.status}"
        except (aiohttp.ClientError, TimeoutError) as error:
            return repr(error)
        finally:
            release_slot(target, concurrency_limit(target, settings))


async def _has_end(response: aiohttp.ClientResponse) -> bool:
    """Read a body and return whether it ends within ``MAX_PROBE_BODY_BYTES``."""
    received_bytes = 0
    async for chunk in response.content.iter_any():
        received_bytes += len(chunk)
        if received_bytes > MAX_PROBE_BODY_BYTES:
            return False
    return True


def _log(event: str, target: LocalTarget, **details) -> None:
    names = {"service": target.service, "endpoint": target.endpoint}
    get_logger().info(event, **names, **details)
