"""Guard.

The last hop before the targets of the daemon's own host.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from laburnumscale.deadlines import Deadline
from laburnumscale.metrics import Metrics
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.targets import LocalTarget, LocalTargets
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["Guard"]

SMALL_BODY_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
OVERLOAD_RETRY_AFTER_MS = 1000
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
DEADLINE_HEADER = "X-Request-Timeout-Ms"
READY = peer_pb2.TARGET_STATE_READY


class _Refused(Exception):
    def __init__(self, reason: int, retry_after_ms: int = 0) -> None:
        super().__init__(reason)
        self.reply = not_run(reason, retry_after_ms)


def not_run(reason: int, retry_after_ms: int = 0) -> peer_pb2.CallReply:
    """Return the reply for an attempt that was not run."""
    return peer_pb2.CallReply(
        not_run=peer_pb2.NotRunReply(reason=reason, retry_after_ms=retry_after_ms)
    )


def unknown(reason: int) -> peer_pb2.CallReply:
    """Return the reply for an attempt that may have run."""
    return peer_pb2.CallReply(unknown=peer_pb2.UnknownReply(reason=reason))


class Guard:
    """Runs attempts at the targets beside this daemon."""

    def __init__(
        self,
        daemon: str,
        data_centre: str,
        targets: LocalTargets,
        feed: SettingsFeed,
        session: aiohttp.ClientSession,
        metrics: Metrics,
    ) -> None:
        self.daemon = daemon
        self._data_centre = data_centre
        self._targets = targets
        self._feed = feed
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
            async with self._slot(target, settings, deadline):
                async for reply in self._run(target, settings, head, body, deadline):
                    yield reply
        except _Refused as refused:
            yield refused.reply

    @asynccontextmanager
    async def _slot(
        self, target: LocalTarget, settings: EffectiveSettings, deadline: Deadline
    ) -> AsyncIterator[None]:
        if target.state != READY:
            raise _Refused(peer_pb2.NOT_RUN_REASON_DRAINING)
        if target.running >= target.slots:
            await self._wait_for_slot(target, settings, deadline)
        target.running += 1
        try:
            yield
        finally:
            target.running -= 1
            async with target.slot_freed:
                target.slot_freed.notify()

    async def _wait_for_slot(
        self, target: LocalTarget, settings: EffectiveSettings, deadline: Deadline
    ) -> None:
        if target.queued >= settings.queue_limit:
            raise _Refused(peer_pb2.NOT_RUN_REASON_OVERLOADED, OVERLOAD_RETRY_AFTER_MS)
        target.queued += 1
        try:
            async with asyncio.timeout(deadline.left_s()), target.slot_freed:
                await target.slot_freed.wait_for(lambda: target.running < target.slots)
        except TimeoutError:
            reason = peer_pb2.NOT_RUN_REASON_DEADLINE
            raise _Refused(reason, OVERLOAD_RETRY_AFTER_MS) from None
        finally:
            target.queued -= 1

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
        try:
            async with (
                asyncio.timeout(deadline.left_s()),
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
                    raise _Refused(peer_pb2.NOT_RUN_REASON_SHED)
                async for reply in self._replies(target, response):
                    yield reply
        except aiohttp.ClientConnectorError:
            raise _Refused(peer_pb2.NOT_RUN_REASON_NOT_CONNECTED) from None
        except TimeoutError:
            yield unknown(peer_pb2.UNKNOWN_REASON_DEADLINE)
        except aiohttp.ClientPayloadError:
            yield unknown(peer_pb2.UNKNOWN_REASON_CUT_SHORT)
        except aiohttp.ClientError:
            yield unknown(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)

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
