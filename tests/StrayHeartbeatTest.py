"""Tests that calls of other writers, and late calls, change nothing at the sidecar
beside a backend server."""

import json
import time
import unittest

from fleet_fixture import FleetTestCase, send_request

SAMPLE_KEYS = range(0, 65536, 6553)


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


if __name__ == "__main__":
    unittest.main()
