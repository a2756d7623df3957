"""Stops the kernel from taking new connections at a listening socket.

Connections that it has taken stay. Callers that open one meanwhile get no reply
and try again some time later. Linux only (socket filters, see socket(7)).
"""

import ctypes
import socket
import struct

# Option of setsockopt that attaches a classic BPF program.
SO_ATTACH_FILTER = 26
# Instructions as opcode, jump if true, jump if false and operand. The program
# sees the TCP header and returns the number of bytes that are kept; 0 drops the
# segment. It drops segments with SYN and without ACK.
PROGRAM = (
    (0x30, 0, 0, 13),  # load the byte with the flags
    (0x54, 0, 0, 0x12),  # keep ACK and SYN of them
    (0x15, 0, 1, 0x02),  # skip the next instruction unless it is SYN alone
    (0x06, 0, 0, 0),  # return 0
    (0x06, 0, 0, 0xFFFFFFFF),  # return all
)


def attach(listener: socket.socket) -> None:
    """Attaches the filter to a listening socket.

    Raises:
        OSError: The system does not allow it.
    """
    code = b"".join(struct.pack("HBBI", *part) for part in PROGRAM)
    buffer = ctypes.create_string_buffer(code, len(code))
    # The kernel copies the program before setsockopt returns.
    program = struct.pack("HP", len(PROGRAM), ctypes.addressof(buffer))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
