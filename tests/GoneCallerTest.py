"""Tests that a fleet does not work on for callers that have left."""

import select
import socket
import struct
import time
import unittest

from fleet_fixture import HOST, FleetTestCase, StandInBackend, send_bytes, send_request, wait_for

SLOW_PATH = "/p/slow"
# How long a slow request runs unless its connection is closed.
SLOW_TIME_S = 0.9


class WatchingBackend(StandInBackend):
    """Runs slow requests one at a time, until their connections are closed."""

    slots = 1

    def __init__(self, *arguments):
        self.started_runs, self.ended_runs, self.given_up_runs = [], [], []
        super().__init__(*arguments)

    def handle_request(self, handler, body):
        if handler.path == SLOW_PATH:
            attempt = handler.headers["Attempt-Id"]
            self.started_runs.append(attempt)
            readable, _, _ = select.select([handler.connection], [], [], SLOW_TIME_S)
            (self.given_up_runs if readable else self.ended_runs).append(attempt)
            if readable:
                handler.close_connection = True
                return
        super().handle_request(handler, body)


def format_request(path, attempt, key=None, fields=""):
    key_field = f"Shard-Key: {key}\r\n" if key is not None else ""
    return (f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: 2000\r\n{key_field}{fields}\r\n").encode()


def read_boot_clock_ms():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


class GoneCallerTest(FleetTestCase):
    backend_class = WatchingBackend

    def setUp(self):
        super().setUp()
        self.start_service()
        self.key = self.find_key_of_other_site()

    def find_key_of_other_site(self):
        """Returns a key that the backend server beside another sidecar serves."""
        for key in range(0, 65536, 6553):
            text = self.send_through_sidecar(0, "/p/x", key, f"f{key}")[1]
            if text.startswith(self.backends[1].backend_id):
                return key
        self.fail("the other backend server has no key")

    def connect(self):
        host, port = self.sidecars[0]["caller"].split(":")
        return socket.create_connection((host, int(port)), 3)

    def leave_with_unread_request(self, attempt, reset=False):
        """Sends a slow request and a further one, and closes the connection."""
        connection = self.connect()
        connection.sendall(format_request(SLOW_PATH, attempt, self.key))
        time.sleep(0.1)
        connection.sendall(format_request("/p/unread", attempt + "u", self.key))
        time.sleep(0.1)
        if reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
        connection.close()

    # Guards against runs that go on for callers that have closed behind a request.
    def test_close_behind_a_further_request_ends_the_run_at_the_other_site(self):
        for attempt, reset in (("a1", False), ("a2", True)):
            self.leave_with_unread_request(attempt, reset)
            wait_for(lambda a=attempt: a in self.backends[1].given_up_runs, 1,
                     "the run is given up")
        self.assertEqual(self.backends[1].ended_runs, [])

    # Guards against a retry budget that callers use up who have left.
    def test_callers_that_leave_take_no_retries(self):
        for number in range(5):
            with self.connect() as connection:
                connection.sendall(format_request(SLOW_PATH, f"r{number}", self.key))
                wait_for(lambda a=f"r{number}": a in self.backends[1].started_runs, 1,
                         "the request runs")
        wait_for(lambda: len(self.backends[1].given_up_runs) == 5, 1,
                 "the runs are given up")
        self.assertIn("rattanloft_retries 0\n", send_request(
            self.sidecars[0]["metrics"], "GET", "/metrics")[1])

    # Guards against requests that wait for a slot for callers that have left.
    def test_close_behind_a_further_request_empties_the_queue(self):
        with self.connect() as first:
            first.sendall(format_request(SLOW_PATH, "running", self.key))
            time.sleep(0.1)
            # Waits for the only slot.
            self.leave_with_unread_request("queued")
            self.assertIn(b" 200 ", first.recv(4096))
        time.sleep(0.3)
        self.assertEqual(self.backends[1].started_runs, ["running"])

    # Guards against requests that are run after their deadline has passed on the way.
    def test_request_that_was_late_between_sidecars_is_not_run(self):
        def send_to_peer(attempt, age_ms):
            stamp = f"Rattanloft-Sent: 1/{read_boot_clock_ms() - age_ms}\r\n"
            return send_bytes(self.sidecars[1]["peer"], format_request(
                "/p/late", attempt, self.key,
                f"{stamp}Rattanloft-Service: keyed\r\nRattanloft-Kind: a\r\n"
                "Rattanloft-Keyed: 1\r\nRattanloft-Target-Ms: 1000\r\n"
                "Rattanloft-Rank: 2\r\n"))
        self.assertIn(b"Rattanloft-Outcome: answered", send_to_peer("fast", 0))
        self.assertIn(b"Rattanloft-Outcome: answered", send_to_peer("slow", 1000))
        answer = send_to_peer("late", 3000)
        self.assertIn(b"Rattanloft-Outcome: not-run", answer)
        self.assertNotIn("late", [item[0] for item in
                                  self.backends[1].executed_requests])


if __name__ == "__main__":
    unittest.main()
