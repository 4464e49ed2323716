"""Sockets whose packets are dropped, as those of a peer that is cut off."""

import ctypes
import socket
import struct

# linux/filter.h: SO_ATTACH_FILTER, and the instruction "return 0", which keeps no byte of a packet.
SO_ATTACH_FILTER = 26
RETURN_CONSTANT = 0x06


def drop_packets(sock: socket.socket) -> None:
    """Let the kernel drop all packets that arrive for a socket, unacknowledged."""
    instruction = ctypes.create_string_buffer(struct.pack("=HBBI", RETURN_CONSTANT, 0, 0, 0), 8)
    program = struct.pack("@HP", 1, ctypes.addressof(instruction))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
