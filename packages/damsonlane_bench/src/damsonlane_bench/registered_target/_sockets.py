"""Looks up a connection of this machine in the kernel, by its two ports."""

import socket
import struct
from typing import Final

#: Constants of the kernel's interface for socket diagnosis (sock_diag(7)).
_NETLINK_SOCK_DIAG: Final = 4
_SOCK_DIAG_BY_FAMILY: Final = 20
_NLM_F_REQUEST: Final = 1
_ALL_STATES: Final = 0xFFFFFFFF
_NO_COOKIE: Final = 0xFFFFFFFF
_ESTABLISHED: Final = 1
#: Layouts: header of a message; request; ports, addresses, interface and cookie of a connection;
#: begin of an answer, and its end.
_HEADER: Final = struct.Struct("=IHHII")
_REQUEST: Final = struct.Struct("=BBBxI")
_CONNECTION: Final = struct.Struct(">HH16s16sIII")
_ANSWER: Final = struct.Struct("=BBBB")
_ANSWER_END: Final = struct.Struct("=IIIII")


def find_inode(port: int, peer_port: int) -> int:
    """Return the inode of the established socket with two loopback ports; 0 if there is none.

    One question for one connection, however many the machine has.

    Args:
        port: local port of the socket.
        peer_port: port at its other end.

    Raises:
        OSError: the kernel does not answer.
    """
    address = socket.inet_aton("127.0.0.1")
    wanted = _CONNECTION.pack(port, peer_port, address, address, 0, _NO_COOKIE, _NO_COOKIE)
    body = _REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, _ALL_STATES) + wanted
    header = _HEADER.pack(_HEADER.size + len(body), _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as kernel:
        kernel.sendto(header + body, (0, 0))
        answer = kernel.recv(8_192)
    if _HEADER.unpack_from(answer)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    state = _ANSWER.unpack_from(answer, _HEADER.size)[1]
    end = _HEADER.size + _ANSWER.size + _CONNECTION.size
    return int(_ANSWER_END.unpack_from(answer, end)[4]) if state == _ESTABLISHED else 0
