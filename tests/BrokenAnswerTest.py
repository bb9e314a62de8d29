"""Tests that broken answers of backend servers and of other sidecars are not passed
on as answers."""

import socket
import socketserver
import struct
import threading
import time
import unittest

from fleet_fixture import FleetTestCase, StandInBackend

# Keys that both backend servers own together.
KEYS = (0, 20000, 40000, 65535)


def reset(connection):
    """Closes the connection with a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class BrokenAnswerBackend(StandInBackend):
    """Answers requests whose path ends with a name in `answers` with these bytes.

    %ID% in an answer stands for the attempt id of the request.
    """

    answers = {}

    def handle_request(self, handler, body):
        answer = self.answers.get(handler.path.split("/")[-1])
        if answer is None:
            super().handle_request(handler, body)
            return
        with self.lock:
            self.executed_requests.append((handler.headers["Attempt-Id"], {},
                                           handler.path))
        handler.wfile.write(
            answer.replace(b"%ID%", handler.headers["Attempt-Id"].encode()))
        handler.close_connection = True


class BrokenAnswerTestCase(FleetTestCase):
    backend_class = BrokenAnswerBackend

    def setUp(self):
        super().setUp()
        self.start_service()

    def require_no_answer(self, name, key, attempt):
        """An order that ran once and whose answer is broken ends with 502."""
        status, text = self.send_through_sidecar(
            0, f"/order/{name}", key, attempt, "POST", "stand")
        self.assertEqual((name, status), (name, 502), text)
        runs = [run for backend in self.backends
                for run in backend.executed_requests if run[0] == attempt]
        self.assertEqual((name, len(runs)), (name, 1))
        # The next request on the connections gets its own answer.
        status, text = self.send_through_sidecar(0, "/p/next", key, f"n{attempt}")
        self.assertEqual((name, status, "/p/next" in text), (name, 200, True))


def answer_with_status(status):
    return (b"HTTP/1.1 %s Status\r\nAttempt-Id: %%ID%%\r\n"
            b"Response-Signature: signed\r\nContent-Length: 2\r\n\r\nok" % status)


class StatusTest(BrokenAnswerTestCase):
    def test_an_invalid_status_is_not_passed_on(self):
        """Guards against an answer whose status no caller can interpret, or which
        callers take for an interim answer."""
        statuses = (b"000", b"001", b"099", b"101", b"600", b"999")
        BrokenAnswerBackend.answers = {
            status.decode(): answer_with_status(status) for status in statuses}
        for name in BrokenAnswerBackend.answers:
            for key in KEYS:
                self.require_no_answer(name, key, f"s{name}-{key}")

    def test_any_success_needs_a_signature(self):
        """Guards against a success that no backend server has signed, with a status
        that has no name."""
        statuses = (b"200", b"209", b"299")
        BrokenAnswerBackend.answers = {
            status.decode(): answer_with_status(status).replace(
                b"Response-Signature: signed\r\n", b"") for status in statuses}
        for name in BrokenAnswerBackend.answers:
            self.require_no_answer(name, KEYS[0], f"u{name}")


# Lines of a head whose field name holds a blank or a control byte.
MALFORMED_LINES = {
    "blank-inside": b"X Field: v", "tab-inside": b"X\tField: v",
    "blank-before-colon": b"X-Field : v", "blank-first": b" X-Field: v",
    "tab-first": b"\tX-Field: v", "nul": b"X\x00Field: v", "bell": b"X\x07Field: v",
    "line-feed": b"X\nField: v", "return": b"X\rField: v", "escape": b"X\x1bField: v",
    "delete": b"X\x7fField: v", "no-name": b": v", "no-colon": b"X-Field",
    "length-blank-first": b" Content-Length: 2",
    "length-tab-first": b"\tContent-Length: 2",
    "length-blank-inside": b"Content Length: 2",
    "length-blank-before-colon": b"Content-Length : 2",
    "length-control": b"Content-Length\x01: 2",
}


def answers_with_line(name, line, fields):
    """Yields answers in which the line is the first or the last of the head."""
    length = b"" if name.startswith("length") else b"Content-Length: 2\r\n"
    for place, lines in (("first", line + b"\r\n" + length + fields),
                         ("last", length + fields + line + b"\r\n")):
        yield f"{name}-{place}", b"HTTP/1.1 200 OK\r\n" + lines + b"\r\nok"


class FieldNameTest(BrokenAnswerTestCase):
    def test_a_head_with_a_malformed_field_name_is_not_passed_on(self):
        """Guards against a line of a faulty backend server that reaches the caller as
        a field, and against a body that ends elsewhere since its length is lost."""
        answers = dict(answer for name, line in MALFORMED_LINES.items()
                       for answer in answers_with_line(
                           name, line, b"Attempt-Id: %ID%\r\n"
                           b"Response-Signature: signed\r\n"))
        BrokenAnswerBackend.answers = answers
        for name in answers:
            for key in KEYS[::3]:
                self.require_no_answer(name, key, f"{name}-{key}")


class StandInPeer:
    """Answers each request with the bytes in `answers` for the end of its path, in
    place of a sidecar."""

    def __init__(self, address, answers):
        stand_in = self
        self.answers, self.answered = answers, []

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                line = self.rfile.readline().decode()
                fields = {}
                while (field := self.rfile.readline().strip()):
                    name, value = field.split(b": ", 1)
                    fields[name.lower()] = value
                self.rfile.read(int(fields.get(b"content-length", b"0")))
                name = line.split(" ")[1].split("/")[-1]
                # Until all requests have been sent: a sidecar that fails gets no more.
                time.sleep(0.5)
                stand_in.answered.append(name)
                self.wfile.write(stand_in.answers[name].replace(
                    b"%ID%", fields[b"attempt-id"]))

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address, daemon_threads = True, True
            # All requests of a test connect at once.
            request_queue_size = 64

        host, port = address.split(":")
        self.server = Server((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class PeerTest(BrokenAnswerTestCase):
    def find_key_of(self, backend):
        return next(key for key in range(0, 65536, 1000) if self.send_through_sidecar(
            0, "/p/x", key, f"find{key}")[1].startswith(backend.backend_id + " "))

    def test_broken_answers_of_another_sidecar_are_not_passed_on(self):
        """Guards against a reader of the answers of other sidecars that is less strict
        than the one of the answers of backend servers."""
        fields = (b"Attempt-Id: %ID%\r\nResponse-Signature: signed\r\n"
                  b"Rattanloft-Outcome: answered\r\nRattanloft-Load: 0,0,4,1\r\n")
        length = b"Content-Length: 2\r\n\r\nok"
        answers = {f"status-{status.decode()}": b"HTTP/1.1 %s Status\r\n" % status
                   + fields + length for status in (b"000", b"099", b"101", b"600")}
        for name in ("blank-inside", "blank-first", "tab-first", "bell",
                     "length-blank-first"):
            answers |= answers_with_line(name, MALFORMED_LINES[name], fields)
        answers["no-length"] = b"HTTP/1.1 200 OK\r\n" + fields + b"\r\nok"
        key = self.find_key_of(self.backends[1])
        self.sidecars[1]["process"].kill()
        self.sidecars[1]["process"].wait()
        peer = StandInPeer(self.sidecars[1]["peer"], answers)
        self.addCleanup(peer.server.server_close)
        self.addCleanup(peer.server.shutdown)
        outcomes = {}

        def send(name):
            try:
                outcomes[name] = self.send_through_sidecar(
                    0, f"/order/{name}", key, f"peer-{name}", "POST", "stand")[0]
            except Exception as error:  # pylint: disable=broad-except
                outcomes[name] = repr(error)

        threads = [threading.Thread(target=send, args=(name,)) for name in answers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(peer.answered), sorted(answers))
        self.assertEqual(outcomes, dict.fromkeys(answers, 502))


class EarlyAnswerBackend(BrokenAnswerBackend):
    """Answers requests whose path ends with a name in `early_answers` while their
    body is being written, and resets the connection."""

    early_answers = {}

    def answers_before_body(self, handler):
        answer = self.early_answers.get(handler.path.split("/")[-1])
        if answer is None:
            return False
        attempt = handler.headers["Attempt-Id"]
        with self.lock:
            self.executed_requests.append((attempt, {}, handler.path))
        handler.wfile.write(answer.replace(b"%ID%", attempt.encode()))
        # Until the sidecar has read the answer and waits to write on.
        time.sleep(0.2)
        reset(handler.connection)
        handler.close_connection = True
        return True


EARLY_HEAD = (b"HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\n"
              b"Response-Signature: signed\r\n")


class UploadTest(BrokenAnswerTestCase):
    backend_class = EarlyAnswerBackend

    def upload(self, name, key):
        # More than the socket buffers hold.
        return self.send_through_sidecar(
            0, f"/order/{name}", key, f"{name}{key}", "POST", b"x" * (32 << 20))

    def test_a_part_of_an_early_answer_is_not_passed_on(self):
        """Guards against a part of a body that is passed on as a complete answer,
        since the reset shows only in the write of the upload."""
        EarlyAnswerBackend.early_answers = {
            "without-length": EARLY_HEAD + b"\r\npart",
            "with-length": EARLY_HEAD + b"Content-Length: 9\r\n\r\npart",
            "chunked": EARLY_HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        }
        for name in EarlyAnswerBackend.early_answers:
            for key in KEYS:
                status, text = self.upload(name, key)
                self.assertEqual((name, status), (name, 502), text)
                status, text = self.send_through_sidecar(0, "/p/next", key,
                                                         f"n{name}{key}")
                self.assertEqual((name, status, "/p/next" in text),
                                 (name, 200, True))

    def test_a_whole_early_answer_is_passed_on(self):
        """Guards against an answer that is replaced by an error though it is whole."""
        EarlyAnswerBackend.early_answers = {
            "whole": EARLY_HEAD + b"Content-Length: 5\r\n\r\nwhole",
        }
        for key in KEYS:
            self.assertEqual(self.upload("whole", key), (200, "whole"))


if __name__ == "__main__":
    unittest.main()
