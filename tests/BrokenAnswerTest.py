"""Tests that broken answers of backend servers and of other sidecars are not passed
on as answers."""

import unittest

from fleet_fixture import FleetTestCase, StandInBackend

# Keys that both backend servers own together.
KEYS = (0, 20000, 40000, 65535)


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


if __name__ == "__main__":
    unittest.main()
