"""Tests a fleet with a backend server that announces its end in its answers."""

import time
import unittest

from fleet_fixture import FleetTestCase

DRAIN_TIME_S = 2


class ServerLeavingTest(FleetTestCase):
    def test_backend_that_says_it_leaves_gets_no_requests_after_the_drain_time(self):
        self.start_service()
        leaving = self.backends[1]
        leaving.answer_headers = {"Server-Leaving": "1"}
        end = time.time() + 5
        told_s = None
        while told_s is None and time.time() < end:
            for key in range(0, 65536, 6553):
                if self.send_through_sidecar(1, "/p/x", key, f"t{key}")[1].startswith(
                        "i-1"):
                    told_s = told_s or time.time()
        self.assertIsNotNone(told_s)
        time.sleep(max(0, told_s + DRAIN_TIME_S - time.time()))
        arrived_before = len(leaving.arrival_times)
        served = 0
        for number in range(60):
            served += self.send_through_sidecar(number % 2, "/p/y", number * 1092,
                                                f"a{number}")[0] == 200
            time.sleep(0.03)
        self.assertEqual(len(leaving.arrival_times), arrived_before)
        self.assertGreater(served, 55)


if __name__ == "__main__":
    unittest.main()
