"""Tests that answers without end do not take the process that reads them down.

Guards against a process that keeps what a faulty backend server or coordinator sends
until its memory is used up, and then ends with the requests of all its callers.
"""

import http.client
import http.server
import json
import socketserver
import threading
import time
import unittest

from UntrustedClientTest import (DEADLINE_S, MEMORY_LIMITS_MB, UntrustedClientTestCase,
                                 memory_mb)
from fleet_fixture import HEALTH_PATH, StandInBackend, wait_for

# Slots of each backend server, and requests that get an answer without end at once.
SLOTS = 64
CLIENTS = 96
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
HEAD = STATUS_LINE + b"Attempt-Id: %ID%\r\nResponse-Signature: signed\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MIB = 1 << 20
# Pairs of the start of an answer and of what is repeated after it.
ENDLESS = {
    "status-line": (b"HTTP/1.1 200 ", b"x" * 1024),
    "long-field": (HEAD + b"X: ", b"x" * 1024),
    "long-fields": (HEAD, b"X: " + b"x" * 1024 + b"\r\n"),
    "short-fields": (HEAD, b"a:\r\n" * 256),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
    "no-answer": (b"", b"no answer\r\n" * 64),
    "body": (HEAD + b"\r\n", b"x" * 65536),
    "body-with-length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 65536),
    "chunks": (CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "chunk-extension": (CHUNKED + b"8;", b"x" * 1024),
    "trailer": (CHUNKED + b"0\r\n", b"a:\r\n" * 256),
}
# What a paced sender sends at once, just below the limits of what is read, before it
# goes on slowly until the deadline.
PACED_BYTES = {"short-fields": 56 * 1024, "long-fields": 56 * 1024,
               "body": 8 * MIB - 4096, "chunks": 7 * MIB}
PACE_S = 0.1


def send_without_end(write, name, attempt, is_paced):
    """Writes until the reader closes the connection."""
    start, unit = ENDLESS[name]
    try:
        write(start.replace(b"%ID%", attempt.encode()))
        sent = 0
        while True:
            is_slow = is_paced and sent + len(unit) > PACED_BYTES[name]
            write(unit[:4] if is_slow else unit)
            sent += 0 if is_slow else len(unit)
            if is_slow:
                time.sleep(PACE_S)
    except OSError:
        pass


class EndlessBackend(StandInBackend):
    """Answers /p/endless/NAME and /p/paced/NAME without end."""

    slots = SLOTS
    health_checks, is_health_endless = 0, False

    def handle_request(self, handler, body):
        if handler.path == HEALTH_PATH and self.is_health_endless:
            self.health_checks += 1
            name = list(ENDLESS)[self.health_checks % len(ENDLESS)]
            send_without_end(handler.wfile.write, name, "", False)
            handler.close_connection = True
            return
        folder, _, name = handler.path.removeprefix("/p/").partition("/")
        if folder not in ("endless", "paced"):
            super().handle_request(handler, body)
            return
        with self.lock:
            self.executed_requests.append((handler.headers["Attempt-Id"], {},
                                           handler.path))
        send_without_end(handler.wfile.write, name, handler.headers["Attempt-Id"],
                         folder == "paced")
        handler.close_connection = True


class BackendTest(UntrustedClientTestCase):
    backend_class = EndlessBackend

    def send_endless(self, path, statuses):
        try:
            statuses.append(self.send_through_sidecar(
                0, path, None, f"{path}-{threading.get_ident()}")[0])
        except (OSError, http.client.HTTPException) as error:
            statuses.append(repr(error))

    def run_endless(self, path):
        statuses = []
        threads = [threading.Thread(target=self.send_endless, args=(path, statuses))
                   for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.check_served(f"during {path}")
        for thread in threads:
            thread.join()
        self.check_processes(f"after {path}")
        self.check_served(f"after {path}")
        runs = [run for backend in self.backends
                for run in backend.executed_requests if run[2] == path]
        self.check(runs, path, "no request reached a backend server")
        self.check(set(statuses) <= {502, 503, 504}, path,
                   f"ended with {set(statuses)}")
        return statuses

    def test_answers_at_full_speed(self):
        for name in ENDLESS:
            self.run_endless(f"/p/endless/{name}")
        self.assertEqual(self.problems, {})

    def test_answers_that_stop_below_the_limits(self):
        for name in PACED_BYTES:
            statuses = self.run_endless(f"/p/paced/{name}")
            self.check(504 in statuses, name, "no answer was held until its deadline")
        self.assertEqual(self.problems, {})


class HealthCheckTest(UntrustedClientTestCase):
    backend_class = EndlessBackend
    bounds = "retryBudgetSlack=50,coldOverage=1.5,coldSlack=8"

    def test_answers_to_health_checks(self):
        # Sidecars check the health of backend servers that may become cold.
        self.document.update(version="r3", baseVersion="r2")
        self.document["services"]["keyed"].update(coldStartS=1, coldPerS=1000)
        wait_for(lambda: self.put_configuration(json.dumps(self.document)) == 200,
                 DEADLINE_S, "the configuration is accepted")
        for backend in self.backends:
            backend.is_health_endless = True
        wait_for(lambda: all(backend.health_checks > 2 * len(ENDLESS)
                             for backend in self.backends),
                 DEADLINE_S, "health checks go on")
        self.check_processes("during health checks")
        self.check_served("during health checks")
        self.assertEqual(self.problems, {})


class StandInCoordinator:
    """Answers each call to its address without end, with the kinds in turn."""

    def __init__(self, ip, port):
        stand_in = self
        self.calls = 0

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                stand_in.calls += 1
                name = list(ENDLESS)[stand_in.calls % len(ENDLESS)]
                send_without_end(self.wfile.write, name, "", False)
                self.close_connection = True

            do_GET = do_PUT = do_POST

            def log_message(self, *_):
                pass

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                # The caller has closed the connection.
                pass

        self.server = Server((ip, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class ControlTest(UntrustedClientTestCase):
    """A seed that is no coordinator answers the calls of a sidecar and of another
    coordinator without end."""

    watch_s = 6

    def setUp(self):
        super().setUp()
        self.stand_in = StandInCoordinator("127.0.0.18", self.member_port)
        self.addCleanup(self.stand_in.server.server_close)
        self.addCleanup(self.stand_in.server.shutdown)

    def watch(self, process, limit_mb):
        calls = self.stand_in.calls
        end_s = time.monotonic() + self.watch_s
        while time.monotonic() < end_s:
            self.assertIsNone(process.poll())
            time.sleep(0.1)
        self.assertLess(memory_mb(process.pid)[0], limit_mb)
        self.assertGreater(self.stand_in.calls, calls)

    def test_a_sidecar(self):
        arguments = [
            f"--coordinators=127.0.0.18:{self.operator_port}"
            if argument.startswith("--coordinators") else argument
            for argument in self.sidecars[1]["arguments"]]
        self.sidecars[1]["process"].kill()
        self.sidecars[1]["process"].wait()
        process = self.start(*arguments)
        wait_for(lambda: self.stand_in.calls, DEADLINE_S, "the sidecar calls")
        self.watch(process, MEMORY_LIMITS_MB["sidecar"])

    def test_a_coordinator(self):
        process = self.start(
            "coordinator", "--zone=z", f"--state_dir={self.folder}/joining",
            f"--operator_address=127.0.0.19:{self.operator_port}",
            f"--member_address=127.0.0.19:{self.member_port}",
            f"--seed_coordinators=127.0.0.18:{self.operator_port}",
            "--form_group=false", "--tolerated_losses=0")
        wait_for(lambda: self.stand_in.calls, DEADLINE_S, "the coordinator calls")
        self.watch(process, MEMORY_LIMITS_MB["coordinator"])


if __name__ == "__main__":
    unittest.main()
