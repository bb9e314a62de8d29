"""Tests that a planned stop answers every request that was read."""

import signal
import socket
import threading
import time
import unittest

from fleet_fixture import HOST, FleetTestCase, StandInBackend, send_request


class PlannedStopTest(FleetTestCase):
    bounds = "retryBudgetSlack=50,graceS=3"

    def test_requests_that_outlast_the_stop_are_answered(self):
        """Guards against requests that a stop cuts off without an answer."""
        self.start_service()
        for backend in self.backends:
            backend.slow_paths.add("/p/slow")
            backend.slow_time_s = 5
        outcomes = {}

        def send(site, key):
            try:
                outcomes[site, key] = self.send_through_sidecar(
                    site, "/p/slow", key, f"slow{site}{key}")[0]
            except OSError as error:
                outcomes[site, key] = repr(error)

        self.sidecars[0]["process"].send_signal(signal.SIGTERM)
        time.sleep(1.5)
        threads = [threading.Thread(target=send, args=(0, key))
                   for key in (0, 9000, 20000, 40000, 50000, 65535)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.sidecars[0]["process"].wait(timeout=5), 0)
        self.assertEqual(set(outcomes.values()) - {502, 503, 504}, set(), outcomes)
        # The other sidecar still serves.
        self.assertEqual(send_request(self.sidecars[1]["ready"], "GET",
                                      "/v1/ready")[0], 200)


class ShortGraceTest(FleetTestCase):
    grace_s = 2
    bounds = f"retryBudgetSlack=50,graceS={grace_s}"

    def test_a_stop_ends_within_a_short_grace_time(self):
        """Guards against a process that is killed while it waits for callers to
        notice the stop, with the requests that run."""
        self.start_service(sharded=False)
        for backend in self.backends:
            backend.slow_paths.add("/order/slow")
            backend.slow_time_s = 3 * self.grace_s
        process, statuses = self.sidecars[0]["process"], []
        thread = threading.Thread(target=lambda: statuses.append(
            self.send_through_sidecar(0, "/order/slow", None, "short", "POST",
                                      "stand")[0]))
        thread.start()
        time.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(timeout=self.grace_s), 0)
        thread.join()
        self.assertEqual(statuses, [502])


class Upload:
    """An order whose last byte is sent some time after the rest."""

    def __init__(self, address, key, attempt):
        host, port = address.split(":")
        self.attempt, self.body = attempt, b"stand"
        self.sent_s, self.received = None, b""
        key_line = f"Shard-Key: {key}\r\n" if key is not None else ""
        self.socket = socket.create_connection((host, int(port)), 10)
        self.socket.sendall(
            (f"POST /order/slow HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
             f"{key_line}Deadline-Ms: 1800\r\n"
             f"Content-Length: {len(self.body)}\r\n\r\n").encode() + self.body[:-1])

    def finish(self):
        try:
            self.socket.sendall(self.body[-1:])
            self.sent_s = time.monotonic()
            while data := self.socket.recv(65536):
                self.received += data
        except OSError:
            # The sidecar has closed the connection.
            pass
        self.socket.close()

    def status(self):
        """Returns 0 if there is no complete answer."""
        head, end, body = self.received.partition(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        whole = end and len(body) == int(fields.get(b"content-length", b"-1"))
        return int(head.split(b" ")[1]) if whole else 0


class ManySlotsBackend(StandInBackend):
    slots = 100


class LateRequestTest(FleetTestCase):
    """Requests whose last byte comes late in the grace time of a stop.

    Guards against requests that are passed on although they cannot end before the
    process does, and are then cut off.
    """
    backend_class = ManySlotsBackend
    grace_s, work_s, interval_s = 6, 1.0, 0.1
    bounds = f"retryBudgetSlack=50,graceS={grace_s}"
    # Requests sent within this time after the signal may be broken off at the end.
    early_s = 3
    # What is sent so shortly before the process ends may cross its close.
    crossing_s = 0.2

    def find_fault(self, upload, started_s, ended_s):
        """Returns what is wrong with the outcome, or None."""
        after_s, status = upload.sent_s - started_s, upload.status()
        is_run = any(run[0] == upload.attempt for backend in self.backends
                     for run in backend.executed_requests)
        allowed = {200, 502, 504} if after_s <= self.early_s else {200}
        if is_run and status in allowed or not is_run and status == 503:
            return None
        if not is_run and status == 0 and ended_s - upload.sent_s < self.crossing_s:
            return None
        return f"sent after {after_s:.2f} s: {status}, run={is_run}"

    def check_late_requests(self, keys):
        for backend in self.backends:
            backend.slow_paths.add("/order/slow")
            backend.slow_time_s = self.work_s
        count = round(self.grace_s / self.interval_s)
        uploads = [(n * self.interval_s, Upload(self.sidecars[0]["caller"], key,
                                                f"late{n}-{place}"))
                   for n in range(count) for place, key in enumerate(keys)]
        process = self.sidecars[0]["process"]
        started_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        threads = [threading.Timer(after_s, upload.finish)
                   for after_s, upload in uploads]
        for thread in threads:
            thread.start()
        self.assertEqual(process.wait(timeout=self.grace_s), 0)
        ended_s = time.monotonic()
        for thread in threads:
            thread.join()
        # Until requests that were cut off have ended at the backend servers.
        time.sleep(self.work_s)
        sent = [upload for _, upload in uploads if upload.sent_s]
        self.assertTrue(any(upload.sent_s - started_s > self.early_s
                            for upload in sent))
        faults = [self.find_fault(upload, started_s, ended_s) for upload in sent]
        self.assertEqual([fault for fault in faults if fault], [])

    def test_requests_without_a_key(self):
        self.start_service(sharded=False)
        self.check_late_requests((None, None))

    def test_requests_with_a_key(self):
        self.start_service()
        self.check_late_requests((0, 65535))


if __name__ == "__main__":
    unittest.main()
