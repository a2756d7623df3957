"""Callers of a soak that break their connections or the protocol.

What they send is no request of the record. The daemons must go on, and no
request of another caller may be lost by it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random
import socket
import struct

import anyio
import anyio.abc

from standins import configurations
from tools import platformfleet
from tools import soakconfig

# Longest time for which a stranger holds a connection.
HOLD_S = 3.0
PAUSE_S = 0.3
# Share of the connections that go to the port of the callers in any case.
CALLER_SHARE = 0.5
REQUESTS_AHEAD = 40
RANDOM_BYTES = 3000

Habit = Callable[[anyio.abc.SocketStream, random.Random], Awaitable[None]]
ENDED = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


def _head(
    generator: random.Random, method: str = "GET", body: int = 0
) -> bytes:
    """Returns the head of a request with an identity of its own."""
    target = "/upload/" if body else "/track/"
    identity = f"stranger-{generator.getrandbits(60):x}"
    lines = [
        f"{method} {target}{identity} HTTP/1.1",
        f"host: {configurations.HOST}",
        f"request-id: {identity}",
        f"authorization: {soakconfig.key(soakconfig.of(identity))}",
        "deadline-ms: 2500",
    ]
    if body:
        lines.append(f"content-length: {body}")
    return "\r\n".join((*lines, "", "")).encode()


async def _hold(
    _stream: anyio.abc.SocketStream, generator: random.Random
) -> None:
    await anyio.sleep(generator.uniform(0.0, HOLD_S))


async def _send_random_bytes(
    stream: anyio.abc.SocketStream, generator: random.Random
) -> None:
    await stream.send(generator.randbytes(RANDOM_BYTES))
    await _hold(stream, generator)


async def _leave_inside_a_head(
    stream: anyio.abc.SocketStream, generator: random.Random
) -> None:
    head = _head(generator)
    await stream.send(head[: generator.randrange(1, len(head))])


async def _leave_inside_a_body(
    stream: anyio.abc.SocketStream, generator: random.Random
) -> None:
    head = _head(generator, "POST", 100_000)
    await stream.send(head + generator.randbytes(50_000))
    await _hold(stream, generator)


async def _send_slowly(
    stream: anyio.abc.SocketStream, generator: random.Random
) -> None:
    for byte in _head(generator):
        await stream.send(bytes((byte,)))
        await anyio.sleep(HOLD_S / 100)


async def _leave_before_the_answer(
    stream: anyio.abc.SocketStream, generator: random.Random
) -> None:
    await stream.send(_head(generator, generator.choice(("GET", "HEAD"))))
    await anyio.sleep(generator.uniform(0.0, 0.05))


async def _read_nothing(
    stream: anyio.abc.SocketStream, generator: random.Random
) -> None:
    for _ in range(REQUESTS_AHEAD):
        await stream.send(_head(generator))
    await _hold(stream, generator)


async def _close_one_direction(
    stream: anyio.abc.SocketStream, generator: random.Random
) -> None:
    await stream.send(_head(generator))
    await stream.send_eof()
    await _hold(stream, generator)


HABITS: tuple[Habit, ...] = (
    _hold,
    _send_random_bytes,
    _leave_inside_a_head,
    _leave_inside_a_body,
    _send_slowly,
    _leave_before_the_answer,
    _read_nothing,
    _close_one_direction,
)


def _end_by_reset(stream: anyio.abc.SocketStream) -> None:
    """Makes the close of a connection a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def run(machine: platformfleet.Machine, seed: str) -> None:
    """Connects to all ports of a daemon until cancelled.

    Args:
        machine: Machine of the daemon.
        seed: Seed of the choices.
    """
    generator = random.Random(seed)
    while True:
        purpose = generator.choice(tuple(machine.ports))
        if generator.random() < CALLER_SHARE:
            purpose = "callers"
        habit = generator.choice(HABITS)
        try:
            stream = await anyio.connect_tcp(
                machine.host, machine.ports[purpose]
            )
        except OSError:
            await anyio.sleep(PAUSE_S)
            continue
        async with stream:
            try:
                await habit(stream, generator)
                if generator.random() < 0.5:
                    _end_by_reset(stream)
            except ENDED:
                pass
        await anyio.sleep(generator.uniform(0.0, PAUSE_S))
