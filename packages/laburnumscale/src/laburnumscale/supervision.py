"""Supervision.

Runs the background tasks of a daemon, and starts one again that has failed.
"""

import asyncio
from collections.abc import Awaitable, Callable

from laburnumscale.errors import BackgroundTaskFailed
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics

__all__ = ["run_supervised"]

RESTART_DELAY_S = 1.0


async def run_supervised(
    part: str,
    run: Callable[[], Awaitable[None]],
    metrics: Metrics,
) -> None:
    """Run a background task, again and again if it fails, until cancelled.

    A failure at one item must not end the daemon, which would lose all its calls, nor
    the task, without which the daemon would work only in part.

    :param part: name of the task in the log.
    :param run: starts the task; it keeps its state elsewhere.
    """
    while True:
        try:
            await run()
        except Exception as error:
            metrics.count("background_task_failures", f'part="{part}"')
            failure = BackgroundTaskFailed(part, repr(error))
            get_logger().error("background task failed", reason=str(failure))
        else:
            return
        await asyncio.sleep(RESTART_DELAY_S)
