"""A fleet of real processes on loopback: three coordinators, sidecars, and
stand-ins for the platform's backend servers and operators."""

import http.client
import http.server
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

from full_disk import set_disk_full  # noqa: E402
from ports import reserve_ports  # noqa: E402

BINARY = os.environ["RATTANLOFT_BINARY"]
HOST = "shop.example"
HEALTH_PATH = "/h"
# Lines of each process's log that a failed test prints.
MAX_PRINTED_LOG_LINES = 30


class StandInBackend:
    """Answers requests for the keys that it holds, and sends heartbeats."""

    # Requests that its sidecar may send at once.
    slots = 4

    def __init__(self, ip, port, announce, service, backend_id):
        self.address, self.announce_address = f"{ip}:{port}", announce
        self.service, self.backend_id = service, backend_id
        self.born_unix_ms = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        # Rows that begin with the first and the last key of a range.
        self.held_ranges, self.hold_end_s, self.released = [], 0, []
        # Rows of ranges that were granted by calls: first key, last key, fencing
        # token, end of the hold, handover token.
        self.granted_rows = []
        # Each call as its path and its body. While late_call_s is above 0, calls
        # are not answered and take effect after this time.
        self.range_calls, self.late_call_s = [], 0
        # Fields that every answer carries.
        self.answer_headers = {}
        # When each request arrived, whether it ran or not, and when those that run
        # arrived.
        self.arrival_times, self.run_times = [], []
        # A lifetime that follows a crash is cold for this time.
        self.cold_start_s, self.cold_end_s = 0, 0
        # Whether a lifetime that follows a crash has another id.
        self.changes_id = True
        # Tuples of attempt id, headers and path.
        self.executed_requests, self.lock, self.stopped = [], threading.Lock(), False
        self.down = False
        # Requests with these paths crash the backend server that runs them.
        self.harmful_paths, self.crash_count = set(), 0
        # Before the answers to requests with these paths comes a copy of a
        # refusal of an earlier request.
        self.stray_refusal_paths = set()
        # The first arrival of a request with these paths is rejected, and a copy
        # of the rejection comes before the next answer on that connection.
        self.copied_rejection_paths = set()
        self.rejected_attempts, self.rejections_to_copy = set(), {}
        # Requests with these paths take this long.
        self.slow_paths, self.slow_time_s = set(), 0.3
        self.ip, self.port = ip, port
        self.start_server()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def start_server(self):
        backend = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def serve(self):
                if backend.answers_before_body(self):
                    return
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                backend.handle_request(self, body)

            do_GET = do_POST = serve

            def setup(self):
                super().setup()
                backend.connections.add(self.connection)

            def finish(self):
                backend.connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def log_message(self, *_):
                pass

        self.connections = set()
        self.server = http.server.ThreadingHTTPServer((self.ip, self.port), Handler)
        # A connection that breaks in a crash is no error of the stand-in.
        self.server.handle_error = lambda *_: None
        threading.Thread(target=self.server.serve_forever, args=(0.02,),
                         daemon=True).start()

    def crash(self, down_time_s=0.5):
        """Ends like a crashed process, and starts again as another lifetime."""
        with self.lock:
            if self.down:
                return
            self.down = True
            self.crash_count += 1
            self.held_ranges, self.granted_rows = [], []
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its caller has closed it.
                pass
        threading.Timer(down_time_s, self.start_again).start()

    def start_again(self):
        if self.stopped:
            return
        self.start_server()
        with self.lock:
            if self.changes_id:
                self.backend_id += "r"
            self.born_unix_ms = int(time.time() * 1000)
            self.sequence, self.down = 0, False
            self.cold_end_s = time.time() + self.cold_start_s

    def holds_key(self, key):
        if key is None:
            return True
        with self.lock:
            if any(row[0] <= int(key) <= row[1] and time.time() < row[3]
                   for row in self.granted_rows):
                return True
            return time.time() < self.hold_end_s and any(
                row[0] <= int(key) <= row[1] for row in self.held_ranges
            )

    def handle_range_call(self, handler, body):
        call, arrived_s = json.loads(body), time.time()
        with self.lock:
            self.range_calls.append((handler.path, call))
            late_s, lifetime = self.late_call_s, self.born_unix_ms
        if late_s:
            time.sleep(late_s)
            with self.lock:
                if lifetime == self.born_unix_ms:
                    self.apply_range_call(handler.path, call, arrived_s)
            handler.close_connection = True
            return
        with self.lock:
            status = self.apply_range_call(handler.path, call, arrived_s)
        handler.send_response(status)
        if handler.path == "/v1/release":
            handler.send_header("Handover", f"{call['startRev']}-{call['fence']}")
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def apply_range_call(self, path, call, arrived_s):
        """Returns the status of the answer."""
        first, last = call["startRev"], call["targetVersion"]
        rows = []
        for row in self.granted_rows:
            if row[1] < first or last < row[0]:
                rows.append(row)
                continue
            if path == "/v1/grant" and row[2] > call["fence"]:
                return 409
            if row[0] < first:
                rows.append((row[0], first - 1, *row[2:]))
            if last < row[1]:
                rows.append((last + 1, row[1], *row[2:]))
        if path == "/v1/grant":
            rows.append((first, last, call["fence"], arrived_s + call["holdS"],
                         call.get("handover", "")))
        self.granted_rows = rows
        return 200

    def answers_before_body(self, handler):
        """Returns whether the request was answered before its body is read."""
        return False

    def handle_request(self, handler, body):
        headers = handler.headers
        if handler.path in ("/v1/grant", "/v1/release"):
            self.handle_range_call(handler, body)
            return
        arrived_s = time.time()
        with self.lock:
            self.arrival_times.append(arrived_s)
        wrong_instance = headers.get("Expected-Instance") not in (None, self.backend_id)
        if wrong_instance or not self.holds_key(headers.get("Shard-Key")):
            handler.send_response(421)
            handler.send_header("Attempt-Id", headers.get("Attempt-Id", ""))
            handler.send_header("Not-Executed", "1")
            handler.send_header("Content-Length", "0")
            handler.end_headers()
            return
        if self.reject_with_a_copy(handler):
            return
        with self.lock:
            if handler.path != HEALTH_PATH:
                self.run_times.append(arrived_s)
            self.executed_requests.append((headers["Attempt-Id"], dict(headers),
                                           handler.path))
        if handler.path in self.harmful_paths:
            self.crash()
            return
        if handler.path.startswith("/p/cut-head/"):
            self.cut_off_head(handler)
            return
        if handler.path in self.stray_refusal_paths:
            handler.wfile.write(b"HTTP/1.1 503 Service Unavailable\r\n"
                                b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        if handler.path in self.slow_paths:
            time.sleep(self.slow_time_s)
        text = f"{self.backend_id} {handler.path} ".encode() + body
        handler.send_response(200)
        handler.send_header("Attempt-Id", headers["Attempt-Id"])
        handler.send_header("Response-Signature", "signed")
        for name, value in self.answer_headers.items():
            handler.send_header(name, value)
        if handler.path == HEALTH_PATH:
            remaining_s = max(0, self.cold_end_s - time.time())
            handler.send_header("Cold-Ms", str(round(remaining_s * 1000)))
        handler.send_header("Content-Length", str(len(text)))
        handler.end_headers()
        try:
            handler.wfile.write(text)
        except OSError:
            # The caller has left, or this lifetime has crashed.
            pass

    @staticmethod
    def cut_off_head(handler):
        """Writes as many bytes of an answer's head as the path says, and closes."""
        head = (b"HTTP/1.1 200 OK\r\nResponse-Signature: signed\r\nAttempt-Id: %s\r\n"
                b"Content-Length: 5\r\n\r\n" % handler.headers["Attempt-Id"].encode())
        handler.wfile.write(head[:-1][:int(handler.path.split("/")[-1])])
        handler.close_connection = True

    def reject_with_a_copy(self, handler):
        """Returns whether the request was rejected."""
        attempt = handler.headers.get("Attempt-Id", "")
        with self.lock:
            copied = self.rejections_to_copy.pop(handler, b"")
            rejects = (handler.path in self.copied_rejection_paths
                       and attempt not in self.rejected_attempts)
            rejection = (b"HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\n"
                         b"Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                         % attempt.encode())
            if rejects:
                self.rejected_attempts.add(attempt)
                self.rejections_to_copy[handler] = rejection
        handler.wfile.write(copied + (rejection if rejects else b""))
        return rejects

    def make_heartbeat(self):
        self.sequence += 1
        return {
            "service": self.service, "address": self.address, "zone": "z",
            "version": "v1", "slots": self.slots, "state": self.state,
            "coldRemainingS": max(0, self.cold_end_s - time.time()), "seq": self.sequence, "born": self.born_unix_ms,
            "holds": [row[:3] for row in self.held_ranges], "released": [],
        }

    def send_heartbeat(self):
        with self.lock:
            lifetime = self.born_unix_ms
            body = self.make_heartbeat()
        sent = time.time()
        status, text = send_request(
            self.announce_address, "PUT", f"/v1/instances/{self.backend_id}",
            json.dumps(body),
        )
        # A refusal of the connection is plain text.
        grant = json.loads(text or "{}") if status == 200 else {}
        with self.lock:
            # As on the platform, a larger answer is not accepted.
            is_current = lifetime == self.born_unix_ms and not self.down
            if (status == 200 and len(text) <= 4096 and "holds" in grant
                    and is_current):
                self.held_ranges = grant["holds"]
                self.hold_end_s = sent + grant["holdS"]
        return status

    def send_heartbeats(self):
        while not self.stopped:
            try:
                if not self.down:
                    self.send_heartbeat()
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.3)


def send_request(address, method, path, body=None, headers=None, timeout=3):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def send_bytes(address, data, timeout=3):
    """Returns the first bytes of the answer to bytes that need not be HTTP."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout) as connection:
        try:
            connection.sendall(data)
        except (BrokenPipeError, ConnectionResetError):
            # The answer may come before all has been read.
            pass
        return connection.recv(4096)


def wait_for(condition, timeout_s, description):
    end = time.time() + timeout_s
    while time.time() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise AssertionError(f"not within {timeout_s} s: {description}")


def configuration(base_version, version, prefix="/p/", grants="heartbeat",
                  sharded=True, service_fields=None):
    route = {
        "host": HOST, "pathPrefix": prefix, "routeKind": "idempotent",
        "timeoutS": 2, "targetLatencyS": 1, "priority": 1, "service": "keyed",
        "attempts": 2,
    }
    order = dict(route, pathPrefix="/order/", routeKind="non_idempotent")
    return json.dumps({
        "version": f"r{version}",
        "baseVersion": f"r{base_version}" if base_version else 0,
        "routes": {"a": route, "b": order},
        "services": {"keyed": {"healthCheckPath": HEALTH_PATH,
                               "maxConnections": 50, "sharded": sharded,
                               "warmupS": 1, "grants": grants,
                               **(service_fields or {})}},
        "limits": {},
    })


class FleetTestCase(unittest.TestCase):
    bounds = "retryBudgetSlack=50"
    # Availability zones, which the sites take in turn.
    zones = ("z",)
    # Parent of the folder of logs and states; None for the default one.
    folder_parent = None
    coordinator_count, site_count, tolerated_losses = 3, 2, 1
    backend_class = StandInBackend
    # Environment variables that are added for each program.
    environments = {}

    def run(self, result=None):
        result = result or self.defaultTestResult()
        fault_count = len(result.failures) + len(result.errors)
        with tempfile.TemporaryDirectory(dir=self.folder_parent) as self.folder:
            super().run(result)
            if len(result.failures) + len(result.errors) > fault_count:
                self.print_logs()
        return result

    def print_logs(self):
        for number, process in enumerate(self.processes):
            with open(self.log_path(number), encoding="utf-8",
                      errors="replace") as log:
                lines = log.read().splitlines()
            # When the process started and stopped, also if this was long before.
            lines = [line for line in lines[:-MAX_PRINTED_LOG_LINES]
                     if "event=sta" in line or "event=sto" in line
                     ] + lines[-MAX_PRINTED_LOG_LINES:]
            print(f"-- {process.args[1]} {number}, status {process.returncode}:",
                  *lines, sep="\n", file=sys.stderr)

    def setUp(self):
        self.processes, self.backends, self.sidecars = [], [], []
        self.addCleanup(self.stop_all)
        self.operator_port, self.member_port = reserve_ports(2)
        self.operators = [f"127.0.0.{11 + n}:{self.operator_port}"
                          for n in range(self.coordinator_count)]
        for number in range(self.coordinator_count):
            self.start_coordinator(number, form_group=True)
        for number in range(self.site_count):
            self.start_site(number)

    def stop_all(self):
        for backend in self.backends:
            backend.stopped = True
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for backend in self.backends:
            backend.server.shutdown()
            backend.server.server_close()

    def log_path(self, number):
        return os.path.join(self.folder, f"{number}.log")

    def start(self, *arguments):
        log = open(self.log_path(len(self.processes)), "w")
        # See set_disk_full().
        environment = {**os.environ, **self.environments.get(arguments[0], {})}
        process = subprocess.Popen([BINARY, *arguments], stdout=log, stderr=log,
                                   env=environment, restore_signals=False)
        log.close()
        self.processes.append(process)
        return process

    def start_coordinator(self, number, form_group):
        ip = f"127.0.0.{11 + number}"
        return self.start(
            "coordinator", "--zone=z", f"--state_dir={self.folder}/c{number}",
            f"--operator_address={ip}:{self.operator_port}",
            f"--member_address={ip}:{self.member_port}",
            "--seed_coordinators=" + ",".join(self.operators),
            f"--form_group={'true' if form_group else 'false'}",
            f"--tolerated_losses={self.tolerated_losses}")

    def start_site(self, number):
        ip = f"127.0.0.{21 + number}"
        listeners = ("caller", "peer", "ready", "announce", "backend", "metrics")
        ports = dict(zip(listeners, reserve_ports(len(listeners))))
        site = {name: f"{ip}:{port}" for name, port in ports.items()}
        site["arguments"] = [
            "sidecar", f"--zone={self.zones[number % len(self.zones)]}",
            f"--instance=site-{number}",
            "--backend_service=keyed",
            *(f"--{name}_address={site[name]}" for name in ports),
            f"--coordinators={','.join(self.operators)}",
            f"--coordinator_port={self.member_port}", f"--bounds={self.bounds}"]
        site["process"] = self.start(*site["arguments"])
        self.sidecars.append(site)
        self.backends.append(self.backend_class(
            ip, ports["backend"], site["announce"], "keyed", f"i-{number}"))

    def restart_sidecar(self, number):
        site = self.sidecars[number]
        site["process"].kill()
        site["process"].wait()
        site["process"] = self.start(*site["arguments"])

    def fill_disk(self, coordinator, is_full):
        """Lets the coordinator's writes to files fail, or succeed again."""
        set_disk_full(self.processes[coordinator].pid, is_full)

    def put_configuration(self, body, operator=0):
        return send_request(self.operators[operator], "PUT", "/v1/config", body)[0]

    def has_metrics(self, coordinator, *lines):
        address = f"127.0.0.{11 + coordinator}:{self.member_port}"
        return set(lines) <= set(send_request(address, "GET",
                                              "/metrics")[1].splitlines())

    def reads_version(self, operator, version):
        """Whether a coordinator answers a read of the configuration.

        It may refuse while no leader is confirmed, but must not answer with
        another version.
        """
        status, text = send_request(self.operators[operator], "GET", "/v1/config")
        if status == 503:
            return False
        self.assertEqual((status, json.loads(text)["version"]), (200, version))
        return True

    def send_through_sidecar(self, site, path, key, attempt, method="GET", body=None):
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "2000",
                   "Caller-Service": "forged"}
        if key is not None:
            headers["Shard-Key"] = str(key)
        return send_request(self.sidecars[site]["caller"], method, path, body, headers)

    def start_service(self, grants="heartbeat", sharded=True, service_fields=None):
        first = configuration(0, 2, grants=grants, sharded=sharded,
                              service_fields=service_fields)
        wait_for(lambda: self.put_configuration(first) == 200, 10,
                 "the first configuration is accepted")
        for site in range(2):
            wait_for(lambda s=site: send_request(self.sidecars[s]["ready"], "GET",
                                                 "/v1/ready")[0] == 200,
                     5, "each sidecar is ready")
        wait_for(lambda: all(
            self.send_through_sidecar(0, "/p/x", key, f"w{key}")[0] == 200
            for key in ((0, 40000, 65535) if sharded else (None,))),
            10, "all keys have owners")
