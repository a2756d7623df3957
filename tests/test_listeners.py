"""Tests of the listening sockets of a daemon."""

import socket
import threading

import anyio
import anyio.to_thread
import pytest

from rattangauge import util
from rattangauge.net import listeners


def free_port():
    """Returns a port of the loopback address that was free."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


async def test_a_port_that_is_taken_is_waited_for():
    """Guards against an end because another process holds a port."""
    taken = socket.create_server(("127.0.0.1", 0))
    addresses = [
        util.Address("127.0.0.1", free_port()),
        util.Address("127.0.0.1", taken.getsockname()[1]),
    ]
    opened = []

    async def open_all():
        opened.extend(await listeners.open_all(addresses))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(open_all)
        await anyio.sleep(3 * listeners.RETRY_S)
        assert not opened
        taken.close()
    assert [s.getsockname() for s in opened] == [tuple(a) for a in addresses]
    for listener in opened:
        listener.close()


async def test_no_port_is_kept_while_another_is_taken():
    """Guards against two daemons that hold a part of the ports each."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        first = util.Address("127.0.0.1", free_port())
        second = util.Address("127.0.0.1", taken.getsockname()[1])
        with pytest.raises(OSError, match="in use"):
            listeners._open_all([first, second])
        socket.create_server(first).close()


async def test_no_connection_is_accepted_while_another_port_is_taken():
    """Guards against callers whose connection the next attempt closes."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        first = util.Address("127.0.0.1", free_port())
        second = util.Address("127.0.0.1", taken.getsockname()[1])
        stopped = threading.Event()
        accepted = []

        def connect_repeatedly():
            while not stopped.is_set():
                with socket.socket() as caller:
                    caller.bind(("127.0.0.2", 0))  # never connects to itself
                    if not caller.connect_ex(first):
                        accepted.append(caller.getsockname())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(anyio.to_thread.run_sync, connect_repeatedly)
            with anyio.move_on_after(20 * listeners.RETRY_S):
                await listeners.open_all([first, second])
            stopped.set()
        assert not accepted


async def test_two_daemons_that_start_at_once_do_not_share_their_ports():
    """Guards against two daemons that hold a part of the ports each."""
    addresses = [util.Address("127.0.0.1", free_port()) for _ in range(2)]
    opened = []

    async def open_all():
        opened.append(await listeners.open_all(addresses))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(open_all)
        tasks.start_soon(open_all)
        await anyio.sleep(3 * listeners.RETRY_S)
        assert len(opened) == 1
        for listener in opened[0]:
            listener.close()
    for listener in opened[1]:
        listener.close()


async def test_an_error_of_listen_names_the_address():
    """Guards against a log line that leaves open which port is taken."""
    address = util.Address("127.0.0.1", free_port())
    with pytest.raises(OSError, match=f"port {address.port}"):
        listeners._open_all([address, address])


async def test_an_address_that_no_wait_can_mend_is_an_error():
    """Guards against a daemon that waits for ever for an invalid address."""
    with pytest.raises(OSError) as raised:
        await listeners.open_all([util.Address("no address", 1)])
    assert raised.value.errno not in listeners.PASSING_ERRORS
