"""Tests that a planned stop answers every request that was read."""

import signal
import threading
import time
import unittest

from fleet_fixture import FleetTestCase, send_request


class PlannedStopTest(FleetTestCase):
    bounds = "retryBudgetSlack=50,graceS=3"

    def test_requests_that_outlast_the_stop_are_answered(self):
        """Guards against requests that a stop cuts off without an answer."""
        self.start_service()
        for backend in self.backends:
            backend.slow_paths.add("/p/slow")
            backend.slow_time_s = 5
        outcomes = {}

        def send(site, key):
            try:
                outcomes[site, key] = self.send_through_sidecar(
                    site, "/p/slow", key, f"slow{site}{key}")[0]
            except OSError as error:
                outcomes[site, key] = repr(error)

        self.sidecars[0]["process"].send_signal(signal.SIGTERM)
        time.sleep(1.5)
        threads = [threading.Thread(target=send, args=(0, key))
                   for key in (0, 9000, 20000, 40000, 50000, 65535)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.sidecars[0]["process"].wait(timeout=5), 0)
        self.assertEqual(set(outcomes.values()) - {502, 503, 504}, set(), outcomes)
        # The other sidecar still serves.
        self.assertEqual(send_request(self.sidecars[1]["ready"], "GET",
                                      "/v1/ready")[0], 200)


if __name__ == "__main__":
    unittest.main()
