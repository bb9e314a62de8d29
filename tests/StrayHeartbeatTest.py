"""Tests that calls of other writers, and late calls, change nothing at the sidecar
beside a backend server."""

import json
import time
import unittest

from fleet_fixture import (FleetTestCase, configuration, send_bytes, send_request,
                           wait_for)

SAMPLE_KEYS = range(0, 65536, 6553)
DRAIN_TIME_S = 2
CONFIGURATION_APPLY_S = 2
# Of the stand-in.
HEARTBEAT_INTERVAL_S = 0.3


def peak_memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        line = next(line for line in file if line.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


class StrayHeartbeatTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.start_service()

    def find_owners(self):
        """Returns the id of the backend server that runs each sample key."""
        owners = {}
        for key in SAMPLE_KEYS:
            status, text = self.send_through_sidecar(0, "/p/x", key, f"o{key}")
            owners[key] = text.split(" ")[0] if status == 200 else status
        return owners

    def send_stray_heartbeat(self, backend, backend_id="i-5707e000", **fields):
        """Sends what a process that was started later would send."""
        with backend.lock:
            body = {**backend.make_heartbeat(), "seq": 1, "holds": [],
                    "born": int(time.time() * 1000), **fields}
        return send_request(backend.announce_address, "PUT",
                            f"/v1/instances/{backend_id}", json.dumps(body))[0]

    def check_owners_stay(self, owners, duration_s=4):
        end = time.time() + duration_s
        while time.time() < end:
            self.assertEqual(self.find_owners(), owners)
            time.sleep(0.05)

    # Guards against a heartbeat of another writer that makes the leader give the
    # keys of the real backend server away while it holds them.
    def test_a_heartbeat_with_another_service_moves_no_keys(self):
        owners = self.find_owners()
        status = self.send_stray_heartbeat(self.backends[0], service="showroom-test")
        self.check_owners_stay(owners)
        self.assertEqual(status, 400)

    # Guards against a sidecar that gets nothing from the coordinators any more,
    # since an id that is no text makes each of its reports unreadable.
    def test_an_unreadable_id_delays_no_configuration(self):
        backend = self.backends[0]
        with backend.lock:
            body = {**backend.make_heartbeat(), "born": int(time.time() * 1000)}
        text = send_bytes(backend.announce_address, (
            b"PUT /v1/instances/i-\xff\xfe\x81 HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (len(json.dumps(body)), json.dumps(body).encode())))
        time.sleep(0.5)
        self.assertEqual(self.put_configuration(configuration(2, 3, "/q/")), 200)
        wait_for(lambda: self.send_through_sidecar(0, "/q/x", 0, "q")[0] == 200,
                 CONFIGURATION_APPLY_S, "the configuration is in force")
        self.assertTrue(text.startswith(b"HTTP/1.1 400 "), text)

    # Guards against a process that ends, or stops following its backend server,
    # since another writer has left an odd entry.
    def test_odd_entries_neither_end_a_process_nor_change_what_it_serves(self):
        owners = self.find_owners()
        backend, path = self.backends[0], f"/v1/instances/{self.backends[0].backend_id}"
        valid = backend.make_heartbeat()
        odd = [json.dumps({**valid, **fields}) for fields in (
            {"slots": 2**32}, {"slots": 10**400}, {"born": 10**18}, {"seq": 2**63},
            {"coldRemainingS": 1e9}, {"address": "127.0.0.21:99999"},
            {"holds": [[9, 1, 5]]}, {"holds": [[0, 65535, 2**63]]},
            {"state": ["ready"]}, {"service": None})]
        odd += ["[" * 20_000_000, '{"a":' * 20_000 + "1" + "}" * 20_000]
        statuses = [self.send_odd(backend.announce_address, path, body) for body in odd]
        statuses.append(self.send_odd(self.operators[0], "/v1/config",
                                      "[" * 15_000_000))
        self.check_owners_stay(owners, duration_s=2)
        for process in self.processes:
            self.assertIsNone(process.poll())
            self.assertLess(peak_memory_mb(process.pid), 100)
        self.assertLessEqual(set(statuses), {400, 413})

    @staticmethod
    def send_odd(address, path, body):
        """Returns the status, also if it comes before the whole body is read."""
        head = f"PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        return int(send_bytes(address, head.encode() + body.encode()).split(b" ")[1])


class LateHeartbeatTest(FleetTestCase):
    # Guards against a backend server that is used again after it has left: its
    # sidecar has just restarted and knows no lifetime.
    def test_a_late_heartbeat_does_not_bring_back_a_server_that_has_left(self):
        self.start_service(sharded=False)
        leaving = self.backends[1]
        leaving.stopped = True
        time.sleep(HEARTBEAT_INTERVAL_S)
        late_heartbeat = json.dumps(leaving.make_heartbeat())
        path = f"/v1/instances/{leaving.backend_id}"
        self.restart_sidecar(1)
        wait_for(lambda: send_request(self.sidecars[1]["ready"], "GET",
                                      "/v1/ready")[0] == 200, 5, "ready again")
        status = send_request(leaving.announce_address, "DELETE", path,
                              json.dumps({"born": leaving.born_unix_ms}))[0]
        self.assertEqual(status, 200)
        time.sleep(DRAIN_TIME_S)
        send_request(leaving.announce_address, "PUT", path, late_heartbeat)
        arrived_before = len(leaving.arrival_times)
        for number in range(60):
            self.send_through_sidecar(number % 2, "/p/x", None, f"l{number}")
            time.sleep(0.05)
        self.assertEqual(len(leaving.arrival_times), arrived_before)


if __name__ == "__main__":
    unittest.main()
