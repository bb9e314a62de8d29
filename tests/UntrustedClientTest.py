"""Sends crowds of untrusted clients to each listener of real processes.

Guards against a process that runs out of memory or file descriptors, hangs or
ends, and against ordinary callers that are locked out, since clients leave
requests unfinished, or do not read responses. Nothing depends on how fast
anything is, or on how many of the crowd are served.
"""

import json
import os
import resource
import sys
import time
import unittest

from fleet_fixture import (HOST, FleetTestCase, StandInBackend, configuration,
                           send_request, wait_for)
from untrusted_clients import (MIB, Client, Crowd, chunked, count_unread_bytes,
                               filler, head)

# The memory of the smallest machines that run these programs.
MEMORY_LIMITS_MB = {"sidecar": 160, "coordinator": 256}
# Descriptors of a process on these machines.
MAX_DESCRIPTORS = 4096
# Generous: within it a process must answer and an ordinary request be served.
DEADLINE_S = 15
# What has not changed for this time is taken to stay as it is.
UNCHANGED_S = 1
# Longer than any request of the crowds takes, so that none is given up early.
REQUEST_TIMEOUT_S = 20
# Enough descriptors for a crowd on each listener.
WANTED_DESCRIPTORS = 16384

IDLE_CLIENTS = 1500
ENDLESS_HEADER_BYTES = 8 * 1024
HEADER_FIELD_BYTES = 256
OVER_LIMIT_CLIENTS = 8
OVER_LIMIT_DECLARED_BYTES = 10 * 1024 * MIB
OVER_LIMIT_SENT_BYTES = 100 * MIB
TINY_CHUNK_CLIENTS = 60
TINY_CHUNK_BODY_BYTES = 200 * 1024
UNREAD_RESPONSE_BYTES = 4 * MIB
PIPELINING_CLIENTS = 40
PIPELINED_REQUESTS = 50
PIPELINED_RESPONSE_BYTES = 256 * 1024
LARGEST_BODY_BYTES = 64 * MIB
LARGEST_DOCUMENT_BYTES = 2 * MIB
# Idle clients on each of four listeners, together above MAX_DESCRIPTORS.
IDLE_CLIENTS_EACH_LISTENER = 1100


def raise_descriptor_limit():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = (WANTED_DESCRIPTORS if hard == resource.RLIM_INFINITY
              else min(hard, WANTED_DESCRIPTORS))
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def memory_mb(pid):
    """Returns the peak and the present resident memory."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        values = dict(line.split(":", 1) for line in file)
    return [int(values[name].split()[0]) / 1024 for name in ("VmHWM", "VmRSS")]


class LargeResponseBackend(StandInBackend):
    """Answers /p/size/N with N bytes, and /p/swallow/... without its body."""

    def handle_request(self, handler, body):
        folder, _, name = handler.path.removeprefix("/p/").partition("/")
        if folder not in ("size", "swallow"):
            super().handle_request(handler, body)
            return
        text = b"x" * int(name) if folder == "size" else str(len(body)).encode()
        with self.lock:
            self.executed_requests.append((handler.headers["Attempt-Id"], {},
                                           handler.path))
        handler.send_response(200)
        handler.send_header("Attempt-Id", handler.headers["Attempt-Id"])
        handler.send_header("Response-Signature", "signed")
        handler.send_header("Content-Length", str(len(text)))
        handler.end_headers()
        try:
            handler.wfile.write(text)
        except OSError:
            # The sidecar has given up this request.
            pass


class UntrustedClientTestCase(FleetTestCase):
    coordinator_count, tolerated_losses = 1, 0
    backend_class = LargeResponseBackend
    environments = {program: {"RATTANLOFT_MEMORY_LIMIT_MB": str(limit)}
                    for program, limit in MEMORY_LIMITS_MB.items()}
    sharded = False

    def setUp(self):
        raise_descriptor_limit()
        super().setUp()
        # What was found wrong, by process and kind.
        self.problems, self.peaks, self.attempt = {}, {}, 0
        document = json.loads(configuration(0, 2, sharded=self.sharded))
        for route in document["routes"].values():
            route.update(timeoutS=REQUEST_TIMEOUT_S, targetLatencyS=REQUEST_TIMEOUT_S)
        self.document = document
        wait_for(lambda: self.put_configuration(json.dumps(document)) == 200,
                 DEADLINE_S, "the configuration is accepted")
        for site, backend in zip(self.sidecars, self.backends):
            wait_for(lambda s=site: send_request(s["ready"], "GET", "/v1/ready")[0]
                     == 200, DEADLINE_S, "each sidecar is ready")
            wait_for(lambda b=backend: b.hold_end_s, DEADLINE_S,
                     "each sidecar answers heartbeats")
        wait_for(lambda: self.send_ordinary() == 200, DEADLINE_S, "requests are served")
        self.crowds = []

    def tearDown(self):
        for crowd in self.crowds:
            crowd.close()
        figures = ", ".join(f"{name} {peak:.0f} MB {descriptors} fds" for
                            name, (peak, descriptors) in self.peaks.items())
        print(f"{self.id().split('.', 1)[1]}: {figures}", file=sys.stderr, flush=True)

    def next_attempt(self):
        self.attempt += 1
        return f"u{self.attempt}"

    def send_ordinary(self):
        return self.send_through_sidecar(0, "/p/x", None, self.next_attempt())[0]

    def address(self):
        return self.sidecars[0][self.listener]

    def make_crowd(self, clients):
        crowd = Crowd(clients)
        self.crowds.append(crowd)
        return crowd

    def run_crowd(self, clients, **options):
        self.make_crowd(clients).run(**options)
        self.wait_until_read()

    def wait_until_read(self):
        """Waits until all that was sent has been read, or nothing more is read."""
        self.wait_until_unchanged(lambda: count_unread_bytes(self.address()))

    @staticmethod
    def wait_until_unchanged(measure):
        """Returns once the value is 0, or has not changed for a while."""
        last, changed_s = None, time.monotonic()
        end_s = changed_s + DEADLINE_S
        while time.monotonic() < min(changed_s + UNCHANGED_S, end_s):
            value = measure()
            if value == 0:
                return
            if value != last:
                last, changed_s = value, time.monotonic()
            time.sleep(0.05)

    def check(self, condition, subject, problem):
        if not condition:
            self.problems[subject] = problem

    def check_served(self, when):
        """Checks that one ordinary request is served, however often it is tried."""
        try:
            wait_for(lambda: self.send_ordinary() == 200, DEADLINE_S, "")
        except AssertionError:
            self.check(False, f"callers, {when}", "no ordinary request is served")

    def answers(self, process):
        """Whether a process answers anything at the listener for its health."""
        site = next((s for s in self.sidecars if s["process"] is process), None)
        address, path = ((site["ready"], "/v1/ready") if site
                         else (self.operators[0], "/v1/config"))
        return send_request(address, "GET", path)[0] > 0

    def check_processes(self, when):
        for process in self.processes:
            program = process.args[1]
            name = (process.args[3 if program == "sidecar" else 1]
                    .removeprefix("--instance="))
            if process.poll() is not None:
                self.check(False, name, f"ended with {process.returncode}, {when}")
                continue
            # Taken first: what follows may wait until the crowd has gone.
            self.check_resources(when, name, process.pid, MEMORY_LIMITS_MB[program])
            try:
                wait_for(lambda p=process: self.answers(p), DEADLINE_S, "")
            except AssertionError:
                self.check(False, f"{name}, {when}", "does not answer")
            self.check_resources(when, name, process.pid, MEMORY_LIMITS_MB[program])

    def check_resources(self, when, name, pid, limit_mb):
        try:
            peak_mb, resident_mb = memory_mb(pid)
            descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        except (OSError, KeyError):
            self.check(False, name, f"has just ended, {when}")
            return
        self.peaks[name] = (peak_mb,
                            max(descriptors, self.peaks.get(name, (0, 0))[1]))
        self.check(peak_mb < limit_mb, f"{name}, peak", f"{peak_mb:.0f} MB")
        self.check(resident_mb < limit_mb, f"{name}, {when}",
                   f"{resident_mb:.0f} MB resident")
        self.check(descriptors < MAX_DESCRIPTORS, f"{name}, descriptors, {when}",
                   f"{descriptors}")

    def finish(self):
        """Checks everything while the crowds are open and after they have gone."""
        self.check_processes("open")
        for crowd in self.crowds:
            crowd.close()
        self.check_served("afterwards")
        self.check_processes("afterwards")
        self.assertFalse(self.problems)


class UnfinishedRequestTests:
    """Requests that do not end, to one listener."""

    # Bodies of permitted size, which together do not fit into the memory.
    method, path, body_bytes, body_clients = "POST", "/p/swallow/x", 12 * MIB, 24

    def fields(self):
        return {"Host": HOST, "Attempt-Id": self.next_attempt(),
                "Deadline-Ms": REQUEST_TIMEOUT_S * 1000}

    def make_head(self, **fields):
        return head(self.method, self.path, {**self.fields(), **fields})

    def make_client(self, body, **fields):
        return Client(self.address(), [self.make_head(**fields), *body])

    def make_sized_clients(self, withheld_bytes):
        return [self.make_client(filler(self.body_bytes - withheld_bytes),
                                 **{"Content-Length": self.body_bytes})
                for _ in range(self.body_clients)]

    def make_chunked_clients(self, count, size, chunk_bytes):
        return [self.make_client(chunked(size, chunk_bytes),
                                 **{"Transfer-Encoding": "chunked"})
                for _ in range(count)]

    def hold_bodies(self, **options):
        self.run_crowd(self.make_sized_clients(1), **options)

    def hold_idle_connections(self):
        self.run_crowd(Client(self.address(), []) for _ in range(IDLE_CLIENTS))

    def send_whole_bodies(self, **options):
        self.run_crowd(self.make_sized_clients(0), until_answered=True, **options)

    def test_bodies_that_stop_before_their_last_byte(self):
        self.hold_bodies(one_by_one=True)
        self.send_whole_bodies(one_by_one=True)
        self.finish()

    def test_bodies_in_pieces_that_stop_before_their_last_byte(self):
        self.hold_bodies(max_bytes=64 * 1024)
        self.send_whole_bodies(max_bytes=64 * 1024)
        self.finish()

    def test_bodies_over_the_limit_with_a_length(self):
        self.run_crowd(
            self.make_client(filler(OVER_LIMIT_SENT_BYTES),
                             **{"Content-Length": OVER_LIMIT_DECLARED_BYTES})
            for _ in range(OVER_LIMIT_CLIENTS))
        self.finish()

    def test_bodies_over_the_limit_without_a_length(self):
        self.run_crowd(self.make_chunked_clients(
            OVER_LIMIT_CLIENTS, OVER_LIMIT_SENT_BYTES, MIB))
        self.finish()

    def test_large_chunks_that_stop_before_the_last(self):
        self.run_crowd(self.make_chunked_clients(
            self.body_clients, self.body_bytes, min(MIB, self.body_bytes // 4)))
        self.finish()

    def test_chunks_of_one_byte_that_stop_before_the_last(self):
        self.run_crowd(self.make_chunked_clients(
            TINY_CHUNK_CLIENTS, TINY_CHUNK_BODY_BYTES, 1))
        self.finish()

    def test_headers_that_never_end(self):
        crowd = self.make_crowd(Client(self.address(), [self.make_head()[:-2]])
                                for _ in range(IDLE_CLIENTS))
        crowd.run()
        for number in range(ENDLESS_HEADER_BYTES // HEADER_FIELD_BYTES - 1):
            name = f"A{number}: "
            crowd.append(name.ljust(HEADER_FIELD_BYTES - 2, "x").encode() + b"\r\n")
            crowd.run()
            time.sleep(0.03)
        self.wait_until_read()
        self.finish()

    def test_idle_connections(self):
        self.hold_idle_connections()
        self.finish()

    def send_ordinary_call(self):
        """Sends what the listener is for, and returns the status."""
        return self.send_ordinary()

    def check_listener_serves(self):
        try:
            wait_for(lambda: self.send_ordinary_call() == 200, DEADLINE_S, "")
        except AssertionError:
            self.check(False, "listener, open", "no ordinary call is served")

    def test_an_ordinary_call_beside_unfinished_bodies(self):
        self.hold_bodies(one_by_one=True)
        self.check_listener_serves()
        self.finish()

    def test_an_ordinary_call_beside_idle_connections(self):
        self.hold_idle_connections()
        self.check_listener_serves()
        self.finish()


class UnreadResponseTests:
    """Responses that are not read, to one listener."""

    unread_clients, unread_requests = 60, 1

    def read_head(self, size):
        return head("GET", f"/p/size/{size}", self.fields())

    def prepare_response(self, size):
        """Makes the next requests be answered with about so many bytes."""

    def send_unread(self, count, request_count, size):
        self.prepare_response(size)
        self.make_crowd(
            Client(self.address(), [self.read_head(size) for _ in range(request_count)],
                   reads=False)
            for _ in range(count)).run()
        self.wait_until_unchanged(self.count_work)
        self.finish()

    def count_work(self):
        """Returns what grows while responses pile up."""
        return [len(b.executed_requests) for b in self.backends] + [
            memory_mb(p.pid)[0] for p in self.processes if p.poll() is None]

    def test_large_responses_that_are_not_read(self):
        self.send_unread(self.unread_clients, self.unread_requests,
                         UNREAD_RESPONSE_BYTES)

    def test_pipelined_requests_whose_responses_are_not_read(self):
        self.send_unread(PIPELINING_CLIENTS, PIPELINED_REQUESTS,
                         PIPELINED_RESPONSE_BYTES)


class CallerTest(UnfinishedRequestTests, UnreadResponseTests, UntrustedClientTestCase):
    listener = "caller"

    # Guards against limits of the listeners that add up to more than the process has.
    def test_idle_connections_on_every_listener(self):
        self.run_crowd(Client(self.sidecars[0][listener], [])
                       for _ in range(IDLE_CLIENTS_EACH_LISTENER)
                       for listener in ("caller", "peer", "ready", "announce"))
        self.finish()


class LargestBodyTest(UntrustedClientTestCase):
    sharded = True

    def send_to(self, number):
        backend = self.backends[number]
        wait_for(lambda: backend.held_ranges, DEADLINE_S, "each owns a range")
        attempt, key = self.next_attempt(), backend.held_ranges[0][0]
        wait_for(lambda: self.send_through_sidecar(
            0, "/p/x", key, self.next_attempt())[0] == 200, DEADLINE_S, "key served")
        fields = {"Host": HOST, "Attempt-Id": attempt, "Shard-Key": str(key),
                  "Deadline-Ms": str(REQUEST_TIMEOUT_S * 1000)}
        answer = send_request(self.sidecars[0]["caller"], "POST", "/p/swallow/x",
                              b"x" * LARGEST_BODY_BYTES, fields,
                              timeout=REQUEST_TIMEOUT_S)
        self.check(answer == (200, str(LARGEST_BODY_BYTES)), "answer", answer)
        self.check(attempt in [r[0] for r in backend.executed_requests],
                   "backend server", "another one ran the request")
        self.finish()

    # Guards against limits that refuse what callers may send.
    def test_a_body_of_the_largest_size_to_the_own_instance(self):
        self.send_to(0)

    def test_a_body_of_the_largest_size_to_another_instance(self):
        self.send_to(1)


class PeerTest(UnfinishedRequestTests, UnreadResponseTests, UntrustedClientTestCase):
    listener = "peer"

    def fields(self):
        return {**super().fields(), "Rattanloft-Service": "keyed",
                "Rattanloft-Kind": "a", "Rattanloft-Keyed": "0", "Rattanloft-Rank": "1",
                "Rattanloft-Target-Ms": str(REQUEST_TIMEOUT_S * 1000)}

    def send_ordinary_call(self):
        return send_request(self.address(), "GET", "/p/x", None, self.fields())[0]


class AnnounceTest(UnfinishedRequestTests, UntrustedClientTestCase):
    """The listener for heartbeats; its responses are a few bytes."""

    site_count = 1
    listener, method, path = "announce", "PUT", "/v1/instances/i-0"
    # This listener accepts 256 KiB.
    body_bytes, body_clients = 256 * 1024, 800

    def send_ordinary_call(self):
        return self.backends[0].send_heartbeat()


class OperatorTest(UnfinishedRequestTests, UnreadResponseTests,
                   UntrustedClientTestCase):
    site_count = 1
    method, path = "PUT", "/v1/config"
    # This listener accepts 2 MiB.
    body_bytes, body_clients = 2 * MIB, 160
    # The system takes over a whole response of 2 MiB, so that only the second one
    # stays in the process.
    unread_clients, unread_requests = 160, 4

    def address(self):
        return self.operators[0]

    def send_ordinary_call(self):
        return send_request(self.address(), "GET", "/v1/config")[0]

    def read_head(self, size):
        return head("GET", "/v1/config", self.fields())

    def prepare_response(self, size):
        """Makes the configuration in force so large, or as large as it may be."""
        document = json.dumps({**self.document, "version": "r3", "baseVersion": "r2"})
        body = document.ljust(min(size, LARGEST_DOCUMENT_BYTES))
        wait_for(lambda: self.put_configuration(body) == 200, DEADLINE_S,
                 "the large configuration is accepted")


class MemberTest(OperatorTest):
    method, path, body_bytes, body_clients = "POST", "/sync", 12 * MIB, 24

    def address(self):
        return f"127.0.0.11:{self.member_port}"

    def send_ordinary_call(self):
        return send_request(self.address(), "GET", "/metrics")[0]

    def read_head(self, size):
        return head("POST", "/configuration/read", {**self.fields(),
                                                    "Content-Length": 0})


if __name__ == "__main__":
    unittest.main()
