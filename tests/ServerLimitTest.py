"""Tests a fleet with a backend server that limits its requests a second."""

import threading
import time
import unittest

from fleet_fixture import FleetTestCase

LIMIT_PER_SECOND = 10
# The limit takes effect within this time, and holds in every window.
SETTLE_TIME_S = 3
WINDOW_S = 4
ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * WINDOW_S + 5


class ServerLimitTest(FleetTestCase):
    def send_requests(self, site, end_s):
        """Sends 30 requests a second for keys of both backend servers."""
        number = 0
        while time.time() < end_s:
            number += 1
            start = time.time()
            try:
                status = self.send_through_sidecar(
                    site, f"/p/{number}", number * 997 % 65536, f"l{site}-{number}")[0]
            except OSError:
                status = 0
            self.results.append((start, status))
            time.sleep(max(0, start + 1 / 30 - time.time()))

    def test_backend_gets_no_more_requests_than_the_limit_that_it_names(self):
        self.start_service()
        limited, other = self.backends
        limited.answer_headers = {"Server-Limit": str(LIMIT_PER_SECOND)}
        self.results = []
        start = time.time()
        threads = [threading.Thread(target=self.send_requests, args=(n % 2, start + 10))
                   for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        arrivals = [t for t in limited.arrival_times if t > start + SETTLE_TIME_S]
        most = max(sum(t <= u < t + WINDOW_S for u in arrivals) for t in arrivals)
        self.assertLessEqual(most, ALLOWED_IN_WINDOW)
        # The limit is used, and it ends with the answers that name it.
        self.assertGreater(most, 0.5 * LIMIT_PER_SECOND * WINDOW_S)
        self.assertGreater(len(other.arrival_times), len(arrivals))
        limited.answer_headers = {}
        time.sleep(1)
        self.results = []
        self.send_requests(0, time.time() + 2)
        refused = sum(status != 200 for _, status in self.results)
        self.assertLessEqual(refused, 0.1 * len(self.results))


if __name__ == "__main__":
    unittest.main()
