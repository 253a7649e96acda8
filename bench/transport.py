"""Transport.

Measures the latency and the processor time of a call over gRPC alone, for three kinds
of RPC.
"""

import argparse
import asyncio
import json
import random
import subprocess
import sys
import time
from collections.abc import AsyncIterator

import grpc
import numpy
import uvloop

from bench.processes import cpu_us
from laburnumscale_schema import peer_pb2
from tests.standins.fleet import PortBlock

RPC_KINDS = ("unary", "reply_stream", "shared_stream")
WARM_UP_CALLS = 100
TARGET_LATENCY_S = 0.001
CALL_TIMEOUT_S = 2
HEADERS = [peer_pb2.Header(name=f"x-{i}", value="abcdefghij") for i in range(6)]


def _encode_reply(sequence: int) -> bytes:
    head = peer_pb2.ReplyHead(status=200, headers=HEADERS)
    load = peer_pb2.LoadReport(running=sequence)
    reply = peer_pb2.CallReply(head=head, body=b"x" * 150, end=True, load=load)
    return reply.SerializeToString()


def _encode_request(sequence: int) -> bytes:
    head = peer_pb2.CallHead(
        attempt=peer_pb2.AttemptId(sequence=sequence),
        service="slot-desk",
        endpoint="desk-1",
        method="GET",
        path_and_query="/lookup",
        headers=HEADERS,
    )
    return peer_pb2.CallRequest(head=head, end=True).SerializeToString()


async def _make_reply(request: bytes) -> bytes:
    head = peer_pb2.CallRequest.FromString(request).head
    await asyncio.sleep(TARGET_LATENCY_S)
    return _encode_reply(head.attempt.sequence)


async def _serve_unary(request: bytes, context) -> bytes:
    return await _make_reply(request)


async def _serve_reply_stream(request: bytes, context) -> AsyncIterator[bytes]:
    yield await _make_reply(request)


async def _serve_shared_stream(requests: AsyncIterator[bytes], context) -> None:
    write_lock = asyncio.Lock()
    tasks = set()

    async def write_reply(request: bytes) -> None:
        reply = await _make_reply(request)
        async with write_lock:
            await context.write(reply)

    async for request in requests:
        task = asyncio.create_task(write_reply(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def serve(port: int) -> None:
    """Serve all kinds of RPC until the process ends."""
    handlers = {
        "unary": grpc.unary_unary_rpc_method_handler(_serve_unary),
        "reply_stream": grpc.unary_stream_rpc_method_handler(_serve_reply_stream),
        "shared_stream": grpc.stream_stream_rpc_method_handler(_serve_shared_stream),
    }
    server = grpc.aio.server()
    handler = grpc.method_handlers_generic_handler("Bench", handlers)
    server.add_generic_rpc_handlers((handler,))
    server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    await server.wait_for_termination()


class Client:
    """Sends calls by each kind of RPC.

    The public methods named in ``RPC_KINDS`` return when the reply has arrived.
    """

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self._unary_rpc = channel.unary_unary("/Bench/unary")
        self._reply_stream_rpc = channel.unary_stream("/Bench/reply_stream")
        self._shared_call = channel.stream_stream("/Bench/shared_stream")()
        self._write_lock = asyncio.Lock()
        self._pending: dict[int, asyncio.Future] = {}

    async def unary(self, sequence: int) -> None:
        """Send a call as a unary RPC."""
        peer_pb2.CallReply.FromString(
            await self._unary_rpc(_encode_request(sequence), timeout=CALL_TIMEOUT_S)
        )

    async def reply_stream(self, sequence: int) -> None:
        """Send a call as an RPC with a stream of replies, as the daemons do."""
        call = self._reply_stream_rpc(_encode_request(sequence), timeout=CALL_TIMEOUT_S)
        async for reply in call:
            if peer_pb2.CallReply.FromString(reply).end:
                break
        call.cancel()

    async def shared_stream(self, sequence: int) -> None:
        """Send a call as a message on a bidirectional stream shared by all calls."""
        reply_arrived = asyncio.get_running_loop().create_future()
        self._pending[sequence] = reply_arrived
        async with self._write_lock:
            await self._shared_call.write(_encode_request(sequence))
        await reply_arrived

    async def read_shared_replies(self) -> None:
        """Read the shared stream and complete the call of each reply."""
        while True:
            reply = peer_pb2.CallReply.FromString(await self._shared_call.read())
            self._pending.pop(reply.load.running).set_result(None)


async def measure(port: int, pid: int, rate: int, seconds: float, seed: int) -> None:
    """Send calls by each kind of RPC and print their latency and processor time.

    :param pid: process of the server.
    :param rate: mean number of calls a second.
    :param seconds: duration for each kind.
    :param seed: seed of the random intervals between calls.
    """
    rng = random.Random(seed)
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        await channel.channel_ready()
        client = Client(channel)
        reader = asyncio.create_task(client.read_shared_replies())
        for kind in RPC_KINDS:
            send = getattr(client, kind)
            for sequence in range(WARM_UP_CALLS):
                await send(sequence)
            print(
                json.dumps(await _measure_kind(send, pid, rate, seconds, rng)),
                flush=True,
            )
        reader.cancel()


async def _measure_kind(
    send, pid: int, rate: int, seconds: float, rng: random.Random
) -> dict:
    latencies_ms = []

    async def send_timed(sequence: int) -> None:
        started_at_s = time.monotonic()
        await send(sequence)
        latencies_ms.append((time.monotonic() - started_at_s) * 1000)

    calls = int(rate * seconds)
    client_us, server_us = time.process_time_ns() // 1000, cpu_us(pid)
    async with asyncio.TaskGroup() as group:
        for sequence in range(calls):
            group.create_task(send_timed(WARM_UP_CALLS + sequence))
            await asyncio.sleep(rng.expovariate(rate))
    p50_ms, p99_ms = numpy.percentile(latencies_ms, (50, 99))
    return {
        "way": send.__name__,
        "rate": rate,
        "p50_ms": round(float(p50_ms), 2),
        "p99_ms": round(float(p99_ms), 2),
        "client_cpu_us": round((time.process_time_ns() // 1000 - client_us) / calls),
        "server_cpu_us": round((cpu_us(pid) - server_us) / calls),
    }


def main() -> None:
    """Measure each rate, or serve the calls if ``--serve`` is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=int, nargs="*", default=(63, 500))
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--serve", type=int, help="serve calls on this port instead of measuring"
    )
    options = parser.parse_args()
    if options.serve:
        uvloop.run(serve(options.serve))
        return
    block = PortBlock()
    port = block.ports[0]
    command = [sys.executable, "-m", "bench.transport", "--serve", str(port)]
    server = subprocess.Popen(command)
    try:
        for rate in options.rates:
            uvloop.run(measure(port, server.pid, rate, options.seconds, options.seed))
    finally:
        server.kill()
        block.close()


if __name__ == "__main__":
    main()
