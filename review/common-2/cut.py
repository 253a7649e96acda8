"""A link between daemons that can be cut: it then drops what it gets, in silence."""

import asyncio


class Cut:
    """Whether the links of one side are cut."""

    def __init__(self):
        self.is_cut = False


class Link(asyncio.DatagramProtocol):
    """Forwards TCP and UDP to the peer port of a daemon, unless it is cut.

    A cut link accepts connections and delivers nothing; what it got is lost.
    """

    def __init__(self, cut, target_port):
        self.cut, self.target_port = cut, target_port
        self.port = 0
        self.server = None
        self.transport = None
        self.tasks = set()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", self.port)
        )

    def stop(self):
        self.server.close()
        self.transport.close()
        for task in self.tasks:
            task.cancel()

    def datagram_received(self, data, source):
        if not self.cut.is_cut:
            self.transport.sendto(data, ("127.0.0.1", self.target_port))

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        writers = [writer]
        try:
            while self.cut.is_cut:
                await asyncio.sleep(0.05)
                if writer.is_closing():
                    return
            other_reader, other_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
            writers.append(other_writer)
            await asyncio.gather(
                self._pump(reader, other_writer), self._pump(other_reader, writer)
            )
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            for each in writers:
                each.transport.abort()

    async def _pump(self, reader, writer):
        lost = False
        while data := await reader.read(65536):
            # Bytes held up by a partition are lost with their connection.
            while self.cut.is_cut:
                lost = True
                await asyncio.sleep(0.05)
            if lost:
                break
            writer.write(data)
            await writer.drain()
        while self.cut.is_cut:
            await asyncio.sleep(0.05)
        writer.transport.abort()
