#!/usr/bin/env python3
"""Sends bad input to every listener of a real node and control instance.

Guards against crashes, leaked file descriptors, malformed requests that run,
forged headers of callers that take effect, and unusable settings that are
accepted.
"""

import json
import os
import shutil
import socket
import subprocess
import sys
import threading
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

from cluster import BINARY, Cluster, send_request, wait_for  # noqa: E402

# Limits of the server, and the body limit of catalogue.browse in the catalogue
# of adwoa.
READ_TIMEOUT_S = 10
MAX_CALLER_CONNECTIONS = 1000
MAX_SERVER_BODY_BYTES = 1024 * 1024
MAX_BROWSE_BODY_BYTES = 4096

NOT_RUN_HEADER = "Rattanloft-Outcome: not-run"


def exchange_bytes(port, data, timeout=5, shut_down_write=False):
    """Sends data; returns all bytes until the peer closes or a timeout."""
    received = b""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as sock:
        try:
            sock.sendall(data)
            if shut_down_write:
                sock.shutdown(socket.SHUT_WR)
            while chunk := sock.recv(65536):
                received += chunk
        except OSError:
            pass
    return received.decode("latin-1")


def parse_status(text):
    parts = text.split(" ", 2)
    return int(parts[1]) if text.startswith("HTTP/1.1 ") else 0


def fd_count(process):
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster("adwoa", control_count=1, backends_per_service=1)
        try:
            cls.cluster.start()
            if wait_for(lambda: cls.cluster.find_leader() is not None, 10) is None:
                raise RuntimeError("no leader")
            applied = cls.cluster.run_operator_command(
                "catalogue", "apply",
                os.path.join(ROOT, "examples", "adwoa", "catalogue.json"))
            if applied.returncode != 0:
                raise RuntimeError(applied.stderr)
            if wait_for(cls.all_sites_own_all_shards, 15) is None:
                raise RuntimeError("a backend server does not own all shards")
        except Exception:
            cls.cluster.kill_all()
            raise
        cls.site = cls.cluster.sites_of("catalogue")[0]
        cls.caller_port = cls.site.caller_port
        cls.control_grpc_port, cls.control_http_port = cls.cluster.control_ports[0]

    @classmethod
    def all_sites_own_all_shards(cls):
        return all(site.status().get("owned_shards") == 4096
                   for site in cls.cluster.sites)

    @classmethod
    def tearDownClass(cls):
        cls.cluster.kill_all()
        shutil.rmtree(cls.cluster.folder)

    def setUp(self):
        self.watched_processes = [self.site.node, self.cluster.control_processes[0]]
        # This request opens the connections that the processes keep open.
        self.assert_serves()
        self.fd_counts_before = [fd_count(process)
                                 for process in self.watched_processes]

    def tearDown(self):
        self.assert_serves()
        for process, fd_count_before in zip(self.watched_processes,
                                            self.fd_counts_before):
            # Lingering connections close within a second, and the number of
            # pooled connections to other processes may differ by a few.
            wait_for(lambda p=process, b=fd_count_before: fd_count(p) <= b + 4, 5)
            self.assertLessEqual(fd_count(process), fd_count_before + 4, process.name)
        for process in self.cluster.processes():
            self.assertTrue(process.is_running(), f"{process.name} has ended")

    def assert_serves(self):
        response = send_request(self.caller_port, "GET", "/catalogue/stand-1")
        self.assertEqual((response.status, response.outcome), (200, "answered"),
                         response.body)

    def assert_refused(self, data, status, **options):
        text = exchange_bytes(self.caller_port, data, **options)
        self.assertEqual(parse_status(text), status, f"{data[:200]!r}: {text!r}")
        self.assertIn(NOT_RUN_HEADER, text)

    def find_started_executions(self, target_part):
        return [e for e in self.cluster.read_executions()
                if e["event"] == "start" and target_part in e["target"]]

    def test_malformed_http_is_refused(self):
        for data in (b"garbage\r\n\r\n", b"\x00\xff\x01\r\n\r\n",
                     b"GET /catalogue/a HTTP/9.9\r\n\r\n",
                     b"GET  HTTP/1.1\r\n\r\n",
                     b"GET /catalogue/a HTTP/1.1\r\nHost x\r\n\r\n",
                     b"GET /catalogue/a HTTP/1.1\r\nHost: x\r\nA\x00: b\r\n\r\n",
                     b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"):
            with self.subTest(data=data):
                self.assert_refused(data, 400)

    def test_ambiguous_framing_runs_no_request(self):
        head = b"POST /deposits/smuggled HTTP/1.1\r\nHost: x\r\n" \
               b"Idempotency-Key: \"s\"\r\n"
        hidden = b"GET /catalogue/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
        for fields in (b"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
                       b"Content-Length: 0\r\nContent-Length: 54\r\n",
                       b"Content-Length: +5\r\n",
                       b"Content-Length: 0x10\r\n",
                       b"Content-Length: 99999999999999999999\r\n",
                       b"Content-Length: -1\r\n",
                       b"Transfer-Encoding: chunked\r\n"
                       b"Transfer-Encoding: identity\r\n",
                       b"Transfer-Encoding: xchunked\r\n",
                       b"Transfer-Encoding : chunked\r\n",
                       b"Transfer-Encoding: chunked, chunked\r\n"):
            with self.subTest(fields=fields):
                text = exchange_bytes(
                    self.caller_port, head + fields + b"\r\n0\r\n\r\n" + hidden)
                self.assertIn(parse_status(text), (400, 413), text)
                self.assertIn(NOT_RUN_HEADER, text)
                self.assertEqual(text.count("HTTP/1.1 "), 1, text)
        self.assertEqual(self.find_started_executions("smuggled"), [])

    def test_oversized_input_is_refused(self):
        self.assert_refused(
            b"GET /catalogue/a HTTP/1.1\r\nHost: x\r\nA: "
            + b"a" * 17000 + b"\r\n\r\n", 431)
        self.assert_refused(
            b"POST /deposits/big HTTP/1.1\r\nHost: x\r\nContent-Length: "
            + str(MAX_SERVER_BODY_BYTES + 1).encode() + b"\r\n\r\n", 413)
        response = send_request(self.caller_port, "GET", "/catalogue/big",
                                "x" * (MAX_BROWSE_BODY_BYTES + 1))
        self.assertEqual((response.status, response.outcome, response.reason),
                         (413, "not-run", "body_too_large"))
        response = send_request(self.caller_port, "GET", "/catalogue/" + "k" * 600)
        self.assertEqual((response.status, response.outcome, response.reason),
                         (400, "not-run", "key_too_long"))
        self.assertEqual(self.find_started_executions("big"), [])

    def test_request_outside_the_catalogue_is_refused(self):
        for method, target, status, reason in (
                ("GET", "/nothing/1", 404, "unknown_service"),
                ("GET", "/", 404, "unknown_service"),
                ("GET", "/../etc/passwd", 404, "unknown_service"),
                ("DELETE", "/catalogue/1", 405, "method_not_in_catalogue"),
                ("BREW", "/catalogue/1", 405, "method_not_in_catalogue"),
                ("GET", "/catalogue", 400, "missing_key"),
                ("GET", "/catalogue/", 400, "missing_key"),
                ("POST", "/deposits/1", 400, "missing_idempotency_key")):
            with self.subTest(method=method, target=target):
                response = send_request(self.caller_port, method, target)
                self.assertEqual((response.status, response.outcome, response.reason),
                                 (status, "not-run", reason))
        for key, reason in (('""', "missing_idempotency_key"),
                            ("k" * 300, "idempotency_key_too_long")):
            response = send_request(self.caller_port, "POST", "/deposits/1", "{}",
                                    {"Idempotency-Key": key})
            self.assertEqual((response.status, response.outcome, response.reason),
                             (400, "not-run", reason))
        self.assertEqual(self.find_started_executions("/deposits/1"), [])

    def test_forged_headers_have_no_effect(self):
        forged = {"Rattanloft-Epoch": "999999", "rattanloft-shard": "1",
                  "RATTANLOFT-EXPIRES": "1", "Rattanloft-Key": "other",
                  "Rattanloft-Entry": "deposits.capture",
                  "Rattanloft-Deadline-Ms": "0",
                  "Rattanloft-Request-Id": "forged-id"}
        response = send_request(self.caller_port, "GET", "/catalogue/forged",
                                headers=forged)
        self.assertEqual((response.status, response.outcome), (200, "answered"))
        self.assertEqual(response.json()["key"], "forged")
        runs = self.find_started_executions("forged")
        self.assertEqual([run["entry"] for run in runs], ["catalogue.browse"])
        self.assertNotIn("forged-id", [run["request_id"] for run in runs])

    def test_peer_listener_refuses_bad_headers(self):
        for headers in ({}, {"Rattanloft-Epoch": "x"},
                        {"Rattanloft-Epoch": "1", "Rattanloft-Deadline-Ms": "-1"}):
            response = send_request(self.site.peer_port, "GET", "/catalogue/peer", None,
                                    headers)
            self.assertTrue(400 <= response.status < 500,
                            f"{headers}: {response.status} {response.body}")
        text = exchange_bytes(self.site.peer_port, b"garbage\r\n\r\n")
        self.assertEqual(parse_status(text), 400)

    def test_slow_or_truncated_request_is_not_run(self):
        head = b"POST /deposits/short HTTP/1.1\r\nHost: x\r\n" \
               b"Idempotency-Key: \"short\"\r\nContent-Length: 100\r\n\r\n"
        # A request whose body ends early does not run. The server answers with
        # 400 or only closes the connection.
        text = exchange_bytes(self.caller_port, head + b"12345", shut_down_write=True)
        self.assertIn(parse_status(text), (0, 400), text)
        start_time = time.monotonic()
        texts = {}
        senders = [threading.Thread(target=lambda n=name, d=data: texts.__setitem__(
            n, exchange_bytes(self.caller_port, d, READ_TIMEOUT_S + 3)))
            for name, data in (("body", head + b"1"),
                               ("header", b"GET /catalogue/slow HTTP/1.1\r\nHo"))]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        self.assertLess(time.monotonic() - start_time, READ_TIMEOUT_S + 2)
        for name, text in texts.items():
            self.assertEqual(parse_status(text), 408, f"{name}: {text}")
            self.assertIn(NOT_RUN_HEADER, text)
        self.assertEqual(self.find_started_executions("short"), [])

    def test_idle_connections_are_limited(self):
        idle = []
        try:
            for _ in range(MAX_CALLER_CONNECTIONS):
                idle.append(socket.create_connection(("127.0.0.1", self.caller_port)))
            # The last connections may still wait to be accepted.
            self.assertIsNotNone(wait_for(
                lambda: fd_count(self.site.node) >= MAX_CALLER_CONNECTIONS, 3))
            text = exchange_bytes(
                self.caller_port, b"GET /catalogue/idle HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertEqual(parse_status(text), 503, text)
            self.assertIn(NOT_RUN_HEADER, text)
            self.assertIn("Retry-After", text)
            self.assertLessEqual(
                fd_count(self.site.node), MAX_CALLER_CONNECTIONS + 100)
        finally:
            for sock in idle:
                sock.close()
        served = wait_for(lambda: send_request(
            self.caller_port, "GET", "/catalogue/idle").status == 200, 5)
        self.assertIsNotNone(served, "not served after the connections closed")

    def test_grpc_listener_survives_garbage(self):
        for data in (b"garbage\r\n\r\n", os.urandom(4096),
                     b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 200,
                     b"GET / HTTP/1.1\r\n\r\n"):
            exchange_bytes(self.control_grpc_port, data, timeout=1,
                           shut_down_write=True)
        self.assertIsNotNone(self.cluster.find_leader())

    def test_agent_listener_refuses_bad_announcements(self):
        valid_heartbeat = {"incarnation": "00000000000000aa", "service": "catalogue",
                           "address": "127.0.0.1:1", "slots": 1, "connections": 1,
                           "verifies_tokens": True, "draining": False,
                           "load": {"in_flight": 0}}
        bodies = ["", "garbage", "[]", "null", "{}", '{"incarnation": 5}',
                  "[" * 5000, '"\ud800"'.encode("utf-8", "surrogatepass")]
        for field, bad_value in (("incarnation", "xyz"), ("incarnation", 7),
                                 ("service", ""), ("service", 1),
                                 ("address", "nowhere"),
                                 ("address", "127.0.0.1:99999"), ("slots", -1),
                                 ("slots", "many"), ("slots", 0), ("slots", 1e300),
                                 ("draining", "yes"), ("verifies_tokens", 3)):
            bodies.append(json.dumps(dict(valid_heartbeat, **{field: bad_value})))
        backend_before = self.site.status()["backend"]
        for body in bodies:
            with self.subTest(body=body[:80]):
                response = send_request(self.site.agent_port, "POST", "/announce", body)
                self.assertEqual(response.status, 400, response.body)
        self.assertEqual(send_request(self.site.agent_port, "GET", "/announce").status,
                         405)
        self.assertEqual(send_request(self.site.agent_port, "GET", "/none").status, 404)
        self.assertEqual(
            parse_status(exchange_bytes(self.site.agent_port, b"garbage\r\n\r\n")), 400)
        self.assertEqual(self.site.status()["backend"], backend_before)

    def test_operator_api_refuses_bad_changes(self):
        valid_entry = {"name": "bad.entry", "owner": "o", "service": "bad",
                       "methods": ["GET"], "class": "interactive", "idempotent": True,
                       "keyed": False, "limits": {"deadline_ms": 100}}
        bodies = ["", "garbage", "[]", "null", "{}", "[" * 5000, '{"name": 3}']
        for field, bad_value in (("class", "none"), ("methods", "GET"), ("methods", []),
                                 ("owner", ""), ("idempotent", "yes"),
                                 ("limits", {"deadline_ms": -1}),
                                 ("limits", {"deadline_ms": "soon"}), ("unknown", 1)):
            bodies.append(json.dumps(dict(valid_entry, **{field: bad_value})))
        for number, body in enumerate(bodies):
            with self.subTest(body=body[:80]):
                response = send_request(self.control_http_port, "PUT",
                                        "/v1/catalogue/bad.entry"
                                        f"?change_id=bad-{number}&expected_revision=0"
                                        "&operator=test", body)
                self.assertEqual(response.status, 400, response.body)
        for method, target, statuses in (
                ("PUT", "/v1/catalogue/bad.entry", (400,)),
                ("PUT", "/v1/catalogue/bad.entry?change_id=x&expected_revision=z",
                 (400,)),
                ("GET", "/v1/catalogue/none", (404,)),
                ("GET", "/v1/none", (404,)),
                ("DELETE", "/v1/status", (404, 405)),
                ("GET", "/v1/history?max=x", (400,)),
                ("GET", "/v1/catalogue/%zz", (400, 404)),
                ("POST", "/v1/drain/none", (400, 404)),
                ("POST", "/v1/members", (400,)),
                ("POST", "/v1/members/zz/promote", (400, 404)),
                ("DELETE", "/v1/members/00000000000000aa", (400, 404))):
            with self.subTest(method=method, target=target):
                response = send_request(self.control_http_port, method, target,
                                        "{}" if method in ("PUT", "POST") else None)
                self.assertIn(response.status, statuses, response.body)
        self.assertEqual(
            parse_status(exchange_bytes(self.control_http_port, b"garbage\r\n\r\n")),
            400)
        names = [e["name"] for e in send_request(
            self.control_http_port, "GET", "/v1/catalogue").json()["entries"]]
        self.assertNotIn("bad.entry", names)

    def test_unusable_flags_end_the_process(self):
        node = ["node", "--node_id", "n", "--zone", "z", "--control_grpc",
                "127.0.0.1:1"]
        data_dir = os.path.join(self.cluster.folder, "bad-flags")
        control = ["control", "--data_dir", data_dir]
        for args in ([], ["none"], ["node"], ["control"],
                     node + ["--none", "1"], node + ["--caller_port", "x"],
                     node + ["--caller_port", "-1"], node + ["--peer_port", "70000"],
                     node + ["--node_id", "BAD ID"], node + ["--zone", ""],
                     node + ["--control_grpc", ""], node + ["--caller_port"],
                     node + ["--strategy", "none"], node + ["--log_level", "loud"],
                     node + ["--address", "not-an-address"],
                     node + ["--advertised_address", "not-an-address"],
                     node + ["--control_grpc", "no port here"],
                     node + ["--control_grpc", "127.0.0.1:1,127.0.0.1:0"],
                     node + ["extra"], node + ["--flagfile", "/nonexistent"],
                     control + ["--none"], control + ["--grpc_address", "x"],
                     control + ["--http_address", "127.0.0.1:99999"],
                     control + ["--group", "garbage"],
                     ["backend", "--slots", "0"], ["backend", "--slots", "x"],
                     ["backend", "--request_address", "x"],
                     ["backend", "--fault_port", "70000"],
                     ["backend", "--service_ms", "x=y"],
                     ["catalogue", "none"], ["catalogue"], ["drain"]):
            with self.subTest(args=args):
                try:
                    completed = subprocess.run([BINARY] + args, capture_output=True,
                                               text=True, timeout=2, check=False)
                except subprocess.TimeoutExpired:
                    self.fail("the process kept running with unusable flags")
                self.assertEqual(completed.returncode, 2, completed.stderr)
                self.assertNotEqual(completed.stderr, "")


if __name__ == "__main__":
    unittest.main()
