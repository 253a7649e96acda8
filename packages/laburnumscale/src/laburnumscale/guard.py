"""Guard.

The last hop before the targets of the daemon's own host.
"""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from laburnumscale.deadlines import Deadline
from laburnumscale.health import TargetHealth
from laburnumscale.metrics import Metrics
from laburnumscale.replies import AttemptRefused, not_run, unknown
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.slots import hold_slot
from laburnumscale.targets import LocalTarget, LocalTargets
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["Guard"]

SMALL_BODY_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
SERVER_ERROR = 500
DEADLINE_HEADER = "X-Request-Timeout-Ms"


class Guard:
    """Runs attempts at the targets beside this daemon."""

    def __init__(
        self,
        daemon: str,
        data_centre: str,
        targets: LocalTargets,
        feed: SettingsFeed,
        health: TargetHealth,
        session: aiohttp.ClientSession,
        metrics: Metrics,
    ) -> None:
        self.daemon = daemon
        self._data_centre = data_centre
        self._targets = targets
        self._feed = feed
        self._health = health
        self._session = session
        self._metrics = metrics

    async def call(
        self, head: peer_pb2.CallHead, body: bytes | AsyncIterator[bytes]
    ) -> AsyncIterator[peer_pb2.CallReply]:
        """Run one attempt.

        :param head: what to run, and the time that is left for it.
        :param body: the request body, whole or as a stream.
        """
        deadline = Deadline.after_ms(head.time_left_ms)
        target = self._targets.get(head.service, head.endpoint)
        if target is None:
            yield not_run(peer_pb2.NOT_RUN_REASON_TARGET_GONE)
            return
        settings = self._feed.tree.effective(
            head.service, self._data_centre, head.endpoint
        )
        try:
            with self._health.admitted(target, settings, head):
                floor_traffic = head.floor_traffic
                async with hold_slot(target, settings, deadline, floor_traffic):
                    async for reply in self._run(
                        target, settings, head, body, deadline
                    ):
                        yield reply
        except AttemptRefused as refused:
            refused.reply.load.CopyFrom(target.load())
            yield refused.reply

    async def _run(
        self,
        target: LocalTarget,
        settings: EffectiveSettings,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
        deadline: Deadline,
    ) -> AsyncIterator[peer_pb2.CallReply]:
        url = URL(f"http://{target.address}{head.path_and_query}", encoded=True)
        headers = CIMultiDict((header.name, header.value) for header in head.headers)
        headers[DEADLINE_HEADER] = str(deadline.left_ms())
        limit = asyncio.timeout(deadline.left_s())
        observation = self._health.observe(target, settings, head, deadline, limit)
        try:
            async with (
                limit,
                self._session.request(
                    head.method,
                    url,
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                    skip_auto_headers=SKIPPED_AUTO_HEADERS,
                ) as response,
            ):
                if response.status in settings.shed:
                    observation.forget()
                    raise AttemptRefused(peer_pb2.NOT_RUN_REASON_SHED)
                observation.answered(failed=response.status >= SERVER_ERROR)
                async for reply in self._replies(target, response):
                    yield reply
        except aiohttp.ClientConnectorError:
            observation.broke()
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_NOT_CONNECTED) from None
        except TimeoutError:
            yield unknown(peer_pb2.UNKNOWN_REASON_DEADLINE, target.load())
        except aiohttp.ClientPayloadError:
            observation.broke()
            yield unknown(peer_pb2.UNKNOWN_REASON_CUT_SHORT, target.load())
        except aiohttp.ClientError:
            observation.broke()
            yield unknown(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST, target.load())
        finally:
            observation.end()

    async def _replies(
        self, target: LocalTarget, response: aiohttp.ClientResponse
    ) -> AsyncIterator[peer_pb2.CallReply]:
        reply_head = peer_pb2.ReplyHead(
            status=response.status,
            headers=[
                peer_pb2.Header(
                    name=name.decode("latin-1"), value=value.decode("latin-1")
                )
                for name, value in response.raw_headers
            ],
        )
        length = response.content_length
        if length is not None and length <= SMALL_BODY_BYTES:
            whole = await response.read()
            yield peer_pb2.CallReply(
                head=reply_head, body=whole, end=True, load=target.load()
            )
            return
        yield peer_pb2.CallReply(head=reply_head)
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            yield peer_pb2.CallReply(body=chunk)
        yield peer_pb2.CallReply(end=True, load=target.load())
