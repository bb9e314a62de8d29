"""Tests the reservation of ports for processes that are started later."""

import socket
import subprocess
import sys
import unittest

from ports import reserve_ports


def bind_in_other_process(address):
    """Returns whether a process that looks for a free port gets this one."""
    program = f"import socket; socket.socket().bind({address!r})"
    return subprocess.run([sys.executable, "-c", program],
                          stderr=subprocess.DEVNULL).returncode == 0


class ReservePortsTest(unittest.TestCase):
    # Guards against a process that finds its port taken when it starts to listen.
    def test_another_process_does_not_get_a_reserved_port(self):
        for port in reserve_ports(3):
            for host in ("127.0.0.1", "127.0.0.21", ""):
                self.assertFalse(bind_in_other_process((host, port)))

    def test_a_listener_uses_a_reserved_port_again_after_a_restart(self):
        port = reserve_ports(1)[0]
        for _ in range(2):
            with socket.create_server(("127.0.0.1", port)) as listener, \
                    socket.create_connection(("127.0.0.1", port)):
                listener.accept()[0].close()
            self.assertFalse(bind_in_other_process(("127.0.0.1", port)))


if __name__ == "__main__":
    unittest.main()
