"""Tests that broken answers of backend servers and of other sidecars are not passed
on as answers."""

import socket
import struct
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
