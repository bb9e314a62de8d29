"""Reserves TCP ports on loopback for processes that are started later."""

import random
import socket

# Below the range from which the kernel chooses ports that are not named.
FIRST_PORT = 12000
LAST_PORT = 31999

# Bound sockets that reserve the returned ports until this process ends.
_reservations = []


def reserve_ports(count):
    """Returns ports, on all loopback addresses, that no other process reserves.

    Processes that are started with them must listen with SO_REUSEADDR. They may
    stop and listen again.
    """
    ports = []
    while len(ports) < count:
        port = random.randint(FIRST_PORT, LAST_PORT)
        reservation = socket.socket()
        try:
            # Without SO_REUSEADDR this fails if any other socket is bound to it.
            reservation.bind(("", port))
        except OSError:
            reservation.close()
            continue
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reservations.append(reservation)
        ports.append(port)
    return ports
