"""Tests a fleet with a backend server that announces its end in its answers."""

import time
import unittest

from fleet_fixture import FleetTestCase

DRAIN_TIME_S = 2


class ServerLeavingTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.start_service()
        self.leaving = self.backends[1]

    def announce_end(self):
        """Returns when the sidecar at the entry has passed on the announcement."""
        self.leaving.answer_headers = {"Server-Leaving": "1"}
        end = time.time() + 5
        while time.time() < end:
            for key in range(0, 65536, 6553):
                text = self.send_through_sidecar(0, "/p/x", key, f"t{key}")[1]
                if text.startswith(self.leaving.backend_id):
                    return time.time()
        self.fail("the backend server gets no request")

    def check_unused(self, entries):
        """Returns how many of 60 requests were served, none by the leaving server."""
        arrived_before = len(self.leaving.arrival_times)
        served = 0
        for number in range(60):
            entry = entries[number % len(entries)]
            served += self.send_through_sidecar(entry, "/p/y", number * 1092,
                                                f"a{number}")[0] == 200
            time.sleep(0.03)
        self.assertEqual(len(self.leaving.arrival_times), arrived_before)
        return served

    def test_backend_that_says_it_leaves_gets_no_requests_after_the_drain_time(self):
        announced_s = self.announce_end()
        time.sleep(max(0, announced_s + DRAIN_TIME_S - time.time()))
        self.assertGreater(self.check_unused(entries=(0, 1)), 55)

    # Guards against a sidecar that forgets with its restart that the backend
    # server beside it is leaving, while heartbeats do not say so.
    def test_restart_of_the_sidecar_beside_it_does_not_bring_it_back(self):
        announced_s = self.announce_end()
        time.sleep(0.5)
        self.restart_sidecar(1)
        time.sleep(max(0, announced_s + DRAIN_TIME_S - time.time()))
        self.check_unused(entries=(0,))
        # By now its keys have moved.
        self.assertGreater(self.check_unused(entries=(0,)), 55)


if __name__ == "__main__":
    unittest.main()
