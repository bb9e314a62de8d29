"""Tests control instances of the cluster whose disks are full for a while."""

import json
import os
import shutil
import sys
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

from cluster import Cluster, send_request, wait_for  # noqa: E402
from full_disk import set_disk_full  # noqa: E402

DISK_FULL_S = 1.5
# A control instance that can write again takes part in decisions within this
# time.
CATCH_UP_S = 4
ENTRY = "catalogue.browse"


class ControlDiskTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster("adwoa", backends_per_service=1)
        self.addCleanup(shutil.rmtree, self.cluster.folder)
        self.addCleanup(self.cluster.kill_all)
        for process in self.cluster.control_processes:
            process.start()
        self.assertIsNotNone(
            wait_for(lambda: self.cluster.find_leader() is not None, 15), "a leader")
        applied = self.cluster.run_operator_command(
            "catalogue", "apply",
            os.path.join(ROOT, "examples", "adwoa", "catalogue.json"))
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.change_count = 0

    def send_change(self):
        """Sends a change to each control instance until one accepts it."""
        self.change_count += 1
        for _, port in self.cluster.control_ports:
            response = send_request(port, "GET", "/v1/catalogue/" + ENTRY, timeout=1)
            if response.status != 200:
                continue
            body = response.json()
            entry = body.get("entry", body)
            revision = entry.pop("revision")
            entry["limits"]["max_queue"] = 100 + self.change_count
            target = (f"/v1/catalogue/{ENTRY}?change_id=change-{self.change_count}"
                      f"&expected_revision={revision}&operator=ama")
            if send_request(port, "PUT", target, json.dumps(entry),
                            timeout=1).status == 200:
                return True
        return False

    # Guards against control instances that take no part until they restart.
    def test_changes_are_accepted_after_each_disk_was_full(self):
        for process in self.cluster.control_processes:
            set_disk_full(process.popen.pid, True)
            end = time.monotonic() + DISK_FULL_S
            while time.monotonic() < end:
                self.send_change()
            set_disk_full(process.popen.pid, False)
        self.assertIsNotNone(wait_for(self.send_change, CATCH_UP_S),
                             "a change is accepted")


if __name__ == "__main__":
    unittest.main()
