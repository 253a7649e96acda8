import asyncio
import itertools
import json
from types import SimpleNamespace

from laburnumscale.deadlines import MS_PER_S, now_s
from laburnumscale.metrics import Metrics
from laburnumscale_platform.heartbeats import heartbeat_app
from tests.features.steps.departed_targets_steps import DaemonParts

APPS = itertools.count()


class AnyService:
    """Services of which every one is configured."""

    def may_have_service(self, service):
        return True

    def has_service(self, service):
        return True


class ServedDaemon(DaemonParts):
    """A daemon that targets reach through the platform's interface.

    :ivar status: status of the latest response to a target.
    :ivar elapsed_ms: how long it took.
    """

    def __init__(self, name, port, log):
        super().__init__(name, port, log)
        app = heartbeat_app(
            f"departures{next(APPS)}",
            self.targets,
            1500,
            AnyService(),
            self.replicator.replicate,
            Metrics(),
        )
        (route,) = app.router.routes
        self.handler = route.handler
        self.tasks = []
        self.status = 0
        self.elapsed_ms = 0.0
        self._numbers = itertools.count(1)

    def start_writing(self):
        """Start the task that writes departures to the log."""
        self.tasks.append(asyncio.create_task(self.records.write_forever()))

    async def send(self, state, endpoint="i-1", born_ms=1000, number=0):
        """Handle a message of a target and return the status of the response.

        :param state: ``ready``, ``drains`` or ``deregisters``.
        :param number: number of a heartbeat; 0 for the next one of this daemon.
        """
        started_at_s = now_s()
        call = "deregister" if state == "deregisters" else "heartbeat"
        body = {
            "address": "127.0.0.1:9000",
            "born": born_ms,
            "info": {"service": "slot-desk", "slots": 5},
            "status": {
                "state": "draining" if state == "drains" else "ready",
                "sequence": number or next(self._numbers),
            },
        }
        request = SimpleNamespace(
            get_args=lambda errors: {"call": f"instances.{call}", "of": endpoint},
            body=json.dumps(body).encode(),
            ip="127.0.0.1",
        )
        self.status = (await self.handler(request)).status
        self.elapsed_ms = (now_s() - started_at_s) * MS_PER_S
        return self.status
