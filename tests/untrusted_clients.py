"""Crowds of clients that send requests without finishing them, or do not read the
responses, all on non-blocking sockets of this process."""

import errno
import itertools
import selectors
import socket
import time

MIB = 1024 * 1024
BODY_BYTE = b"x"
# One buffer that all bodies are taken from.
FILLER = memoryview(BODY_BYTE * MIB)
# A crowd is settled once none of its clients has moved for this time: a process
# that refuses to read more than it can hold is as good as one that refuses aloud.
# Above the 500 ms after which a stalled connection may be reclaimed.
STALL_S = 1.5
# Generous: a crowd settles within a few seconds.
SETTLE_DEADLINE_S = 40
# A client that sends its request at one go waits this long for a peer that does
# not read before the next client starts.
NEXT_START_S = 0.1
# Small, so that an unread response stays in the process that sends it.
UNREAD_RECEIVE_BUFFER_BYTES = 4096


def head(method, path, fields):
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def filler(size):
    """Yields a body without framing."""
    for start in range(0, size, MIB):
        yield FILLER[:min(MIB, size - start)]


def chunked(size, chunk_bytes):
    """Yields chunks without the last one, which would end the body."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, BODY_BYTE * chunk_bytes)
    # Small chunks are sent many at a time.
    per_buffer = max(1, MIB // len(chunk))
    buffer, count = chunk * per_buffer, size // chunk_bytes
    for start in range(0, count, per_buffer):
        yield memoryview(buffer)[:min(per_buffer, count - start) * len(chunk)]


def count_unread_bytes(address):
    """Returns what a listener and its connections have not read or accepted yet."""
    host, port = address.split(":")
    local = f"{socket.inet_aton(host)[::-1].hex().upper()}:{int(port):04X}"
    with open("/proc/net/tcp", encoding="ascii") as file:
        rows = (line.split() for line in file)
        return sum(int(row[4].split(":")[1], 16) for row in rows if row[1] == local)


class Client:
    def __init__(self, address, pieces, reads=True):
        host, port = address.split(":")
        self.pieces, self.reads = iter(pieces), reads
        self.unsent = memoryview(b"")
        self.has_sent, self.has_ended, self.received = False, False, b""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if not reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                   UNREAD_RECEIVE_BUFFER_BYTES)
        result = self.socket.connect_ex((host, int(port)))
        self.has_ended = result not in (0, errno.EINPROGRESS)

    def status(self):
        """Returns the status of the first response, or 0 if there is none."""
        parts = self.received.split(b" ", 2)
        return int(parts[1]) if len(parts) == 3 else 0

    def append(self, piece):
        self.pieces = itertools.chain(self.pieces, (piece,))
        self.has_sent = False

    def send_some(self, max_bytes):
        """Returns whether anything was sent."""
        budget = max_bytes
        while budget > 0:
            if not self.unsent:
                piece = next(self.pieces, None)
                if piece is None:
                    self.has_sent = True
                    break
                self.unsent = memoryview(piece)
            try:
                count = self.socket.send(self.unsent[:budget])
            except BlockingIOError:
                break
            except OSError:
                self.end()
                return True
            self.unsent = self.unsent[count:]
            budget -= count
        return budget < max_bytes

    def read_some(self):
        try:
            data = self.socket.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data and len(self.received) < 1024:
            self.received += data
        if not data:
            self.end()

    def end(self):
        self.has_ended = True
        self.socket.close()


class Crowd:
    def __init__(self, clients):
        self.clients = list(clients)

    def is_open(self, client):
        return not client.has_ended

    def open_count(self):
        return sum(map(self.is_open, self.clients))

    def append(self, piece):
        for client in self.clients:
            client.append(piece)

    def run(self, one_by_one=False, max_bytes=MIB, until_answered=False):
        """Sends until each client has sent all that it has, or no client moves.

        One by one, a client starts once the one before it has sent all or is not
        read from. Otherwise all send at most max_bytes at each turn.
        """
        selector = selectors.DefaultSelector()
        waiting = [c for c in self.clients if self.is_open(c)]
        started = 1 if one_by_one else len(waiting)
        for client in waiting[:started]:
            self.register(selector, client)
        moved_s = time.monotonic()
        deadline_s = moved_s + SETTLE_DEADLINE_S
        while not self.is_settled(until_answered):
            now_s = time.monotonic()
            all_sent = all(c.has_sent or c.has_ended for c in waiting[:started])
            if started < len(waiting) and (all_sent or now_s > moved_s + NEXT_START_S):
                self.register(selector, waiting[started])
                started += 1
            elif now_s > min(moved_s + STALL_S, deadline_s):
                break
            for key, events in selector.select(0.02):
                if self.handle(selector, key.data, events, max_bytes):
                    moved_s = time.monotonic()
        selector.close()

    def is_settled(self, until_answered):
        return all(c.has_ended or (c.has_sent and (not until_answered or c.received))
                   for c in self.clients)

    @staticmethod
    def register(selector, client):
        selector.register(client.socket, selectors.EVENT_WRITE
                          | (selectors.EVENT_READ if client.reads else 0), client)

    @staticmethod
    def handle(selector, client, events, max_bytes):
        """Returns whether the client has moved."""
        descriptor, has_moved = client.socket.fileno(), False
        if events & selectors.EVENT_READ:
            client.read_some()
            has_moved = True
        if events & selectors.EVENT_WRITE and not client.has_ended:
            has_moved = client.send_some(max_bytes) or has_moved
            if client.has_sent and client.reads:
                selector.modify(client.socket, selectors.EVENT_READ, client)
            elif client.has_sent:
                selector.unregister(client.socket)
        if client.has_ended:
            selector.unregister(descriptor)
        return has_moved

    def close(self):
        for client in self.clients:
            client.end()
