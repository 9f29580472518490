"""A TCP relay that can fall silent without closing its connections."""

import asyncio
import threading
from contextlib import suppress

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections from one port to another.

    :param port: port to listen on.
    :param target: port to connect to.
    """

    def __init__(self, *, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self.loop = asyncio.new_event_loop()
        self.open = asyncio.Event()
        self.open.set()
        self.started = threading.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to forward."""
        self.thread.start()
        self.started.wait()

    def pause(self) -> None:
        """Keep all connections open and forward nothing."""
        self.loop.call_soon_threadsafe(self.open.clear)

    def resume(self) -> None:
        """Forward again, first what was held back."""
        self.loop.call_soon_threadsafe(self.open.set)

    def close(self) -> None:
        """Close all connections."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def _run(self) -> None:
        server = self.loop.run_until_complete(
            asyncio.start_server(self._serve, '127.0.0.1', self.port)
        )
        self.started.set()
        self.loop.run_forever()
        server.close()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        with suppress(asyncio.CancelledError):
            self.loop.run_until_complete(asyncio.sleep(0))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            there = await asyncio.open_connection('127.0.0.1', self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, there[1]), self._copy(there[0], writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()
