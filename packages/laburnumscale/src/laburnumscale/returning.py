"""Returning.

Brings ejected targets back: a wait, probes, a trial with one call, slow start.
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
from laburnumscale.slots import release_slot
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["EjectionTime", "Returning"]

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
PROBE_SUCCESSES = 1  # probes lie about gray failures; the trial call decides
TRIAL_WAIT_S = 2.0  # a service with calls has a trial call within a second
#: A trial that succeeds at a target that still fails some calls is no second failure;
#: a second of its slots is worth more than the one call that shows the failure again.
HIGHEST_DOUBLINGS = 1
QUICK_TRIALS = 6  # at the least ejection time they span a failure of seconds
FORGIVEN_AFTER_TIMES = 4  # a target that flaps is in service for less than that
MS_PER_S = 1000
OK = 200


@attrs.define
class EjectionTime:
    """How long a target is left out, which doubles with each ejection.

    A trial that fails does not lengthen the ejection for a while: failures that last
    for seconds are frequent, and slots that are left out after their end are missing.

    :ivar doublings: how often the first length is doubled at the next ejection.
    :ivar returned_at_s: monotonic time of the last return, 0 for none.
    :ivar length_ms: length of the latest ejection.
    :ivar failed_trials: trials of the latest ejection that failed.
    """

    doublings: int = 0
    returned_at_s: float = 0.0
    length_ms: int = 0
    failed_trials: int = 0

    def next_ms(self, first_ms: int) -> int:
        """Return the length of the ejection that starts now.

        A doubling is forgiven for each long time in service.
        """
        if self.returned_at_s:
            healthy_s = time.monotonic() - self.returned_at_s
            forgiven = int(healthy_s * MS_PER_S / (first_ms * FORGIVEN_AFTER_TIMES))
            self.doublings = max(0, self.doublings - forgiven)
        self.failed_trials = 0
        self.length_ms = first_ms * 2**self.doublings
        self.doublings = min(HIGHEST_DOUBLINGS, self.doublings + 1)
        return self.length_ms

    def after_trial_ms(self) -> int:
        """Return how long the target is left out after a trial that failed."""
        self.failed_trials += 1
        doublings = min(HIGHEST_DOUBLINGS, self.failed_trials // QUICK_TRIALS)
        return self.length_ms * 2**doublings

    def returned(self) -> None:
        """Note that the target is in service again."""
        self.returned_at_s = time.monotonic()


class Returning:
    """Probes ejected targets and puts them on trial.

    :param tell: called after each change of a verdict.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        metrics: Metrics,
        tell: Callable[[], None],
    ) -> None:
        self.tell = tell
        self._session = session
        self._metrics = metrics

    async def bring_back(
        self, target: LocalTarget, settings: EffectiveSettings, ejection_ms: int
    ) -> None:
        """Turn queued calls away, wait, probe, and start the trial.

        The trial ends with its first call; without calls it ends after a while. A
        target that was withdrawn is not probed any more.
        """
        target.queue.turn_all_away(
            AttemptRefused(peer_pb2.NOT_RUN_REASON_EJECTED, ejection_ms)
        )
        await asyncio.sleep(ejection_ms / MS_PER_S)
        successes = 0
        while successes < PROBE_SUCCESSES:
            if target.withdrawn:
                return
            healthy = await self._probe(target, settings)
            successes = successes + 1 if healthy else 0
            if successes < PROBE_SUCCESSES:
                await asyncio.sleep(PROBE_INTERVAL_S)
        target.set_verdict(on_trial=True)
        _log("target on trial", target)
        self.tell()
        version = target.verdict_version
        await asyncio.sleep(TRIAL_WAIT_S)
        if target.verdict_version == version:
            target.set_verdict(slow_start=True)
            _log("target returned", target, reason="no trial call came")
            self.tell()

    async def _probe(self, target: LocalTarget, settings: EffectiveSettings) -> bool:
        """Tell whether a target says that it is healthy."""
        reason = await self._probe_failure(target, settings)
        if reason:
            _log("target probe failed", target, reason=reason)
        return not reason

    async def _probe_failure(
        self, target: LocalTarget, settings: EffectiveSettings
    ) -> str:
        """Return what is wrong with the answer to a probe; nothing if it is good."""
        self._metrics.count("probes", f'service="{target.service}"')
        url = f"http://{target.address}{settings.probe_path}"
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        target.running += 1
        try:
            async with self._session.get(url, timeout=timeout) as response:
                await response.read()
                return "" if response.status == OK else f"status {response.status}"
        except (aiohttp.ClientError, TimeoutError) as error:
            return repr(error)
        finally:
            release_slot(target)


def _log(event: str, target: LocalTarget, **details) -> None:
    names = {"service": target.service, "endpoint": target.endpoint}
    get_logger().info(event, **names, **details)
