"""TCP proxy that can interrupt the link to one listener.

Mode None forwards everything. Modes "two-way" and "one-way" hold back data in
both directions or only towards the target. They still accept new connections,
and close the affected connections when the mode returns to None. Mode "stall"
holds back data in both directions and then delivers it late.
"""

import selectors
import socket
import threading

MAX_RECEIVE_BYTES = 65536


class TcpProxy:
    """Forwards the connections to one listener on a background thread."""

    def __init__(self, target_port, listen_port):
        self._target_address = ("127.0.0.1", target_port)
        self._listener = socket.create_server(("127.0.0.1", listen_port))
        self._mode = None
        self._changed = threading.Event()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        # Maps a socket to the socket at the other end of the link and whether
        # its data goes to the target.
        self._links = {}
        self._held_sockets = set()
        threading.Thread(target=self._run, daemon=True).start()

    def set_mode(self, mode):
        self._mode = mode
        self._wake_sender.send(b"x")

    def _run(self):
        previous_mode = None
        while True:
            for key, _ in self._selector.select():
                if key.fileobj is self._wake_receiver:
                    self._wake_receiver.recv(MAX_RECEIVE_BYTES)
                    if self._mode is None:
                        self._heal_links(previous_mode)
                    previous_mode = self._mode
                elif key.fileobj is self._listener:
                    self._accept_connection()
                elif key.fileobj in self._links:
                    self._forward_data(key.fileobj)

    def _accept_connection(self):
        caller, _ = self._listener.accept()
        try:
            target = socket.create_connection(self._target_address, timeout=1)
        except OSError:
            caller.close()
            return
        for sock in (caller, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # A peer that stops reading must not block the other links, which
            # share this thread.
            sock.settimeout(1)
        self._links[caller] = (target, True)
        self._links[target] = (caller, False)
        self._selector.register(caller, selectors.EVENT_READ)
        self._selector.register(target, selectors.EVENT_READ)

    def _forward_data(self, sock):
        other, to_target = self._links[sock]
        if self._mode in ("two-way", "stall") or \
                (self._mode == "one-way" and to_target):
            self._selector.unregister(sock)
            self._held_sockets.add(sock)
            return
        try:
            data = sock.recv(MAX_RECEIVE_BYTES)
            if data:
                other.sendall(data)
                return
        except OSError:
            pass
        self._close_link(sock)

    def _heal_links(self, previous_mode):
        held_sockets, self._held_sockets = self._held_sockets, set()
        for sock in held_sockets:
            if sock not in self._links:
                continue
            if previous_mode == "stall":
                self._selector.register(sock, selectors.EVENT_READ)
            else:
                self._close_link(sock, registered=False)

    def _close_link(self, sock, registered=True):
        other, _ = self._links.pop(sock)
        self._links.pop(other, None)
        if registered:
            self._selector.unregister(sock)
        if other in self._held_sockets:
            self._held_sockets.discard(other)
        else:
            try:
                self._selector.unregister(other)
            except KeyError:
                pass  # Already unregistered: held back, and being healed.
        sock.close()
        other.close()
