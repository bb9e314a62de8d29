"""TCP proxy that cuts the link to one listener for a while.

Modes: None passes everything. "two-way" and "one-way" hold back data in both
directions or towards the target only, accept new connections in silence, and
close the affected connections when the link heals. "stall" delivers the held
data late instead.
"""

import selectors
import socket
import threading

CHUNK = 65536


class TcpProxy:
    """Runs on a thread of its own."""

    def __init__(self, target_port, listen_port):
        self._target = ("127.0.0.1", target_port)
        self._listener = socket.create_server(("127.0.0.1", listen_port))
        self._mode = None
        self._changed = threading.Event()
        self._wake, self._woken = socket.socketpair()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._woken, selectors.EVENT_READ)
        # Socket to (other end, whether it leads to the target).
        self._links = {}
        self._held = set()
        threading.Thread(target=self._run, daemon=True).start()

    def set_mode(self, mode):
        self._mode = mode
        self._wake.send(b"x")

    def _run(self):
        previous = None
        while True:
            for key, _ in self._selector.select():
                if key.fileobj is self._woken:
                    self._woken.recv(CHUNK)
                    if self._mode is None:
                        self._heal(previous)
                    previous = self._mode
                elif key.fileobj is self._listener:
                    self._accept()
                elif key.fileobj in self._links:
                    self._forward(key.fileobj)

    def _accept(self):
        caller, _ = self._listener.accept()
        try:
            target = socket.create_connection(self._target, timeout=1)
        except OSError:
            caller.close()
            return
        for sock in (caller, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # A peer that stops reading must not stop the other links.
            sock.settimeout(1)
        self._links[caller] = (target, True)
        self._links[target] = (caller, False)
        self._selector.register(caller, selectors.EVENT_READ)
        self._selector.register(target, selectors.EVENT_READ)

    def _forward(self, sock):
        other, to_target = self._links[sock]
        if self._mode in ("two-way", "stall") or \
                (self._mode == "one-way" and to_target):
            self._selector.unregister(sock)
            self._held.add(sock)
            return
        try:
            data = sock.recv(CHUNK)
            if data:
                other.sendall(data)
                return
        except OSError:
            pass
        self._close(sock)

    def _heal(self, previous):
        held, self._held = self._held, set()
        for sock in held:
            if sock not in self._links:
                continue
            if previous == "stall":
                self._selector.register(sock, selectors.EVENT_READ)
            else:
                self._close(sock, registered=False)

    def _close(self, sock, registered=True):
        other, _ = self._links.pop(sock)
        self._links.pop(other, None)
        if registered:
            self._selector.unregister(sock)
        if other in self._held:
            self._held.discard(other)
        else:
            try:
                self._selector.unregister(other)
            except KeyError:
                pass  # Held back in the set that is being healed.
        sock.close()
        other.close()
