"""Tests that a node runs no request of another node that arrives too late."""

import time
import unittest

from node_fixture import NodeTestCase, send_request


class NodeLateRequestTest(NodeTestCase):
    def send_as_node(self, age_ms):
        sent_ms = int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000) - age_ms
        return send_request(self.site.peer_port, "GET", "/catalogue/stand-42", headers={
            "Rattanloft-Request-Id": f"late-{age_ms}", "Rattanloft-Epoch": "0",
            "Rattanloft-Deadline-Ms": "1000", "Rattanloft-Sent": f"1/{sent_ms}"})

    # Guards against work whose deadline has passed on the way between two nodes.
    def test_request_that_was_late_between_nodes_is_not_run(self):
        for age_ms, outcome in ((0, "answered"), (500, "answered"), (2000, "not-run")):
            runs_before = len(self.backend.runs)
            self.assertEqual(self.send_as_node(age_ms).outcome, outcome)
            self.assertEqual(len(self.backend.runs) - runs_before,
                             1 if outcome == "answered" else 0)


if __name__ == "__main__":
    unittest.main()
