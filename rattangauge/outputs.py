"""Writes to an output that other processes may share.

The flag O_NONBLOCK belongs to the open file, not to the descriptor: set on a
shared output, it makes the writes of all its processes fail while the reader is
slow, and each of them may clear it again.
"""

from collections.abc import Callable
import os
import select
import socket
import stat

# Descriptors of standard input, output and error.
STANDARD_DESCRIPTORS = (0, 1, 2)

# Writes without blocking and returns the number of bytes that were written;
# raises BlockingIOError if the reader takes none, and another OSError if the
# output has failed.
Write = Callable[[bytes], int]


def open_closed_descriptors() -> None:
    """Opens the null device for each standard descriptor that is closed.

    Without it the next socket would get the number of an output.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number, since the lower ones are open.
            os.open(os.devnull, os.O_RDWR)


def nonblocking_writer(descriptor: int) -> Write:
    """Returns a function that writes to an output and never blocks.

    The open file behind the descriptor is not changed.

    Raises:
        OSError: The descriptor is closed.
    """
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISREG(mode):
        return lambda data: os.write(descriptor, data)
    if stat.S_ISSOCK(mode):
        output = socket.socket(fileno=os.dup(descriptor))
        return lambda data: output.send(data, socket.MSG_DONTWAIT)
    try:
        own = _open_again(descriptor)
    except OSError:
        return lambda data: _write_if_ready(descriptor, data)
    return lambda data: os.write(own, data)


def _open_again(descriptor: int) -> int:
    """Opens a pipe or device once more, as a file that nobody shares.

    Raises:
        OSError: The system does not allow it.
    """
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC
    return os.open(f"/proc/self/fd/{descriptor}", flags)


def _write_if_ready(descriptor: int, data: bytes) -> int:
    """Writes at most as much as a pipe takes at once if it is ready.

    Raises:
        OSError: The output has failed; BlockingIOError if it is not ready.
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    if not poll.poll(0):
        raise BlockingIOError
    return os.write(descriptor, data[: select.PIPE_BUF])
