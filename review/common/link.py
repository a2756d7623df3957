"""A relay that carries bytes no faster than a machine's network link."""

import asyncio
import time

CHUNK_BYTES = 8_192


class Link:
    """Relay in front of a port, with one rate for each direction."""

    def __init__(self, mbps: float, host: str, port: int) -> None:
        """Creates a link to a port; ``start`` opens it."""
        self._bytes_per_s = mbps * 125_000
        self._host = host
        self._port = port
        self._free_at = {"in": 0.0, "out": 0.0}

    async def start(self, host: str, port: int) -> None:
        """Listens at an address."""
        await asyncio.start_server(
            self._connected, host, port, limit=CHUNK_BYTES
        )

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._port, limit=CHUNK_BYTES
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._carry("in", reader, far_writer),
            self._carry("out", far_reader, writer),
        )

    async def _carry(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                now = time.monotonic()
                free_at = max(now, self._free_at[direction])
                free_at += len(data) / self._bytes_per_s
                self._free_at[direction] = free_at
                await asyncio.sleep(free_at - now)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
