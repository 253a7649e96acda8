"""Transport.

Measures what gRPC alone costs for one call, in three ways of carrying it.
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

WAYS = ("unary", "reply_stream", "shared_stream")
WARM_UP_CALLS = 100
TARGET_LATENCY_S = 0.001
TIMEOUT_S = 2
HEADERS = [peer_pb2.Header(name=f"x-{i}", value="abcdefghij") for i in range(6)]


def _reply(sequence: int) -> bytes:
    head = peer_pb2.ReplyHead(status=200, headers=HEADERS)
    load = peer_pb2.LoadReport(running=sequence)
    reply = peer_pb2.CallReply(head=head, body=b"x" * 150, end=True, load=load)
    return reply.SerializeToString()


def _request(sequence: int) -> bytes:
    head = peer_pb2.CallHead(
        attempt=peer_pb2.AttemptId(sequence=sequence),
        service="slot-desk",
        endpoint="desk-1",
        method="GET",
        path_and_query="/lookup",
        headers=HEADERS,
    )
    return peer_pb2.CallRequest(head=head, end=True).SerializeToString()


async def _answer(request: bytes) -> bytes:
    head = peer_pb2.CallRequest.FromString(request).head
    await asyncio.sleep(TARGET_LATENCY_S)
    return _reply(head.attempt.sequence)


async def _unary(request: bytes, context) -> bytes:
    return await _answer(request)


async def _reply_stream(request: bytes, context) -> AsyncIterator[bytes]:
    yield await _answer(request)


async def _shared_stream(requests: AsyncIterator[bytes], context) -> None:
    writing = asyncio.Lock()
    tasks = set()

    async def answer(request: bytes) -> None:
        reply = await _answer(request)
        async with writing:
            await context.write(reply)

    async for request in requests:
        task = asyncio.create_task(answer(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def serve(port: int) -> None:
    """Answer calls until the process ends."""
    handlers = {
        "unary": grpc.unary_unary_rpc_method_handler(_unary),
        "reply_stream": grpc.unary_stream_rpc_method_handler(_reply_stream),
        "shared_stream": grpc.stream_stream_rpc_method_handler(_shared_stream),
    }
    server = grpc.aio.server()
    handler = grpc.method_handlers_generic_handler("Bench", handlers)
    server.add_generic_rpc_handlers((handler,))
    server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    await server.wait_for_termination()


class Client:
    """Sends calls in one of the ways."""

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self._unary = channel.unary_unary("/Bench/unary")
        self._stream = channel.unary_stream("/Bench/reply_stream")
        self._shared = channel.stream_stream("/Bench/shared_stream")()
        self._writing = asyncio.Lock()
        self._waiting: dict[int, asyncio.Future] = {}

    async def unary(self, sequence: int) -> None:
        """Send a call with one reply."""
        peer_pb2.CallReply.FromString(
            await self._unary(_request(sequence), timeout=TIMEOUT_S)
        )

    async def reply_stream(self, sequence: int) -> None:
        """Send a call with a stream of replies, as the daemons do."""
        call = self._stream(_request(sequence), timeout=TIMEOUT_S)
        async for reply in call:
            if peer_pb2.CallReply.FromString(reply).end:
                break
        call.cancel()

    async def shared_stream(self, sequence: int) -> None:
        """Send a call as one message of a stream that all calls share."""
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[sequence] = waiting
        async with self._writing:
            await self._shared.write(_request(sequence))
        await waiting

    async def read_shared(self) -> None:
        """Hand the replies of the shared stream to those who wait."""
        while True:
            reply = peer_pb2.CallReply.FromString(await self._shared.read())
            self._waiting.pop(reply.load.running).set_result(None)


async def measure(port: int, pid: int, rate: int, seconds: float, seed: int) -> None:
    """Send calls at a rate in each way and print what they cost."""
    rng = random.Random(seed)
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        await channel.channel_ready()
        client = Client(channel)
        reader = asyncio.create_task(client.read_shared())
        for way in WAYS:
            send = getattr(client, way)
            for sequence in range(WARM_UP_CALLS):
                await send(sequence)
            print(json.dumps(await _row(send, pid, rate, seconds, rng)), flush=True)
        reader.cancel()


async def _row(send, pid: int, rate: int, seconds: float, rng: random.Random) -> dict:
    latencies_ms = []

    async def one(sequence: int) -> None:
        started_at_s = time.monotonic()
        await send(sequence)
        latencies_ms.append((time.monotonic() - started_at_s) * 1000)

    calls = int(rate * seconds)
    client_us, server_us = time.process_time_ns() // 1000, cpu_us(pid)
    async with asyncio.TaskGroup() as group:
        for sequence in range(calls):
            group.create_task(one(WARM_UP_CALLS + sequence))
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
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=int, nargs="*", default=(63, 500))
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--serve", type=int, help="port to answer on")
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
